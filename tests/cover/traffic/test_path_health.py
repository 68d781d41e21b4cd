"""A broken path ejects no target, also when its VM is the first to speak."""

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
USUAL = 0.03
SLOW = 0.5
BEGIN = 100.0
# vm1 and vm4, vm2 and vm5, vm3 and vm6 are of one zone each.
ZONES = {f'vm{number}': f'z{number % 3}' for number in range(1, 7)}


class Judge:
    """Feeds hand-made evidence on one target to a cell of six."""

    def __init__(self, zones: dict[str, str], others: str = '') -> None:
        """Lets `others` use the target well before any fault."""
        self.events: list[CellEvent] = []
        self._zones = zones
        self._now = BEGIN
        self._health = CellHealth(Random(1), self.events.append)
        names = [f't{number}' for number in range(1, 7)]
        self._health.reconfigure(names, names, 0.5, BEGIN)
        self._health.baseline = LatencyBaseline(USUAL, 4 * USUAL)
        for vm in others.split():
            self.see(vm, GOOD)
        self._now += 1

    @property
    def kinds(self) -> list[type[CellEvent]]:
        """What was concluded so far."""
        return [type(event) for event in self.events]

    def see(
        self,
        vm: str,
        outcome: RunOutcome,
        latency: float = USUAL,
        times: int = 1,
    ) -> None:
        """Lets a VM report uses of the target, 25 ms apart."""
        for _ in range(times):
            self._now += 0.025
            zone = self._zones[vm]
            sample = RunSample(vm, zone, outcome, latency, self._now)
            self._health.record_sample('t1', sample, self._now)
            self._health.evaluate('t1', vm, self._now)
            self._health.tick(self._now)


def test_the_first_vm_to_speak_ejects_no_target() -> None:
    # The evidence of a false ejection with processes, in its order.
    judge = Judge(ZONES, others='vm1 vm5 vm2 vm3 vm6 vm4')
    judge.see('vm1', RunOutcome.CANCELLED)
    judge.see('vm1', RESET, times=3)
    assert judge.kinds == [PathBlocked]
    assert judge.events[0] == PathBlocked(
        't1', ('vm1',), judge.events[0].happened_at
    )


def test_good_answers_of_others_clear_the_target() -> None:
    judge = Judge(ZONES, others='vm1 vm2 vm3')
    judge.see('vm1', RESET, times=3)
    for vm in ('vm2', 'vm3', 'vm6'):
        judge.see(vm, GOOD)
    # A single fault elsewhere does not bear out what has been cleared.
    judge.see('vm5', RESET)
    assert judge.kinds == [PathBlocked]


def test_one_more_bad_sign_from_another_zone_ejects() -> None:
    judge = Judge(ZONES, others='vm1 vm2 vm3')
    judge.see('vm1', RESET, times=3)
    judge.see('vm2', RESET)
    assert judge.kinds == [PathBlocked, TargetEjected]


def test_signs_from_two_zones_eject_without_a_detour() -> None:
    judge = Judge(ZONES, others='vm1 vm2 vm3')
    for vm in ('vm1', 'vm2', 'vm3'):
        judge.see(vm, STALLED)
    assert judge.kinds == [TargetEjected]


def test_a_zone_that_is_alone_to_speak_ejects_no_target() -> None:
    judge = Judge(ZONES, others='vm1 vm2 vm3')
    for vm in ('vm1', 'vm4', 'vm1', 'vm4', 'vm1', 'vm4'):
        judge.see(vm, RESET)
    assert TargetEjected not in judge.kinds
    assert PathBlocked in judge.kinds


def test_one_good_answer_does_not_outweigh_a_zone() -> None:
    judge = Judge(ZONES, others='vm1 vm2 vm3')
    judge.see('vm2', GOOD)
    for vm in ('vm1', 'vm4', 'vm1', 'vm4'):
        judge.see(vm, STALLED)
    assert TargetEjected not in judge.kinds


def test_slow_answers_elsewhere_bear_out_no_broken_connection() -> None:
    judge = Judge(ZONES, others='vm1 vm2 vm3')
    judge.see('vm2', GOOD, SLOW)
    judge.see('vm1', RESET, times=2)
    judge.see('vm3', GOOD, SLOW)
    judge.see('vm1', RESET, times=2)
    assert TargetEjected not in judge.kinds


def test_the_only_vm_that_uses_a_cell_is_believed() -> None:
    judge = Judge(ZONES, others='vm1')
    judge.see('vm1', RESET, times=3)
    assert TargetEjected in judge.kinds


def test_two_vms_of_the_only_zone_are_believed() -> None:
    judge = Judge(dict.fromkeys(ZONES, 'z1'), others='vm1 vm2 vm3')
    judge.see('vm1', RESET, times=3)
    assert TargetEjected not in judge.kinds
    judge.see('vm2', RESET)
    assert TargetEjected in judge.kinds
