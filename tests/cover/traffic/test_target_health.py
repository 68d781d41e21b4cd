"""Faulty targets are ejected, tried again and readmitted."""

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
    NORMAL_LATENCY_SECONDS,
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
    driver.run_requests(120)
    assert not driver.events
    return driver


def run_until_ejected(
    driver: CellDriver, outcomes: dict[str, RunOutcome]
) -> TargetEjected:
    """Runs requests until a target is ejected."""
    before = len(ejections(driver))
    for _ in range(200):
        driver.run_requests(1, outcomes)
        if len(ejections(driver)) > before:
            break
    return ejections(driver)[-1]


def ejections(driver: CellDriver) -> list[TargetEjected]:
    return [
        event for event in driver.events if isinstance(event, TargetEjected)
    ]


@pytest.mark.parametrize('outcome', REASONS)
def test_a_target_that_only_fails_is_ejected_after_a_few_requests(
    outcome: RunOutcome,
) -> None:
    driver = warm_driver()
    driver.used_targets.clear()
    driver.run_requests(60, {'t2': outcome})
    assert ejections(driver)[0].target == 't2'
    assert ejections(driver)[0].reasons == (REASONS[outcome],)
    assert driver.used_targets.count('t2') <= 5
    assert driver.target_conditions()['t2'] is TargetCondition.EJECTED


def test_overdue_runs_eject_a_target_before_their_deadline() -> None:
    driver = warm_driver()
    for _ in range(30):
        driver.now += 0.1
        driver.cell.tick(driver.now)
        for number in range(12):
            vm = f'vm{number % 6}'
            driver.cell.enqueue(make_ask(vm, VM_ZONES[number % 3]), driver.now)
        for granted in driver.cell.grant_permits(driver.now, driver.now + 3):
            if granted.permit.target != 't2':
                driver.report_run(granted.permit, vm)
    driver.events.extend(driver.cell.take_events())
    assert {event.target for event in ejections(driver)} == {'t2'}
    assert ejections(driver)[0].reasons == ('stalls',)


def test_a_vm_that_is_lost_with_its_permits_ejects_no_target() -> None:
    driver = warm_driver()
    driver.cell.enqueue(make_ask('lost'), driver.now)
    driver.cell.enqueue(make_ask('lost'), driver.now)
    driver.cell.grant_permits(driver.now, driver.now + 3)
    for _ in range(40):
        driver.now += 0.1
        driver.run_requests(1)
    assert not ejections(driver)


def test_a_target_that_stalls_every_second_call_is_ejected() -> None:
    driver = warm_driver()
    for round_number in range(60):
        outcome = (
            RunOutcome.STALLED if round_number % 2 else RunOutcome.ANSWERED
        )
        driver.run_requests(5, {'t2': outcome})
    assert {event.target for event in ejections(driver)} == {'t2'}


def test_faults_of_the_whole_service_eject_no_target() -> None:
    driver = CellDriver(make_service(cold_start_seconds=0.5))
    all_failing = {f't{number}': RunOutcome.SERVER_ERROR for number in range(6)}
    driver.run_requests(120)
    for _ in range(60):
        # One in ten requests fails on whichever target it runs.
        driver.run_requests(9)
        driver.run_requests(1, all_failing)
    assert not ejections(driver)


def test_shed_load_and_cancelled_requests_eject_no_target() -> None:
    driver = warm_driver()
    driver.run_requests(60, {'t2': RunOutcome.SHED, 't3': RunOutcome.CANCELLED})
    assert not ejections(driver)


def test_a_deadline_shorter_than_a_normal_answer_ejects_no_target() -> None:
    driver = warm_driver()
    stalled = {f't{number}': RunOutcome.STALLED for number in range(6)}
    for _ in range(60):
        driver.run_request(stalled, latency=NORMAL_LATENCY_SECONDS / 10)
    assert not ejections(driver)


def test_an_ejected_target_is_readmitted_after_single_requests() -> None:
    driver = warm_driver()
    ejection = run_until_ejected(driver, {'t2': RunOutcome.RESET})
    driver.used_targets.clear()
    driver.now = ejection.retry_at
    while driver.target_conditions()['t2'] is TargetCondition.EJECTED:
        driver.run_requests(1)
    assert driver.used_targets == ['t2', 't2', 't2']
    assert isinstance(driver.events[-1], TargetReadmitted)
    # After a reset connection the process has probably been restarted.
    assert driver.target_conditions()['t2'] is TargetCondition.COLD


def test_a_flapping_target_gets_longer_pauses() -> None:
    driver = warm_driver()
    for _ in range(5):
        driver.now = run_until_ejected(
            driver, {'t2': RunOutcome.RESET}
        ).retry_at
        driver.run_requests(12)
    pauses = [event.retry_at - event.happened_at for event in ejections(driver)]
    assert len(pauses) >= 5
    steps = itertools.pairwise(pauses)
    assert all(later > 1.5 * sooner for sooner, later in steps)


def test_a_failed_trial_lengthens_the_pause() -> None:
    driver = warm_driver()
    outcomes = {'t2': RunOutcome.RESET}
    driver.now = run_until_ejected(driver, outcomes).retry_at
    driver.used_targets.clear()
    driver.run_requests(60, outcomes)
    assert driver.used_targets.count('t2') == 1


def test_failed_probes_delay_the_trial_only_for_a_while() -> None:
    driver = warm_driver()
    driver.now = (
        run_until_ejected(driver, {'t2': RunOutcome.RESET}).retry_at - 0.4
    )
    driver.used_targets.clear()
    assert driver.cell.next_probe_target(driver.now) == 't2'
    assert driver.cell.next_probe_target(driver.now) is None
    driver.cell.record_probe_result('t2', False, driver.now)
    driver.now += 0.5
    driver.run_requests(12)
    assert 't2' not in driver.used_targets
    for _ in range(20):
        driver.now += 0.5
        if driver.cell.next_probe_target(driver.now):
            driver.cell.record_probe_result('t2', False, driver.now)
        driver.run_requests(1)
    assert 't2' in driver.used_targets


def test_a_vm_that_cannot_reach_a_target_gets_other_targets() -> None:
    driver = warm_driver()
    outcomes = {'t2': RunOutcome.CONNECT_FAILED}
    used = [
        run_on_all_vms(driver, round_number, outcomes)
        for round_number in range(300)
    ]
    assert not ejections(driver)
    assert used.count('t2') <= 10
    blocked = [e for e in driver.events if isinstance(e, PathBlocked)]
    assert blocked[0].target == 't2'
    assert blocked[0].paths == ('vm0',)


def run_on_all_vms(
    driver: CellDriver,
    round_number: int,
    outcomes: dict[str, RunOutcome],
) -> str | None:
    """Runs a request of each VM; only vm0 gets the outcomes.

    Returns the target that vm0 used.
    """
    for other in range(1, 6):
        driver.run_request(
            {}, vm=f'vm{other}', zone=VM_ZONES[(other + round_number) % 3]
        )
    return driver.run_request(outcomes, vm='vm0', zone='va')


def test_a_zone_that_cannot_reach_a_target_gets_other_targets() -> None:
    driver = warm_driver()
    outcomes = {'t2': RunOutcome.STALLED}
    stalled_count = 0
    for round_number in range(600):
        is_cut_off = round_number % 3 == 0
        target = driver.run_request(
            outcomes if is_cut_off else {},
            vm=f'vm{round_number % 12}',
            zone=VM_ZONES[round_number % 3],
            latencies={'t2': 1} if is_cut_off else {},
        )
        stalled_count += is_cut_off and target == 't2'
    assert not ejections(driver)
    assert stalled_count <= 12


def test_a_fault_seen_from_several_zones_ejects_the_target() -> None:
    driver = warm_driver()
    outcomes = {'t2': RunOutcome.CONNECT_FAILED}
    for round_number in range(120):
        # Two of three zones are cut off.
        is_cut_off = round_number % 3 > 0
        driver.run_request(
            outcomes if is_cut_off else {},
            vm=f'vm{round_number % 12}',
            zone=VM_ZONES[round_number % 3],
        )
    assert 't2' in {event.target for event in ejections(driver)}


def test_a_vm_that_reaches_nothing_keeps_all_targets() -> None:
    driver = warm_driver()
    all_failing = {f't{n}': RunOutcome.CONNECT_FAILED for n in range(6)}
    used = [
        run_on_all_vms(driver, round_number, all_failing)
        for round_number in range(80)
    ]
    assert not ejections(driver)
    assert None not in used[-20:]


def test_a_latency_step_begins_a_cold_start() -> None:
    driver = warm_driver()
    driver.run_requests(60, latencies={'t2': 0.2})
    cold = [e for e in driver.events if isinstance(e, ColdStartNoticed)]
    assert [(e.target, e.cause) for e in cold] == [('t2', 'latency')]
    assert not ejections(driver)


def test_a_target_that_stays_slow_after_its_cold_start_is_ejected() -> None:
    driver = warm_driver()
    driver.run_requests(1500, latencies={'t2': 0.2})
    assert {event.target for event in ejections(driver)} == {'t2'}


def test_a_new_boot_id_begins_a_cold_start() -> None:
    driver = warm_driver()
    for _ in range(30):
        driver.run_request({}, boot_id='one')
    assert not driver.events
    target = driver.run_request({}, boot_id='two')
    assert [type(event) for event in driver.events] == [ColdStartNoticed]
    driver.events.clear()
    while driver.run_request({}, boot_id='one') != target:
        # A late answer of the old process does not count as a restart.
        assert not driver.events


# A deadline longer than a normal answer of the cell, shorter than a slow one.
SHORT_DEADLINE_SECONDS = 3 * NORMAL_LATENCY_SECONDS


def advance_to_trial(driver: CellDriver) -> CellDriver:
    """Ejects t2 for reset connections and advances to its trial."""
    driver.now = run_until_ejected(driver, {'t2': RunOutcome.RESET}).retry_at
    driver.events.clear()
    return driver


def run_until_used(
    driver: CellDriver,
    outcome: RunOutcome,
    latency: float,
) -> None:
    """Runs requests until one has ended with the outcome on t2."""
    outcomes = {'t2': outcome}
    repeat_until_used(
        driver,
        lambda: driver.run_requests(1, outcomes, latencies={'t2': latency}),
    )


def run_from_until_used(
    driver: CellDriver,
    outcome: RunOutcome,
    vm: str,
    zone: str,
) -> None:
    """Runs one VM's requests until one has ended with the outcome on t2."""
    repeat_until_used(
        driver, lambda: driver.run_request({'t2': outcome}, vm, zone)
    )


def repeat_until_used(driver: CellDriver, run: Callable[[], object]) -> None:
    """Repeats `run` until it has used t2."""
    driver.used_targets.clear()
    for _ in range(500):
        run()
        if 't2' in driver.used_targets:
            return
    raise AssertionError('t2 was not used in 500 runs')


def test_a_short_deadline_on_a_cold_target_fails_no_trial() -> None:
    driver = advance_to_trial(warm_driver())
    run_until_used(driver, RunOutcome.STALLED, SHORT_DEADLINE_SECONDS)
    assert not ejections(driver)
    # The target may go on with the cancelled request for a while.
    driver.now += 0.5
    driver.used_targets.clear()
    driver.run_requests(3)
    assert driver.used_targets == ['t2', 't2', 't2']
    assert isinstance(driver.events[-1], TargetReadmitted)


def test_a_cold_target_that_stalls_for_long_fails_its_trial() -> None:
    driver = advance_to_trial(warm_driver())
    run_until_used(driver, RunOutcome.STALLED, 10 * NORMAL_LATENCY_SECONDS)
    assert [event.reasons for event in ejections(driver)] == [('stalls',)]


def test_short_deadlines_are_stalls_after_the_cold_start() -> None:
    driver = advance_to_trial(warm_driver())
    began_at = driver.now
    while not ejections(driver):
        run_until_used(driver, RunOutcome.STALLED, SHORT_DEADLINE_SECONDS)
    assert driver.now - began_at >= 2
    assert [event.reasons for event in ejections(driver)] == [('stalls',)]


def test_a_failed_connection_on_trial_uses_up_no_cold_start() -> None:
    driver = advance_to_trial(warm_driver())
    run_until_used(driver, RunOutcome.CONNECT_FAILED, 0)
    driver.now = max(ejections(driver)[-1].retry_at, driver.now + 3)
    driver.events.clear()
    run_until_used(driver, RunOutcome.STALLED, SHORT_DEADLINE_SECONDS)
    assert not ejections(driver)


def warm_driver_with_boot_id(boot_id: str) -> CellDriver:
    """Returns a driver whose targets have all answered with a boot id."""
    driver = warm_driver()
    for _ in range(30):
        driver.run_request({}, boot_id=boot_id)
    return driver


def test_a_probe_with_a_new_boot_id_begins_the_trial() -> None:
    driver = warm_driver_with_boot_id('one')
    ejection = run_until_ejected(driver, {'t2': RunOutcome.CONNECT_FAILED})
    assert driver.cell.next_probe_target(driver.now) == 't2'
    driver.cell.record_probe_result('t2', True, driver.now, 'two')
    run_until_used(driver, RunOutcome.ANSWERED, NORMAL_LATENCY_SECONDS)
    assert driver.now < ejection.retry_at


def test_a_probe_with_a_known_boot_id_ends_no_pause() -> None:
    driver = warm_driver_with_boot_id('one')
    ejection = run_until_ejected(driver, {'t2': RunOutcome.RESET})
    assert driver.cell.next_probe_target(driver.now) == 't2'
    driver.cell.record_probe_result('t2', True, driver.now, 'one')
    run_until_used(driver, RunOutcome.ANSWERED, NORMAL_LATENCY_SECONDS)
    assert driver.now >= ejection.retry_at


def test_repeated_restarts_end_no_pause() -> None:
    driver = warm_driver_with_boot_id('one')
    for boot_id in ('two', 'three', 'four'):
        ejection = run_until_ejected(driver, {'t2': RunOutcome.CONNECT_FAILED})
        driver.cell.record_probe_result('t2', True, driver.now, boot_id)
        run_until_used(driver, RunOutcome.ANSWERED, NORMAL_LATENCY_SECONDS)
        driver.run_requests(20)
    assert driver.now >= ejection.retry_at
    assert ejection.retry_at - ejection.happened_at > 2


def test_targets_that_restart_together_are_probed_in_turn() -> None:
    driver = warm_driver_with_boot_id('one')
    for target in ('t2', 't3'):
        run_until_ejected(driver, {target: RunOutcome.CONNECT_FAILED})
    probed = []
    for _ in range(2):
        driver.now += 0.5
        probed.append(driver.cell.next_probe_target(driver.now))
    assert sorted(map(str, probed)) == ['t2', 't3']


def test_a_failed_probe_early_in_the_pause_does_not_delay_the_trial() -> None:
    driver = warm_driver_with_boot_id('one')
    ejection = run_until_ejected(driver, {'t2': RunOutcome.CONNECT_FAILED})
    assert driver.cell.next_probe_target(driver.now) == 't2'
    driver.cell.record_probe_result('t2', False, driver.now)
    driver.now = ejection.retry_at
    driver.run_requests(1)
    assert 't2' in driver.used_targets[-1:]


@pytest.mark.parametrize('first', [RunOutcome.RESET, RunOutcome.CONNECT_FAILED])
def test_broken_connections_begin_a_cold_start_before_an_ejection(
    first: RunOutcome,
) -> None:
    # Two zones, since broken connections of one zone may be a path's fault.
    driver = warm_driver()
    run_from_until_used(driver, first, 'vm0', VM_ZONES[0])
    run_from_until_used(driver, RunOutcome.CONNECT_FAILED, 'vm1', VM_ZONES[1])
    assert not ejections(driver)
    assert driver.target_conditions()['t2'] is TargetCondition.COLD


def test_broken_connections_of_one_vm_begin_no_cold_start() -> None:
    driver = warm_driver()
    outcomes = {'t2': RunOutcome.RESET}
    for round_number in range(300):
        run_on_all_vms(driver, round_number, outcomes)
        assert driver.target_conditions()['t2'] is not TargetCondition.COLD


def test_a_target_ejected_for_stalls_is_readmitted_cold() -> None:
    driver = warm_driver()
    driver.now = run_until_ejected(driver, {'t2': RunOutcome.STALLED}).retry_at
    while driver.target_conditions()['t2'] is TargetCondition.EJECTED:
        driver.run_requests(1)
    assert driver.target_conditions()['t2'] is TargetCondition.COLD
