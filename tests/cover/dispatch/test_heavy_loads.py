"""Loads that the decisions are made for, and what callers get of them.

Each is played in virtual time on emulated targets, beside a random choice.
"""

from unittest import mock

import pytest
from attrs import evolve
from jacinthcroft_decisions.internal.dispatch.idle_connections import (
    TRIAL_INTERVAL_REQUESTS,
    IdleConnectionPolicy,
)
from jacinthcroft_decisions.internal.dispatch.target_record import (
    TargetRecord,
)
from jacinthcroft_testkit.internal.dispatch_play import (
    Load,
    PlayResult,
    play_decider,
    play_random,
)

from tests.cover.dispatch.dispatch_builders import make_decider, make_target

TARGETS = tuple(
    make_target(number, zone='abc'[number % 3]) for number in range(32)
)
SECONDS = 20
# Shares that callers and operators are told to expect.
URGENT_SHARE = 0.9
USED_SHARE = 0.5
# A day on which a third of the targets at a time hang in most requests.
GRAY = Load(TARGETS, 74, SECONDS)
# More than the targets can do, in two ranks of urgency.
BURST = Load(TARGETS, 200, SECONDS)
CALM = Load(TARGETS, 74, SECONDS, sick_share=0)


def _play(load: Load, seed: int) -> PlayResult:
    return play_decider(load, make_decider(list(TARGETS)), seed)


@pytest.mark.parametrize('seed', [1, 2])
def test_gray_failures_cost_callers_half_of_what_a_random_choice_costs(
    seed: int,
) -> None:
    played = _play(GRAY, seed)
    at_random = play_random(GRAY, seed)
    lost = played.sent - played.served
    assert 2 * lost < at_random.sent - at_random.served
    assert played.in_objective > at_random.in_objective


@pytest.mark.parametrize('load', [GRAY, BURST, CALM])
def test_a_target_never_runs_more_than_its_slots(load: Load) -> None:
    assert _play(load, 1).most_running <= TARGETS[0].slots


def test_on_a_calm_day_everybody_is_served() -> None:
    played = _play(CALM, 1)
    assert 100 * played.served > 99 * played.sent
    assert played.refused == 0


@pytest.mark.parametrize('seed', [1, 2])
def test_in_a_burst_the_urgent_are_served_and_the_others_told_early(
    seed: int,
) -> None:
    played = _play(BURST, seed)
    at_random = play_random(BURST, seed)
    assert played.by_rank[0] > URGENT_SHARE
    assert 20 * played.refused_late < played.sent
    assert played.in_objective > at_random.in_objective


def test_most_requests_find_an_open_connection() -> None:
    played = _play(GRAY, 1)
    assert played.new_connections < played.sent / 2


def test_most_targets_stay_in_use_under_gray_failures() -> None:
    assert _play(GRAY, 1).least_used_share > USED_SHARE


@pytest.mark.parametrize('seed', [1, 2])
def test_short_requests_of_one_route_do_not_make_hangs_of_longer_ones(
    seed: int,
) -> None:
    load = Load(TARGETS, 300, SECONDS, short_share=0.4)
    played = _play(load, seed)
    assert played.served_share > URGENT_SHARE
    assert 20 * played.refused_late < played.sent


@pytest.mark.parametrize('seed', [1, 2])
def test_forgotten_connections_cost_hardly_more_than_a_gray_day(
    seed: int,
) -> None:
    # Half of the targets reset what comes over a connection that rested.
    forgetful = _play(Load(TARGETS, 74, SECONDS, forget_share=0.5), seed)
    assert forgetful.served_share > URGENT_SHARE


@pytest.mark.parametrize('seed', [1, 2])
def test_targets_that_reset_at_once_do_not_use_up_a_burst(seed: int) -> None:
    # Found on scale-2 of hbr-gateway-grown: nine targets reset 500 requests.
    sound = _play(BURST, seed)
    broken = _play(evolve(BURST, reset_share=0.1), seed)
    assert broken.failed < 1.2 * sound.failed
    assert broken.served_share > 0.9 * 0.9 * sound.served_share
    assert 20 * broken.refused_late < broken.sent


def test_what_cannot_be_served_is_refused_early_if_most_targets_reset() -> None:
    played = _play(evolve(GRAY, reset_share=0.9), 1)
    assert 20 * played.refused_late < played.sent


def test_connections_are_kept_again_once_the_targets_keep_them() -> None:
    idle_connections = IdleConnectionPolicy()
    for _ in range(10):
        idle_connections.record_result(was_reset=True)
    assert idle_connections.max_idle_seconds(1, is_repeatable=False) is not None
    assert (
        idle_connections.max_idle_seconds(
            TRIAL_INTERVAL_REQUESTS, is_repeatable=True
        )
        is None
    )
    for _ in range(50):
        idle_connections.record_result(was_reset=False)
    assert idle_connections.max_idle_seconds(1, is_repeatable=False) is None


def test_a_send_in_a_burst_costs_no_more_than_a_look_at_each_target() -> None:
    # The deciding VM of a large fleet has to keep up with a burst.
    many = tuple(make_target(number) for number in range(182))
    load = Load(many, 800, 5, vms=137, deadline=4.0)
    with mock.patch.object(
        TargetRecord,
        'has_path_from',
        autospec=True,
        return_value=True,
    ) as look:
        played = play_decider(load, make_decider(list(many)), 1)
    assert look.call_count < len(many) * played.sent
