"""Shared limits while two VMs decide at once.

Each of them may restart, lose the reports of its attempts, or pause.
"""

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

TEAM_RATE: Final = 10.0
TEAM_BURST: Final = 10.0
WINDOW_SECONDS: Final = 5.0
COLD_RATE: Final = 2.5
STEP_SECONDS: Final = 0.02
STEPS: Final = 600
DECIDERS: Final = 2

# The step and the kind of each event, and the decider that it happens to: it
# restarts, its reports get lost until the next such event, or it gets no asks
# for 100 steps.
EVENTS = st.lists(
    st.tuples(
        st.integers(0, STEPS - 1),
        st.sampled_from(('restart', 'lose', 'pause')),
        st.integers(0, DECIDERS - 1),
    ),
    max_size=3,
)


@define
class SplitFleet:
    """Two deciders for the same targets, each with its share of the fleet."""

    shares: tuple[float, float]
    is_cold: bool
    granted: list[float] = field(factory=list)
    deciders: dict[int, Decider] = field(factory=dict)
    losing_reports: set[int] = field(factory=set)
    paused_until_step: Counter[int] = field(factory=Counter)

    def start_decider(self, number: int) -> None:
        """Starts a decider without any state, in place of the former one."""
        count, cold_seconds_left = (1, 99) if self.is_cold else (6, 0)
        targets = [
            make_target(target, slots=50, cold_seconds_left=cold_seconds_left)
            for target in range(count)
        ]
        rates: dict[str, Any] = (
            {} if self.is_cold else {'rate': TEAM_RATE, 'burst': TEAM_BURST}
        )
        decider = make_decider(targets, **rates)
        # A VM that has just started overestimates the size of the fleet, so
        # its share is never too large.
        decider.share = self.shares[number]
        documents = make_documents(targets, **rates)
        decider.apply_documents(documents, 0)
        self.deciders[number] = decider

    def run(self, events: list[tuple[int, str, int]]) -> None:
        """Sends far more asks than the limits allow to both deciders."""
        for number in range(DECIDERS):
            self.start_decider(number)
        by_step = {step: (kind, affected) for step, kind, affected in events}
        for step in range(STEPS):
            event = by_step.get(step)
            if event is not None:
                self._apply_event(*event, step)
            for number in range(DECIDERS):
                is_paused = step < self.paused_until_step[number]
                if not is_paused:
                    self._send_ask(number, step)

    def _apply_event(self, kind: str, number: int, step: int) -> None:
        if kind == 'restart':
            self.start_decider(number)
        elif kind == 'lose':
            self.losing_reports ^= {number}
        else:
            self.paused_until_step[number] = step + 100

    def _send_ask(self, number: int, step: int) -> None:
        at = step * STEP_SECONDS
        decider = self.deciders[number]
        ask = make_ask(step, vm=f'vm{number}', time_left=0.3)
        first = decider.decide(ask, 'a', at)
        for decision in (first, *decider.tick(at)):
            if isinstance(decision, Grant):
                self.granted.append(at)
                if number not in self.losing_reports:
                    report = Report(decision.key, Outcome.SERVED, STEP_SECONDS)
                    decider.handle_report(report, at + STEP_SECONDS / 2)


def _count_most_in_window(granted: list[float], window: float) -> int:
    return max(
        (
            sum(start <= at < start + window for at in granted)
            for start in granted
        ),
        default=0,
    )


@settings(max_examples=25, deadline=None)
@given(EVENTS, st.sampled_from([(0.5, 0.5), (0.9, 0.1), (0.25, 0.75)]))
def test_two_deciders_keep_a_team_within_its_tolerance(
    events: list[tuple[int, str, int]],
    shares: tuple[float, float],
) -> None:
    fleet = SplitFleet(shares, is_cold=False)
    fleet.run(events)
    bound = (TEAM_RATE * WINDOW_SECONDS + TEAM_BURST) * (
        1 + LIMITS.quota_overshoot
    )
    assert (
        _count_most_in_window(fleet.granted, WINDOW_SECONDS)
        <= bound + LIMITS.quota_slack
    )


@settings(max_examples=25, deadline=None)
@given(EVENTS, st.sampled_from([(0.5, 0.5), (0.9, 0.1), (1.0, 1.0)]))
def test_two_deciders_keep_a_cold_target_within_its_limit(
    events: list[tuple[int, str, int]],
    shares: tuple[float, float],
) -> None:
    fleet = SplitFleet(shares, is_cold=True)
    fleet.run(events)
    bound = COLD_RATE * LIMITS.cold_factor + LIMITS.cold_slack
    assert _count_most_in_window(fleet.granted, 1) <= bound
