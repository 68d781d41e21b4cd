"""What a run promises, said in one line each and checked."""

from collections.abc import Iterable, Sequence

from attrs import frozen
from jacinthcroft_config import Service

from jacinthcroft_testkit.internal.history import History, OutcomeKind, Run
from jacinthcroft_testkit.internal.load_checks import (
    Bearing,
    find_excess_connections,
    find_overfilled_slots,
    find_overspending,
)
from jacinthcroft_testkit.internal.request_checks import (
    find_false_refusals,
    find_foreign_answers,
    find_phantom_answers,
    find_repeated_runs,
    find_seen_credentials,
    find_torn_answers,
    find_wrong_teams,
)
from jacinthcroft_testkit.internal.violations import Violation

_MAX_SHOWN = 3


@frozen
class Statement:
    """A sentence about a run and what speaks against it."""

    text: str
    evidence: Sequence[object]

    @property
    def holds(self) -> bool:
        """Whether nothing speaks against the sentence."""
        return not self.evidence

    def __str__(self) -> str:
        """Returns the sentence with its first evidence below it."""
        mark = 'holds ' if self.holds else 'BROKEN'
        shown = [f'         {one}' for one in self.evidence[:_MAX_SHOWN]]
        return '\n'.join((f'  {mark} {self.text}', *shown))


def state_promises(
    history: History,
    services: Sequence[Service],
) -> list[Statement]:
    """Checks a history against every promise about single requests."""
    runs = history.runs
    return [
        Statement(
            'no non-idempotent request ran twice',
            find_repeated_runs(runs),
        ),
        Statement(
            'every refusal that says "not-run" is true',
            find_false_refusals(history),
        ),
        Statement(
            'every answer is whole and the own one',
            (
                *find_foreign_answers(history),
                *find_torn_answers(history),
                *find_phantom_answers(history),
            ),
        ),
        Statement(
            'every request ran for the team whose key it carried',
            find_wrong_teams(history),
        ),
        Statement('no target saw a key', find_seen_credentials(runs)),
        Statement(
            'no team exceeded its rate and burst',
            tuple(_find_overspending(runs, services)),
        ),
        Statement(
            'no target ran more than its slots or held too many connections',
            tuple(_find_overload(runs, services)),
        ),
    ]


def state_settled(history: History, final: Iterable[int]) -> Statement:
    """Checks that each request's last sending was answered or refused."""
    last = set(final)
    return Statement(
        'every request ended with an answer or an honest refusal',
        tuple(
            outcome
            for outcome in history.outcomes
            if outcome.number in last and _is_broken(outcome.kind)
        ),
    )


def runs_of(service: Service, runs: Iterable[Run]) -> list[Run]:
    """Returns the runs on a service's targets."""
    names = {target.name for target in service.targets}
    return [run for run in runs if run.target in names]


def bearing_of(service: Service, cold_grace_seconds: float = 0) -> Bearing:
    """Returns what a service file says its targets bear."""
    limits = service.limits
    return Bearing(
        limits.slots,
        limits.cold_slots,
        limits.connections,
        cold_grace_seconds,
    )


def _find_overspending(
    runs: Sequence[Run],
    services: Sequence[Service],
) -> Iterable[Violation]:
    for service in services:
        own = runs_of(service, runs)
        for team in service.teams:
            yield from find_overspending(own, team.name, team.rate, team.burst)


def _find_overload(
    runs: Sequence[Run],
    services: Sequence[Service],
) -> Iterable[Violation]:
    for service in services:
        own = runs_of(service, runs)
        yield from find_overfilled_slots(own, bearing_of(service))
        yield from find_excess_connections(own, bearing_of(service))


def _is_broken(kind: OutcomeKind) -> bool:
    return kind in {OutcomeKind.CONNECTION_LOST, OutcomeKind.TIMED_OUT}
