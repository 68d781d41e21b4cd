"""A broken path ejects no target, also if its VM is the first to report."""

from random import Random

from jacinthcroft_decisions.internal.traffic.cell_health import CellHealth
from jacinthcroft_decisions.internal.traffic.detectors import (
    LatencyBaseline,
    RunSample,
)
from jacinthcroft_decisions.traffic import (
    CellEvent,
    PathBlocked,
    RunOutcome,
    TargetEjected,
)

GOOD = RunOutcome.ANSWERED
RESET = RunOutcome.RESET
STALLED = RunOutcome.STALLED
NORMAL_LATENCY_SECONDS = 0.03
SLOW_LATENCY_SECONDS = 0.5
START = 100.0
# vm1 and vm4 share a zone, and so do vm2 and vm5, and vm3 and vm6.
ZONES = {f'vm{number}': f'z{number % 3}' for number in range(1, 7)}


class HealthDriver:
    """Feeds samples of one target to the health of a cell of six targets."""

    def __init__(self, zones: dict[str, str], users: str = '') -> None:
        """Adds a good sample of each of `users`, 1 s before the others."""
        self.events: list[CellEvent] = []
        self._zones = zones
        self._now = START
        self._health = CellHealth(Random(1), self.events.append)
        names = [f't{number}' for number in range(1, 7)]
        self._health.reconfigure(names, names, 0.5, START)
        self._health.baseline = LatencyBaseline(
            NORMAL_LATENCY_SECONDS, 4 * NORMAL_LATENCY_SECONDS
        )
        for vm in users.split():
            self.add_samples(vm, GOOD)
        self._now += 1

    @property
    def event_types(self) -> list[type[CellEvent]]:
        """The types of the events so far."""
        return [type(event) for event in self.events]

    def add_samples(
        self,
        vm: str,
        outcome: RunOutcome,
        latency: float = NORMAL_LATENCY_SECONDS,
        count: int = 1,
    ) -> None:
        """Adds samples of a VM, 25 ms apart."""
        for _ in range(count):
            self._now += 0.025
            zone = self._zones[vm]
            sample = RunSample(vm, zone, outcome, latency, self._now)
            self._health.record_sample('t1', sample, self._now)
            self._health.evaluate('t1', vm, self._now)
            self._health.tick(self._now)


def test_the_first_vm_to_report_a_fault_ejects_no_target() -> None:
    # In this order, these samples led to a wrong ejection in a run with real
    # processes.
    driver = HealthDriver(ZONES, users='vm1 vm5 vm2 vm3 vm6 vm4')
    driver.add_samples('vm1', RunOutcome.CANCELLED)
    driver.add_samples('vm1', RESET, count=3)
    assert driver.event_types == [PathBlocked]
    assert driver.events[0] == PathBlocked(
        't1', ('vm1',), driver.events[0].happened_at
    )


def test_good_answers_to_other_vms_clear_the_target() -> None:
    driver = HealthDriver(ZONES, users='vm1 vm2 vm3')
    driver.add_samples('vm1', RESET, count=3)
    for vm in ('vm2', 'vm3', 'vm6'):
        driver.add_samples(vm, GOOD)
    # A single fault of another zone does not corroborate a cleared one.
    driver.add_samples('vm5', RESET)
    assert driver.event_types == [PathBlocked]


def test_one_more_bad_sample_of_another_zone_ejects_the_target() -> None:
    driver = HealthDriver(ZONES, users='vm1 vm2 vm3')
    driver.add_samples('vm1', RESET, count=3)
    driver.add_samples('vm2', RESET)
    assert driver.event_types == [PathBlocked, TargetEjected]


def test_bad_samples_of_all_zones_eject_without_a_blocked_path() -> None:
    driver = HealthDriver(ZONES, users='vm1 vm2 vm3')
    for vm in ('vm1', 'vm2', 'vm3'):
        driver.add_samples(vm, STALLED)
    assert driver.event_types == [TargetEjected]


def test_a_fault_that_only_one_zone_reports_ejects_no_target() -> None:
    driver = HealthDriver(ZONES, users='vm1 vm2 vm3')
    for vm in ('vm1', 'vm4', 'vm1', 'vm4', 'vm1', 'vm4'):
        driver.add_samples(vm, RESET)
    assert TargetEjected not in driver.event_types
    assert PathBlocked in driver.event_types


def test_a_zone_with_one_good_answer_elsewhere_ejects_no_target() -> None:
    driver = HealthDriver(ZONES, users='vm1 vm2 vm3')
    driver.add_samples('vm2', GOOD)
    for vm in ('vm1', 'vm4', 'vm1', 'vm4'):
        driver.add_samples(vm, STALLED)
    assert TargetEjected not in driver.event_types


def test_slow_answers_do_not_corroborate_broken_connections() -> None:
    driver = HealthDriver(ZONES, users='vm1 vm2 vm3')
    driver.add_samples('vm2', GOOD, SLOW_LATENCY_SECONDS)
    driver.add_samples('vm1', RESET, count=2)
    driver.add_samples('vm3', GOOD, SLOW_LATENCY_SECONDS)
    driver.add_samples('vm1', RESET, count=2)
    assert TargetEjected not in driver.event_types


def test_the_only_vm_of_a_cell_needs_no_corroboration() -> None:
    driver = HealthDriver(ZONES, users='vm1')
    driver.add_samples('vm1', RESET, count=3)
    assert TargetEjected in driver.event_types


def test_two_vms_of_the_only_zone_suffice() -> None:
    driver = HealthDriver(dict.fromkeys(ZONES, 'z1'), users='vm1 vm2 vm3')
    driver.add_samples('vm1', RESET, count=3)
    assert TargetEjected not in driver.event_types
    driver.add_samples('vm2', RESET)
    assert TargetEjected in driver.event_types
