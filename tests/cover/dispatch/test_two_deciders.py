"""Shared limits while two VMs decide at once, change, restart and lose word."""

from collections import Counter
from typing import Any, Final

from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthcroft_decisions.dispatch import (
    Decider,
    Grant,
    Outcome,
    Report,
)

from tests.cover.dispatch.dispatch_builders import (
    LIMITS,
    make_ask,
    make_decider,
    make_documents,
    make_target,
)

RATE: Final = 10.0
BURST: Final = 10.0
WINDOW: Final = 5.0
COLD_RATE: Final = 2.5
STEP: Final = 0.02
STEPS: Final = 600
DECIDERS: Final = 2

# What happens at a step: nothing, a decider restarts, or its reports are lost
# for a while.
EVENTS = st.lists(
    st.tuples(
        st.integers(0, STEPS - 1),
        st.sampled_from(('restart', 'lose', 'pause')),
        st.integers(0, DECIDERS - 1),
    ),
    max_size=3,
)


@define
class Split:
    """Two deciders over the same targets, each with its share."""

    shares: tuple[float, float]
    is_cold: bool
    granted: list[float] = field(factory=list)
    deciders: dict[int, Decider] = field(factory=dict)
    losing: set[int] = field(factory=set)
    paused: Counter[int] = field(factory=Counter)

    def start(self, which: int) -> None:
        """Starts a decider that knows nothing of before."""
        count, cold_seconds_left = (1, 99) if self.is_cold else (6, 0)
        targets = [
            make_target(number, slots=50, cold_seconds_left=cold_seconds_left)
            for number in range(count)
        ]
        rates: dict[str, Any] = (
            {} if self.is_cold else {'rate': RATE, 'burst': BURST}
        )
        decider = make_decider(targets, **rates)
        # After its start a VM takes the fleet for larger than it sees.
        decider.share = self.shares[which]
        documents = make_documents(targets, **rates)
        decider.apply_documents(documents, 0)
        self.deciders[which] = decider

    def play(self, events: list[tuple[int, str, int]]) -> None:
        """Sends far more than the limits through both."""
        for which in range(DECIDERS):
            self.start(which)
        by_step = {step: (kind, where) for step, kind, where in events}
        for step in range(STEPS):
            happening = by_step.get(step)
            if happening is not None:
                self._happen(*happening, step)
            for asked in range(DECIDERS):
                is_paused = step < self.paused[asked]
                if not is_paused:
                    self._ask(asked, step)

    def _happen(self, kind: str, which: int, step: int) -> None:
        if kind == 'restart':
            self.start(which)
        elif kind == 'lose':
            self.losing ^= {which}
        else:
            self.paused[which] = step + 100

    def _ask(self, which: int, step: int) -> None:
        at = step * STEP
        decider = self.deciders[which]
        ask = make_ask(step, vm=f'vm{which}', time_left=0.3)
        first = decider.decide(ask, 'a', at)
        for decision in (first, *decider.tick(at)):
            if isinstance(decision, Grant):
                self.granted.append(at)
                if which not in self.losing:
                    report = Report(decision.key, Outcome.SERVED, STEP)
                    decider.handle_report(report, at + STEP / 2)


def _most_in(granted: list[float], window: float) -> int:
    return max(
        (
            sum(start <= at < start + window for at in granted)
            for start in granted
        ),
        default=0,
    )


@settings(max_examples=25, deadline=None)
@given(EVENTS, st.sampled_from([(0.5, 0.5), (0.9, 0.1), (0.25, 0.75)]))
def test_a_team_keeps_to_its_tolerance_under_two_deciders(
    events: list[tuple[int, str, int]],
    shares: tuple[float, float],
) -> None:
    split = Split(shares, is_cold=False)
    split.play(events)
    bound = (RATE * WINDOW + BURST) * (1 + LIMITS.quota_overshoot)
    assert _most_in(split.granted, WINDOW) <= bound + LIMITS.quota_slack


@settings(max_examples=25, deadline=None)
@given(EVENTS, st.sampled_from([(0.5, 0.5), (0.9, 0.1), (1.0, 1.0)]))
def test_a_cold_target_bears_what_two_deciders_send(
    events: list[tuple[int, str, int]],
    shares: tuple[float, float],
) -> None:
    split = Split(shares, is_cold=True)
    split.play(events)
    bound = COLD_RATE * LIMITS.cold_factor + LIMITS.cold_slack
    assert _most_in(split.granted, 1) <= bound
