"""Plays seeds: `python -m tests.soak --seeds 1-10 --seconds 20`."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from tests.soak.faults import FAULTS
from tests.soak.run import SoakPlan, SoakResult, play


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='python -m tests.soak')
    parser.add_argument('--seeds', default='1-5', help='N or FIRST-LAST')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--vms', type=int, default=5)
    parser.add_argument('--targets', type=int, default=6)
    parser.add_argument('--only', nargs='*', choices=sorted(FAULTS), default=())
    parser.add_argument('--logs', type=pathlib.Path, help='folder for logs')
    return parser.parse_args(arguments)


def _tell(result: SoakResult, folder: pathlib.Path) -> None:
    verdict = 'BROKEN' if result.broken else 'kept'
    statuses = ' '.join(
        f'{status}:{count}' for status, count in sorted(result.statuses.items())
    )
    sys.stdout.write(
        f'seed {result.seed} {verdict} calls={result.calls} {statuses}'
        f' faults={len(result.faults)} logs={folder}\n',
    )
    for line in result.broken:
        sys.stdout.write(f'  {line}\n')
    sys.stdout.flush()


def main() -> int:
    """Returns 1 if any seed broke a promise."""
    options = _parse(sys.argv[1:])
    first, _, last = options.seeds.partition('-')
    logs = options.logs or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    is_broken = False
    for seed in range(int(first), int(last or first) + 1):
        folder = logs / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        plan = SoakPlan(
            seed,
            options.seconds,
            options.vms,
            options.targets,
            tuple(options.only),
        )
        result = asyncio.run(play(plan, folder))
        is_broken = is_broken or bool(result.broken)
        _tell(result, folder)
    return int(is_broken)


if __name__ == '__main__':
    sys.exit(main())
