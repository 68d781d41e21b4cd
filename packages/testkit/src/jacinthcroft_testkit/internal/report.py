"""The short table of one run."""

import sys
from collections import Counter
from collections.abc import Iterable

from attrs import frozen

from jacinthcroft_testkit.internal.history import (
    History,
    Outcome,
    OutcomeKind,
)
from jacinthcroft_testkit.internal.latency import Latency


@frozen
class Comparison:
    """The same requests sent directly to a target and through the fleet."""

    direct: Latency
    through: Latency

    def __str__(self) -> str:
        """Returns the figures of both and what the fleet added."""
        added_p50 = self.through.p50_ms - self.direct.p50_ms
        added_p99 = self.through.p99_ms - self.direct.p99_ms
        return (
            f'direct {_times(self.direct.p50_ms, self.direct.p99_ms)}, '
            f'fleet {_times(self.through.p50_ms, self.through.p99_ms)}, '
            f'added {_times(added_p50, added_p99)} (p50/p99)'
        )


def print_table(
    history: History,
    final: Iterable[Outcome],
    comparison: Comparison,
) -> None:
    """Prints how requests ended and what they cost."""
    kinds = Counter(outcome.kind for outcome in final)
    sendings = Counter(outcome.kind for outcome in history.outcomes)
    print_row('requests', kinds.total())
    print_row('answered', kinds[OutcomeKind.ANSWERED])
    print_row('refused', kinds[OutcomeKind.REFUSED])
    for (reason, claim), count in _count_reasons(final).items():
        print_row(f'  {reason} ({claim})', count)
    print_row('sendings', sendings.total())
    print_row('  connection lost', sendings[OutcomeKind.CONNECTION_LOST])
    print_row('  timed out', sendings[OutcomeKind.TIMED_OUT])
    for runs, keys in sorted(count_runs_per_key(history).items()):
        print_row(f'non-idempotent keys with {runs} runs', keys)
    print_row('latency', comparison)


def print_row(name: str, figure: object) -> None:
    """Prints one line of the table."""
    sys.stdout.write(f'  {name:<40} {figure}\n')
    sys.stdout.flush()


def count_runs_per_key(history: History) -> Counter[int]:
    """Returns how many keys had no run, one run and so on."""
    runs = Counter(run.key for run in history.runs if run.key)
    keys = {sent.key for sent in history.sent if sent.key}
    return Counter(runs[key] for key in keys)


def _count_reasons(final: Iterable[Outcome]) -> Counter[tuple[str, str]]:
    return Counter(
        (outcome.reason, outcome.outcome)
        for outcome in final
        if outcome.kind is OutcomeKind.REFUSED
    )


def _times(p50_ms: float, p99_ms: float) -> str:
    return f'{p50_ms:.2f}/{p99_ms:.2f} ms'
