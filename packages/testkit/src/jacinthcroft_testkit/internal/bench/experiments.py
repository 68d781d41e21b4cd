"""The registry of experiments and the systems that they compare."""

import enum
from collections.abc import Awaitable, Callable, Sequence

from attrs import frozen

from jacinthcroft_testkit.internal.bench.readings import Reading


class System(enum.Enum):
    """What the VMs run; the value is the daemon's module."""

    PRODUCT = 'jacinthcroft_daemon'
    BASELINE = 'jacinthcroft_testkit.baseline_vm'


BOTH_SYSTEMS = (System.PRODUCT, System.BASELINE)

Measure = Callable[[System, int], Awaitable[Sequence[Reading]]]


@frozen
class Experiment:
    """A named measurement; `systems` are those that it is made for."""

    name: str
    title: str
    systems: tuple[System, ...]
    measure: Measure


_experiments: dict[str, Experiment] = {}


def experiment(
    name: str,
    title: str,
    systems: Sequence[System] = BOTH_SYSTEMS,
) -> Callable[[Measure], Measure]:
    """Registers a function of a system and a seed as an experiment."""

    def decorator(measure: Measure) -> Measure:
        _experiments[name] = Experiment(name, title, tuple(systems), measure)
        return measure

    return decorator


def all_experiments() -> tuple[Experiment, ...]:
    """Returns the experiments in the order of registration."""
    return tuple(_experiments.values())
