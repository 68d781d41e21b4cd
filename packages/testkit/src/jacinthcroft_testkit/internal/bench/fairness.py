"""How teams fare beside a loud one, and inside their own rates."""

from collections.abc import Sequence

from attrs import evolve
from jacinthcroft_http import now

from jacinthcroft_testkit.internal.bench.experiments import (
    System,
    experiment,
)
from jacinthcroft_testkit.internal.bench.readings import Reading
from jacinthcroft_testkit.internal.bench.single_bucket import (
    refused_by_single_bucket,
)
from jacinthcroft_testkit.internal.bench.stage import (
    Stage,
    StagePlan,
    answered_share,
    refused_share,
    stage,
)
from jacinthcroft_testkit.internal.history import Outcome, Sent
from jacinthcroft_testkit.internal.latency import Latency

_RATE = 40.0
_BURST = 80
_SMALL_BURST = 40
_INSIDE_SHARE = 0.8
_LOUD_FACTOR = 5
_LOUD = 'supermarkets'
_QUIET = ('kiosks', 'caterers', 'bakeries')
_SECONDS = 10.0
_RATE_EXCEEDED = 'rate-exceeded'
_NO_CAPACITY = 'no-capacity'
_SKEWED = {'vm1': 11.0}
_PLAN = StagePlan(dict.fromkeys((*_QUIET, _LOUD), (_RATE, _BURST)))


@experiment('loud-team', 'one team of four at five times its rate')
async def measure_loud_team(system: System, seed: int) -> Sequence[Reading]:
    """Sends inside the rate for three teams, far beyond it for one."""
    async with stage(system, _PLAN, seed) as running:
        begun = now()
        rates = dict.fromkeys(_QUIET, _RATE * _INSIDE_SHARE)
        rates[_LOUD] = _RATE * _LOUD_FACTOR
        await running.send(rates, _SECONDS)
        loud = running.settled(_LOUD, begun)
        served = answered_share(loud) / 100 * len(loud) / _SECONDS
        return [
            Reading('warm after start', 's', running.warm_seconds),
            *_read_worst(running, begun),
            Reading('loud team served (its rate is 40)', '1/s', served),
        ]


@experiment('wrongful-refusals', 'four teams at 0.8 of their rates')
async def measure_refusals(system: System, seed: int) -> Sequence[Reading]:
    """Spreads callers evenly, then two thirds of them on one VM of six."""
    limits = dict.fromkeys(_PLAN.limits, (_RATE, _SMALL_BURST))
    async with stage(system, evolve(_PLAN, limits=limits), seed) as running:
        readings: list[Reading] = []
        for name, weights in (('even', {}), ('skewed', _SKEWED)):
            running.use_weights(weights)
            begun = now()
            rates = dict.fromkeys(limits, _RATE * _INSIDE_SHARE)
            await running.send(rates, _SECONDS)
            pairs = running.settled('', begun)
            readings.extend(_read_refusals(name, pairs))
        return readings


def _read_refusals(
    name: str,
    pairs: Sequence[tuple[Sent, Outcome]],
) -> list[Reading]:
    floor = refused_by_single_bucket(
        [sent for sent, _ in pairs],
        _RATE,
        _SMALL_BURST,
    )
    for_rate = refused_share(pairs, _RATE_EXCEEDED)
    for_capacity = refused_share(pairs, _NO_CAPACITY)
    return [
        Reading(f'{name}: refused for rate', '%', for_rate),
        Reading(f'{name}: refused by one ideal bucket', '%', floor),
        Reading(f'{name}: refused for capacity', '%', for_capacity),
        Reading(f'{name}: answered', '%', answered_share(pairs)),
    ]


def _read_worst(running: Stage, begun: float) -> list[Reading]:
    of_teams = [running.settled(team, begun) for team in _QUIET]
    worst_share = min(answered_share(pairs) for pairs in of_teams)
    worst_p99 = max(
        Latency.from_seconds(
            [outcome.at - sent.at for sent, outcome in pairs],
        ).p99_ms
        for pairs in of_teams
    )
    return [
        Reading('worst quiet team answered', '%', worst_share),
        Reading('worst quiet team p99', 'ms', worst_p99),
    ]
