"""Measures the fleet against a plain proxy in the same run.

`python -m jacinthcroft_testkit.bench` runs every experiment for every system
several times, prints medians with the least and greatest value, and keeps
all values in `out/bench.json`, with a plot of each experiment beside it.
`--only` names experiments; the others in the file are kept.
"""

import argparse
import asyncio
import json
import pathlib
import sys
from collections.abc import Iterable, Sequence

from attrs import asdict

from jacinthcroft_testkit.internal.bench import (
    added_latency,
    detection,
    fairness,
    scale,
    slopes,
    zones,
)
from jacinthcroft_testkit.internal.bench.experiments import (
    Experiment,
    all_experiments,
)
from jacinthcroft_testkit.internal.bench.plots import draw
from jacinthcroft_testkit.internal.bench.readings import Figure, summarize

# Importing these modules registers their experiments.
MODULES = (added_latency, detection, fairness, scale, slopes, zones)
_OUT = pathlib.Path('out/bench.json')


async def run_experiment(
    experiment: Experiment,
    seeds: Sequence[int],
) -> list[Figure]:
    """Runs an experiment for its systems, one after the other."""
    figures = []
    for system in experiment.systems:
        repeats = [await experiment.measure(system, seed) for seed in seeds]
        name = system.name.lower()
        figures.extend(summarize(experiment.name, name, repeats))
    return figures


def save(
    path: pathlib.Path,
    experiment: Experiment,
    seeds: Sequence[int],
    figures: Iterable[Figure],
) -> None:
    """Puts an experiment's figures into the file, in place of older ones."""
    path.parent.mkdir(parents=True, exist_ok=True)
    document = json.loads(path.read_text()) if path.exists() else {}
    document[experiment.name] = {
        'title': experiment.title,
        'systems': [system.value for system in experiment.systems],
        'seeds': list(seeds),
        'figures': [
            {**asdict(figure), 'median': figure.median} for figure in figures
        ],
    }
    path.write_text(json.dumps(document, indent=2))


def main() -> int:
    """Runs the chosen experiments."""
    names = [one.name for one in all_experiments()]
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', nargs='+', choices=names, default=names)
    parser.add_argument('--repeats', type=int, default=3)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--out', type=pathlib.Path, default=_OUT)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.repeats)
    for experiment in all_experiments():
        if experiment.name in arguments.only:
            sys.stdout.write(f'{experiment.name}: {experiment.title}, ')
            sys.stdout.write(f'seeds {list(seeds)}\n')
            figures = asyncio.run(run_experiment(experiment, seeds))
            save(arguments.out, experiment, seeds, figures)
            plot = arguments.out.with_name(f'{experiment.name}.png')
            draw(plot, experiment.title, figures)
            sys.stdout.write('\n'.join(str(one) for one in figures))
            sys.stdout.write('\n')
            sys.stdout.flush()
    return 0


if __name__ == '__main__':
    sys.exit(main())
