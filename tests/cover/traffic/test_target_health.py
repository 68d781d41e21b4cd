"""Sick targets are found by how they differ from the others."""

import itertools
from collections.abc import Callable

import pytest
from jacinthcroft_decisions.traffic import (
    ColdStartNoticed,
    PathBlocked,
    RunOutcome,
    TargetCondition,
    TargetEjected,
    TargetReadmitted,
)

from tests.cover.traffic.builders import (
    FAST_SECONDS,
    VM_ZONES,
    CellDriver,
    make_ask,
    make_service,
)

REASONS = {
    RunOutcome.SERVER_ERROR: 'errors',
    RunOutcome.STALLED: 'stalls',
    RunOutcome.RESET: 'resets',
    RunOutcome.CONNECT_FAILED: 'connects',
    RunOutcome.CROSSED: 'crossings',
}


def warm_driver() -> CellDriver:
    driver = CellDriver(make_service(cold_start_seconds=2))
    driver.run_many(120)
    assert not driver.events
    return driver


def eject(driver: CellDriver, sick: dict[str, RunOutcome]) -> TargetEjected:
    """Runs requests until a target is ejected."""
    before = len(ejected(driver))
    for _ in range(200):
        driver.run_many(1, sick)
        if len(ejected(driver)) > before:
            break
    return ejected(driver)[-1]


def ejected(driver: CellDriver) -> list[TargetEjected]:
    return [
        event for event in driver.events if isinstance(event, TargetEjected)
    ]


@pytest.mark.parametrize('outcome', REASONS)
def test_a_target_that_only_fails_is_ejected_after_a_few_requests(
    outcome: RunOutcome,
) -> None:
    driver = warm_driver()
    driver.used.clear()
    driver.run_many(60, {'t2': outcome})
    assert ejected(driver)[0].target == 't2'
    assert ejected(driver)[0].reasons == (REASONS[outcome],)
    assert driver.used.count('t2') <= 5
    assert driver.conditions()['t2'] is TargetCondition.EJECTED


def test_requests_that_hang_are_noticed_before_their_deadline() -> None:
    driver = warm_driver()
    for _ in range(30):
        driver.now += 0.1
        driver.cell.tick(driver.now)
        for number in range(12):
            vm = f'vm{number % 6}'
            driver.cell.enqueue(make_ask(vm, VM_ZONES[number % 3]), driver.now)
        for granted in driver.cell.grant_permits(driver.now, driver.now + 3):
            if granted.permit.target != 't2':
                driver.answer(granted.permit, vm)
    driver.events.extend(driver.cell.take_events())
    assert {event.target for event in ejected(driver)} == {'t2'}
    assert ejected(driver)[0].reasons == ('stalls',)


def test_a_lost_vm_that_held_all_slots_blames_no_target() -> None:
    driver = warm_driver()
    driver.cell.enqueue(make_ask('lost'), driver.now)
    driver.cell.enqueue(make_ask('lost'), driver.now)
    driver.cell.grant_permits(driver.now, driver.now + 3)
    for _ in range(40):
        driver.now += 0.1
        driver.run_many(1)
    assert not ejected(driver)


def test_a_target_that_stalls_every_second_call_is_ejected() -> None:
    driver = warm_driver()
    for turn in range(60):
        outcome = RunOutcome.STALLED if turn % 2 else RunOutcome.ANSWERED
        driver.run_many(5, {'t2': outcome})
    assert {event.target for event in ejected(driver)} == {'t2'}


def test_faults_of_the_whole_service_eject_nobody() -> None:
    driver = CellDriver(make_service(cold_start_seconds=0.5))
    everywhere = {f't{number}': RunOutcome.SERVER_ERROR for number in range(6)}
    driver.run_many(120)
    for _ in range(60):
        # One in ten requests fails wherever it runs.
        driver.run_many(9)
        driver.run_many(1, everywhere)
    assert not ejected(driver)


def test_shed_load_and_cancelled_requests_blame_nobody() -> None:
    driver = warm_driver()
    driver.run_many(60, {'t2': RunOutcome.SHED, 't3': RunOutcome.CANCELLED})
    assert not ejected(driver)


def test_a_deadline_shorter_than_a_usual_answer_blames_nobody() -> None:
    driver = warm_driver()
    stalled = {f't{number}': RunOutcome.STALLED for number in range(6)}
    for _ in range(60):
        driver.run(stalled, latency=FAST_SECONDS / 10)
    assert not ejected(driver)


def test_an_ejected_target_returns_by_single_trials() -> None:
    driver = warm_driver()
    ejection = eject(driver, {'t2': RunOutcome.RESET})
    driver.used.clear()
    driver.now = ejection.retry_at
    while driver.conditions()['t2'] is TargetCondition.EJECTED:
        driver.run_many(1)
    assert driver.used == ['t2', 't2', 't2']
    assert isinstance(driver.events[-1], TargetReadmitted)
    # Its process was probably started anew.
    assert driver.conditions()['t2'] is TargetCondition.COLD


def test_flapping_is_answered_by_longer_and_longer_pauses() -> None:
    driver = warm_driver()
    for _ in range(5):
        driver.now = eject(driver, {'t2': RunOutcome.RESET}).retry_at
        driver.run_many(12)
    pauses = [event.retry_at - event.happened_at for event in ejected(driver)]
    assert len(pauses) >= 5
    steps = itertools.pairwise(pauses)
    assert all(later > 1.5 * sooner for sooner, later in steps)


def test_a_failed_trial_lengthens_the_pause() -> None:
    driver = warm_driver()
    sick = {'t2': RunOutcome.RESET}
    driver.now = eject(driver, sick).retry_at
    driver.used.clear()
    driver.run_many(60, sick)
    assert driver.used.count('t2') == 1


def test_a_bad_probe_holds_back_the_trial_only_for_a_while() -> None:
    driver = warm_driver()
    driver.now = eject(driver, {'t2': RunOutcome.RESET}).retry_at - 0.4
    driver.used.clear()
    assert driver.cell.next_probe_target(driver.now) == 't2'
    assert driver.cell.next_probe_target(driver.now) is None
    driver.cell.record_probe_result('t2', False, driver.now)
    driver.now += 0.5
    driver.run_many(12)
    assert 't2' not in driver.used
    for _ in range(20):
        driver.now += 0.5
        if driver.cell.next_probe_target(driver.now):
            driver.cell.record_probe_result('t2', False, driver.now)
        driver.run_many(1)
    assert 't2' in driver.used


def test_one_vm_that_cannot_reach_a_target_is_sent_elsewhere() -> None:
    driver = warm_driver()
    sick = {'t2': RunOutcome.CONNECT_FAILED}
    lost = [run_of_one_vm(driver, turn, sick) for turn in range(300)]
    assert not ejected(driver)
    assert lost.count('t2') <= 10
    blocked = [e for e in driver.events if isinstance(e, PathBlocked)]
    assert blocked[0].target == 't2'
    assert blocked[0].paths == ('vm0',)


def run_of_one_vm(
    driver: CellDriver,
    turn: int,
    sick: dict[str, RunOutcome],
) -> str | None:
    """Runs requests of all VMs, of which only vm0 sees the fault."""
    for other in range(1, 6):
        driver.run({}, vm=f'vm{other}', zone=VM_ZONES[(other + turn) % 3])
    return driver.run(sick, vm='vm0', zone='va')


def test_one_zone_that_cannot_reach_a_target_is_sent_elsewhere() -> None:
    driver = warm_driver()
    sick = {'t2': RunOutcome.STALLED}
    lost = 0
    for turn in range(600):
        is_cut_off = turn % 3 == 0
        target = driver.run(
            sick if is_cut_off else {},
            vm=f'vm{turn % 12}',
            zone=VM_ZONES[turn % 3],
            slow={'t2': 1} if is_cut_off else {},
        )
        lost += is_cut_off and target == 't2'
    assert not ejected(driver)
    assert lost <= 12


def test_a_fault_seen_from_several_zones_ejects_the_target() -> None:
    driver = warm_driver()
    sick = {'t2': RunOutcome.CONNECT_FAILED}
    for turn in range(120):
        # Two of three zones are cut off.
        is_cut_off = turn % 3 > 0
        driver.run(
            sick if is_cut_off else {},
            vm=f'vm{turn % 12}',
            zone=VM_ZONES[turn % 3],
        )
    assert 't2' in {event.target for event in ejected(driver)}


def test_a_vm_that_reaches_nothing_keeps_all_targets() -> None:
    driver = warm_driver()
    everything = {f't{n}': RunOutcome.CONNECT_FAILED for n in range(6)}
    served = [run_of_one_vm(driver, turn, everything) for turn in range(80)]
    assert not ejected(driver)
    assert None not in served[-20:]


def test_a_latency_step_puts_a_target_back_in_the_ramp() -> None:
    driver = warm_driver()
    driver.run_many(60, slow={'t2': 0.2})
    cold = [e for e in driver.events if isinstance(e, ColdStartNoticed)]
    assert [(e.target, e.cause) for e in cold] == [('t2', 'latency')]
    assert not ejected(driver)


def test_a_target_that_stays_slow_after_its_ramp_is_ejected() -> None:
    driver = warm_driver()
    driver.run_many(1500, slow={'t2': 0.2})
    assert {event.target for event in ejected(driver)} == {'t2'}


def test_a_new_boot_id_puts_a_target_back_in_the_ramp() -> None:
    driver = warm_driver()
    for _ in range(30):
        driver.run({}, boot_id='one')
    assert not driver.events
    target = driver.run({}, boot_id='two')
    assert [type(event) for event in driver.events] == [ColdStartNoticed]
    driver.events.clear()
    while driver.run({}, boot_id='one') != target:
        # A late answer of the old process is no restart.
        assert not driver.events


# Longer than a usual answer of the cell, shorter than a slow one.
HURRIED = 3 * FAST_SECONDS


def on_trial(driver: CellDriver) -> CellDriver:
    """Has t2 reset until it is ejected, and waits for its trial."""
    driver.now = eject(driver, {'t2': RunOutcome.RESET}).retry_at
    driver.events.clear()
    return driver


def run_until_used(
    driver: CellDriver,
    outcome: RunOutcome,
    latency: float,
) -> None:
    """Runs requests until one has ended this way on t2."""
    sick = {'t2': outcome}
    repeat_until_used(
        driver,
        lambda: driver.run_many(1, sick, slow={'t2': latency}),
    )


def run_from_until_used(
    driver: CellDriver,
    outcome: RunOutcome,
    vm: str,
    zone: str,
) -> None:
    """Runs one VM's requests until one has ended this way on t2."""
    repeat_until_used(driver, lambda: driver.run({'t2': outcome}, vm, zone))


def repeat_until_used(driver: CellDriver, run: Callable[[], object]) -> None:
    """Repeats a run until t2 has got one."""
    driver.used.clear()
    for _ in range(500):
        run()
        if 't2' in driver.used:
            return
    raise AssertionError('t2 got no work')


def test_a_hurried_request_to_a_cold_target_fails_no_trial() -> None:
    driver = on_trial(warm_driver())
    run_until_used(driver, RunOutcome.STALLED, HURRIED)
    assert not ejected(driver)
    # The target notices late that the request was given up.
    driver.now += 0.5
    driver.used.clear()
    driver.run_many(3)
    assert driver.used == ['t2', 't2', 't2']
    assert isinstance(driver.events[-1], TargetReadmitted)


def test_a_cold_target_that_stalls_for_long_fails_its_trial() -> None:
    driver = on_trial(warm_driver())
    run_until_used(driver, RunOutcome.STALLED, 10 * FAST_SECONDS)
    assert [event.reasons for event in ejected(driver)] == [('stalls',)]


def test_a_cold_start_excuses_for_no_longer_than_it_lasts() -> None:
    driver = on_trial(warm_driver())
    began_at = driver.now
    while not ejected(driver):
        run_until_used(driver, RunOutcome.STALLED, HURRIED)
    assert driver.now - began_at >= 2
    assert [event.reasons for event in ejected(driver)] == [('stalls',)]


def test_a_trial_before_the_restart_is_over_uses_up_no_cold_start() -> None:
    driver = on_trial(warm_driver())
    run_until_used(driver, RunOutcome.CONNECT_FAILED, 0)
    driver.now = max(ejected(driver)[-1].retry_at, driver.now + 3)
    driver.events.clear()
    run_until_used(driver, RunOutcome.STALLED, HURRIED)
    assert not ejected(driver)


def known_by(boot_id: str) -> CellDriver:
    """Returns a driver whose targets have all told a boot id."""
    driver = warm_driver()
    for _ in range(30):
        driver.run({}, boot_id=boot_id)
    return driver


def test_a_probe_that_tells_of_a_restart_begins_the_trial() -> None:
    driver = known_by('one')
    ejection = eject(driver, {'t2': RunOutcome.CONNECT_FAILED})
    assert driver.cell.next_probe_target(driver.now) == 't2'
    driver.cell.record_probe_result('t2', True, driver.now, 'two')
    run_until_used(driver, RunOutcome.ANSWERED, FAST_SECONDS)
    assert driver.now < ejection.retry_at


def test_a_probe_of_the_same_process_ends_no_pause() -> None:
    driver = known_by('one')
    ejection = eject(driver, {'t2': RunOutcome.RESET})
    assert driver.cell.next_probe_target(driver.now) == 't2'
    driver.cell.record_probe_result('t2', True, driver.now, 'one')
    run_until_used(driver, RunOutcome.ANSWERED, FAST_SECONDS)
    assert driver.now >= ejection.retry_at


def test_a_target_that_restarts_over_and_over_is_left_alone() -> None:
    driver = known_by('one')
    for boot_id in ('two', 'three', 'four'):
        ejection = eject(driver, {'t2': RunOutcome.CONNECT_FAILED})
        driver.cell.record_probe_result('t2', True, driver.now, boot_id)
        run_until_used(driver, RunOutcome.ANSWERED, FAST_SECONDS)
        driver.run_many(20)
    assert driver.now >= ejection.retry_at
    assert ejection.retry_at - ejection.happened_at > 2


def test_targets_that_restart_together_are_probed_in_turn() -> None:
    driver = known_by('one')
    for target in ('t2', 't3'):
        eject(driver, {target: RunOutcome.CONNECT_FAILED})
    asked = []
    for _ in range(2):
        driver.now += 0.5
        asked.append(driver.cell.next_probe_target(driver.now))
    assert sorted(map(str, asked)) == ['t2', 't3']


def test_a_target_that_is_down_for_a_part_of_its_pause_keeps_its_trial() -> (
    None
):
    driver = known_by('one')
    ejection = eject(driver, {'t2': RunOutcome.CONNECT_FAILED})
    assert driver.cell.next_probe_target(driver.now) == 't2'
    driver.cell.record_probe_result('t2', False, driver.now)
    driver.now = ejection.retry_at
    driver.run_many(1)
    assert 't2' in driver.used[-1:]


@pytest.mark.parametrize('first', [RunOutcome.RESET, RunOutcome.CONNECT_FAILED])
def test_a_target_back_before_its_ejection_is_cold(first: RunOutcome) -> None:
    # VMs of one zone only might tell of a path, which is no restart.
    driver = warm_driver()
    run_from_until_used(driver, first, 'vm0', VM_ZONES[0])
    run_from_until_used(driver, RunOutcome.CONNECT_FAILED, 'vm1', VM_ZONES[1])
    assert not ejected(driver)
    assert driver.conditions()['t2'] is TargetCondition.COLD


def test_connections_that_only_one_vm_loses_turn_no_target_cold() -> None:
    driver = warm_driver()
    sick = {'t2': RunOutcome.RESET}
    for turn in range(300):
        run_of_one_vm(driver, turn, sick)
        assert driver.conditions()['t2'] is not TargetCondition.COLD


def test_a_target_ejected_for_stalls_returns_cold() -> None:
    driver = warm_driver()
    driver.now = eject(driver, {'t2': RunOutcome.STALLED}).retry_at
    while driver.conditions()['t2'] is TargetCondition.EJECTED:
        driver.run_many(1)
    assert driver.conditions()['t2'] is TargetCondition.COLD
