"""Each request check fails on a history that breaks its promise."""

import attrs
import pytest
from jacinthcroft_testkit import (
    CredentialsSeen,
    FalseNotRun,
    ForeignAnswer,
    History,
    Outcome,
    OutcomeKind,
    PhantomAnswer,
    RepeatedRun,
    Run,
    Sent,
    TornAnswer,
    WrongTeam,
    find_false_refusals,
    find_foreign_answers,
    find_phantom_answers,
    find_repeated_runs,
    find_seen_credentials,
    find_torn_answers,
    find_wrong_teams,
)

_SENT = Sent(1, 0, 'vm1', 'transfers', 'app', 'POST', '/t?n=1', 'key1')
_RUN = Run('t1', 'id1', 'key1', 'app', 'POST', '/t?n=1', 1.0, 1.5)
_ANSWER = Outcome(1, 2.0, OutcomeKind.ANSWERED, 200, 'id1')
_NOT_RUN = Outcome(
    1,
    0.5,
    OutcomeKind.REFUSED,
    429,
    'id1',
    'not-run',
    'rate-exceeded',
)


def test_a_key_that_ran_once_for_each_of_two_teams_is_not_repeated() -> None:
    other = attrs.evolve(_RUN, team='web', request_id='id2')
    assert not find_repeated_runs([_RUN, other])


def test_a_key_that_ran_twice_is_found_even_if_one_run_failed() -> None:
    again = attrs.evolve(_RUN, target='t2', request_id='id2', ended=None)
    assert find_repeated_runs([_RUN, again]) == (
        RepeatedRun('app', 'key1', ('id1', 'id2')),
    )


def test_runs_without_a_key_may_repeat() -> None:
    run = attrs.evolve(_RUN, key='')
    assert not find_repeated_runs([run, run])


def test_not_run_is_true_when_the_key_runs_only_after_the_refusal() -> None:
    later = attrs.evolve(_RUN, request_id='id2')
    assert not find_false_refusals(History((_SENT,), (_NOT_RUN,), (later,)))


@pytest.mark.parametrize(
    'run',
    [
        attrs.evolve(_RUN, started=0.4),
        attrs.evolve(_RUN, started=0.4, request_id='id2'),
        attrs.evolve(_RUN, started=1.0),
    ],
    ids=['same sending before', 'resend before', 'same sending later'],
)
def test_not_run_is_false_when_the_request_ran(run: Run) -> None:
    history = History((_SENT,), (_NOT_RUN,), (run,))
    assert find_false_refusals(history) == (
        FalseNotRun(1, 'rate-exceeded', 0.5, run.started),
    )


def test_unknown_claims_nothing_about_runs() -> None:
    refusal = attrs.evolve(_NOT_RUN, outcome='unknown')
    run = attrs.evolve(_RUN, started=0.4)
    assert not find_false_refusals(History((_SENT,), (refusal,), (run,)))


def test_a_request_without_key_is_known_by_its_request_id() -> None:
    sent = attrs.evolve(_SENT, key='', method='GET')
    run = attrs.evolve(_RUN, key='', started=0.7)
    assert find_false_refusals(History((sent,), (_NOT_RUN,), (run,)))
    other = attrs.evolve(run, request_id='id2')
    assert not find_false_refusals(History((sent,), (_NOT_RUN,), (other,)))


def test_an_own_and_whole_answer_of_a_run_passes() -> None:
    history = History((_SENT,), (_ANSWER,), (_RUN,))
    assert not find_foreign_answers(history)
    assert not find_torn_answers(history)
    assert not find_phantom_answers(history)


def test_foreign_torn_and_phantom_answers_are_found() -> None:
    foreign = attrs.evolve(_ANSWER, is_own=False)
    torn = attrs.evolve(_ANSWER, is_whole=False)
    assert find_foreign_answers(History((_SENT,), (foreign,))) == (
        ForeignAnswer(1, 'id1'),
    )
    assert find_torn_answers(History((_SENT,), (torn,))) == (
        TornAnswer(1, 'id1'),
    )
    assert find_phantom_answers(History((_SENT,), (_ANSWER,))) == (
        PhantomAnswer(1, 'id1'),
    )


def test_a_run_for_another_team_is_found() -> None:
    wrong = attrs.evolve(_RUN, team='web')
    assert not find_wrong_teams(History((_SENT,), (), (_RUN,)))
    assert find_wrong_teams(History((_SENT,), (), (wrong,))) == (
        WrongTeam('id1', 'app', 'web'),
    )


def test_a_target_that_saw_a_key_is_found() -> None:
    leaky = attrs.evolve(_RUN, has_seen_credentials=True)
    assert not find_seen_credentials([_RUN])
    assert find_seen_credentials([leaky]) == (CredentialsSeen('t1', 'id1'),)
