"""Checks of what single requests were promised.

Pure functions over a `History`; each returns the violations it found.
"""

import collections
from collections.abc import Iterable, Sequence

from jacinthcroft_testkit.internal.history import (
    History,
    Outcome,
    OutcomeKind,
    Run,
    Sent,
)
from jacinthcroft_testkit.internal.violations import (
    CredentialsSeen,
    FalseNotRun,
    ForeignAnswer,
    PhantomAnswer,
    RepeatedRun,
    TornAnswer,
    WrongTeam,
)

_NOT_RUN = 'not-run'


def find_repeated_runs(runs: Iterable[Run]) -> tuple[RepeatedRun, ...]:
    """Finds non-idempotent requests that ran more than once.

    Only non-idempotent requests carry a key, so every keyed run counts,
    also one that failed or was cancelled.
    """
    return tuple(
        RepeatedRun(team, key, tuple(run.request_id for run in group))
        for (team, key), group in _group_by_key(runs).items()
        if len(group) > 1
    )


def find_false_refusals(history: History) -> tuple[FalseNotRun, ...]:
    """Finds refusals that say `not-run` of a request that had run.

    A keyed request had run when any run of its key started before the
    refusal arrived, through whichever VM. Without a key the run is known
    by the refusal's request id, and one that starts later counts as well.
    """
    runs_by_key = _group_by_key(history.runs)
    runs_by_id = {run.request_id: run for run in history.runs if run.request_id}
    found: list[FalseNotRun] = []
    for sent, outcome in _pair(history):
        if outcome.outcome != _NOT_RUN:
            continue
        of_key = runs_by_key.get((sent.team, sent.key), ())
        runs = [run for run in of_key if run.started < outcome.at]
        own_run = runs_by_id.get(outcome.request_id)
        if own_run is not None and own_run not in runs:
            runs.append(own_run)
        found.extend(_false_refusal(outcome, run) for run in runs)
    return tuple(found)


def find_foreign_answers(history: History) -> tuple[ForeignAnswer, ...]:
    """Finds answers that state another request than the caller's."""
    return tuple(
        ForeignAnswer(outcome.number, outcome.request_id)
        for outcome in _answers(history)
        if outcome.is_whole and not outcome.is_own
    )


def find_torn_answers(history: History) -> tuple[TornAnswer, ...]:
    """Finds answers that arrived incomplete but looked complete."""
    return tuple(
        TornAnswer(outcome.number, outcome.request_id)
        for outcome in _answers(history)
        if not outcome.is_whole
    )


def find_phantom_answers(history: History) -> tuple[PhantomAnswer, ...]:
    """Finds answers to requests that no target ran."""
    paths = {run.path for run in history.runs}
    return tuple(
        PhantomAnswer(outcome.number, outcome.request_id)
        for sent, outcome in _pair(history)
        if outcome.kind is OutcomeKind.ANSWERED and sent.path not in paths
    )


def find_wrong_teams(history: History) -> tuple[WrongTeam, ...]:
    """Finds runs for a team other than the one that sent the request."""
    teams = {sent.path: sent.team for sent in history.sent}
    return tuple(
        WrongTeam(run.request_id, teams[run.path], run.team)
        for run in history.runs
        if teams.get(run.path, run.team) != run.team
    )


def find_seen_credentials(runs: Iterable[Run]) -> tuple[CredentialsSeen, ...]:
    """Finds runs whose target saw an `Authorization` header."""
    return tuple(
        CredentialsSeen(run.target, run.request_id)
        for run in runs
        if run.has_seen_credentials
    )


def _group_by_key(
    runs: Iterable[Run],
) -> dict[tuple[str, str], list[Run]]:
    groups: dict[tuple[str, str], list[Run]] = collections.defaultdict(list)
    for run in runs:
        if run.key:
            groups[run.team, run.key].append(run)
    return groups


def _pair(history: History) -> Sequence[tuple[Sent, Outcome]]:
    sent_by_number = {sent.number: sent for sent in history.sent}
    return [
        (sent_by_number[outcome.number], outcome)
        for outcome in history.outcomes
    ]


def _answers(history: History) -> Iterable[Outcome]:
    return (
        outcome
        for outcome in history.outcomes
        if outcome.kind is OutcomeKind.ANSWERED
    )


def _false_refusal(outcome: Outcome, run: Run) -> FalseNotRun:
    return FalseNotRun(
        outcome.number,
        outcome.reason,
        outcome.at,
        run.started,
    )
