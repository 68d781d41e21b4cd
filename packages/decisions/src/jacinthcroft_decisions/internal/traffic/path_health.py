"""Distinguishes a faulty target from a broken network path to it.

A path is the network between one VM, or all VMs of a zone, and the target.
A run is one request that a VM sends to the target; it needs a permit. A
detector looks for one kind of fault in the runs. Its verdict on a run is kept
as an observation of the VM if the network may cause that kind of fault.

The target is at fault only if VMs of several zones observe the fault.
Otherwise the paths of these VMs, or of their zone, are at fault. Observations
of only one VM or zone do not show a fault of the target, unless nobody else
uses the cell (the targets of one service). Observations from before the fault
began are left out.
"""

from collections.abc import Collection, Mapping
from random import Random

from attrs import Factory, define, frozen

from jacinthcroft_decisions.internal.traffic.backoff import Backoff
from jacinthcroft_decisions.internal.traffic.path_observations import (
    FAULT_INDICATION_BAD_SHARE,
    ObservationCounts,
    PathObservation,
    VmObservations,
    corroborating_detectors,
)
from jacinthcroft_decisions.internal.traffic.recent_vms import (
    VM_IDLE_TIMEOUT_SECONDS,
    RecentVms,
)

# An unblocked path is on probation until it has had this many good runs.
_PROBATION_GOOD_RUNS = 3
# This many runs of other VMs, nearly all good, show that the target is not at
# fault.
_MIN_CLEARING_RUNS = 3


@frozen
class FaultAttribution:
    """What is at fault: the target, or the paths of some VMs or zones.

    It is inconclusive while other VMs have too few observations. The paths
    then get no permits, so that other VMs use the target, and the evidence
    against the target is kept.
    """

    is_target_fault: bool
    vms: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()
    is_conclusive: bool = True


_CountsByVm = dict[str, ObservationCounts]


@define
class _Block:
    """A block of one path: no permits until `blocked_until`, then probation.

    On probation, one bad run of a VM on the path suffices to attribute the
    fault again.
    """

    blocked_until: float = 0
    good_runs: int = 0
    is_conclusive: bool = False
    backoff: Backoff = Factory(Backoff)

    def is_on_probation(self, now: float) -> bool:
        """Whether the path is unblocked, but has had few good runs since."""
        return (
            self.blocked_until <= now and self.good_runs < _PROBATION_GOOD_RUNS
        )


class PathHealth:
    """The health of the paths to one target."""

    def __init__(self, random: Random, recent_vms: RecentVms) -> None:
        """Starts with no path blocked; `recent_vms` recently used the cell."""
        self._random = random
        self._recent_vms = recent_vms
        self._observations: dict[str, VmObservations] = {}
        self._blocked_vms: dict[str, _Block] = {}
        self._blocked_zones: dict[str, _Block] = {}

    @property
    def has_inconclusive_block(self) -> bool:
        """Whether any path is blocked on inconclusive evidence."""
        blocks = (*self._blocked_vms.values(), *self._blocked_zones.values())
        return any(not block.is_conclusive for block in blocks)

    def is_blocked(self, vm: str, zone: str, now: float) -> bool:
        """Whether a VM gets no permits for the target."""
        if not self._blocked_vms and not self._blocked_zones:
            return False
        return any(
            now < block.blocked_until for block in self._find_blocks(vm, zone)
        )

    def has_enough_evidence(self, vm: str, now: float) -> bool:
        """Whether one VM's own evidence suffices to attribute a fault.

        On a path that is on probation, one bad run suffices.
        """
        observed = self._observations.get(vm)
        if observed is None:
            return False
        if observed.score.is_tripped(now):
            return True
        return observed.is_last_bad and any(
            block.is_on_probation(now)
            for block in self._find_blocks(vm, observed.zone)
        )

    def attribute_fault_seen_by(self, vm: str) -> FaultAttribution:
        """Attributes the kind of fault that one VM observed most often."""
        observed = self._observations[vm]
        return self.attribute_fault(observed.main_fault, observed.score.onset)

    def attribute_fault(
        self, detectors: Collection[str], since: float
    ) -> FaultAttribution:
        """Attributes a fault by what all VMs observed since it began.

        The paths of a few VMs, or of one zone, are at fault if the other
        observations do not indicate a fault of the target.

        Args:
            detectors: The names of the detectors that found the fault.
            since: The time from which on observations are counted.

        Returns:
            The target, or the paths, at fault.
        """
        counts = self._count_by_vm(detectors, since)
        affected = {vm for vm in counts if counts[vm].indicates_fault()}
        is_corroborated = self._recent_vms.is_corroborated(
            affected,
            {counts[vm].zone for vm in affected},
        )
        if is_corroborated and 2 * len(affected) > len(counts):
            return FaultAttribution(is_target_fault=True)
        path_attribution = self._find_faulty_paths(counts)
        if path_attribution is not None:
            return path_attribution
        if is_corroborated:
            return FaultAttribution(is_target_fault=True)
        return self._suspect_paths(counts)

    def _find_faulty_paths(
        self, counts: _CountsByVm
    ) -> FaultAttribution | None:
        suspects = self._find_suspect_vms(counts)
        zone = _find_worst_zone(counts)
        was_zone_blocked = zone in self._blocked_zones
        if _has_few_faults(counts, suspects) and not was_zone_blocked:
            return FaultAttribution(
                is_target_fault=False,
                vms=frozenset(suspects),
                is_conclusive=_has_enough_observations(counts, suspects),
            )
        in_zone = {vm for vm in counts if counts[vm].zone == zone}
        if _has_few_faults(counts, in_zone):
            return FaultAttribution(
                is_target_fault=False,
                zones=frozenset((zone,)),
                is_conclusive=_has_enough_observations(counts, in_zone),
            )
        return None

    def _suspect_paths(self, counts: _CountsByVm) -> FaultAttribution:
        """Attributes a fault to paths while too few VMs or zones observe it."""
        suspects = self._find_suspect_vms(counts)
        zone = _find_worst_zone(counts)
        if len(suspects) > 1 or zone in self._blocked_zones:
            zones = frozenset((zone,))
            return FaultAttribution(
                is_target_fault=False, zones=zones, is_conclusive=False
            )
        return FaultAttribution(
            is_target_fault=False,
            vms=frozenset(suspects),
            is_conclusive=False,
        )

    def record(
        self,
        vm: str,
        zone: str,
        verdicts: Mapping[str, bool],
        expected_bad_share: float,
        now: float,
    ) -> None:
        """Records the detectors' verdicts on one run of a VM."""
        observation = PathObservation(verdicts, now)
        observed = self._observations.setdefault(vm, VmObservations(zone))
        observed.score.update(
            is_bad=observation.is_bad,
            expected_bad_share=expected_bad_share,
            now=now,
        )
        observed.observations.append(observation)
        for block in self._find_blocks(vm, zone):
            if not observation.is_bad and block.blocked_until <= now:
                block.good_runs += 1

    def block_paths(
        self, attribution: FaultAttribution, now: float
    ) -> tuple[str, ...]:
        """Blocks the paths at fault, for longer each time.

        Returns:
            The VMs and zones whose path was not blocked already.
        """
        newly_blocked = []
        for blocks, paths in (
            (self._blocked_vms, attribution.vms),
            (self._blocked_zones, attribution.zones),
        ):
            for path in sorted(paths):
                block = blocks.setdefault(path, _Block())
                block.is_conclusive = (
                    block.is_conclusive or attribution.is_conclusive
                )
                if block.blocked_until <= now:
                    self._restart_block(block, now)
                    newly_blocked.append(path)
        for vm, observed in self._observations.items():
            if vm in attribution.vms or observed.zone in attribution.zones:
                observed.score.reset_to(0, now)
        return tuple(newly_blocked)

    def reset(self) -> None:
        """Forgets the observations when the target's state changes.

        Inconclusive blocks are removed.
        """
        self._observations.clear()
        for blocks in (self._blocked_vms, self._blocked_zones):
            for path, block in tuple(blocks.items()):
                if not block.is_conclusive:
                    blocks.pop(path)

    def drop_idle(self, now: float) -> None:
        """Drops observations and blocks older than the VM idle timeout."""
        oldest = now - VM_IDLE_TIMEOUT_SECONDS
        for vm, observed in tuple(self._observations.items()):
            if observed.last_observed_at < oldest:
                self._observations.pop(vm)
        for blocks in (self._blocked_vms, self._blocked_zones):
            for path, block in tuple(blocks.items()):
                if block.blocked_until < oldest:
                    blocks.pop(path)

    def _count_by_vm(
        self, detectors: Collection[str], since: float
    ) -> _CountsByVm:
        """Counts the observations of each VM that has any."""
        corroborating = corroborating_detectors(detectors)
        counts = {
            vm: observed.count_observations(corroborating, since)
            for vm, observed in self._observations.items()
        }
        return {vm: count for vm, count in counts.items() if count.total}

    def _find_suspect_vms(self, counts: _CountsByVm) -> set[str]:
        """Returns the VMs whose paths may be at fault.

        These are the VM with the most bad observations, and all VMs whose
        score sufficed to act on when they last observed the target.
        """
        worst = max(counts, key=lambda vm: counts[vm].bad, default=None)
        tripped = {vm for vm in counts if self._observations[vm].was_tripped}
        return tripped if worst is None else tripped | {worst}

    def _find_blocks(self, vm: str, zone: str) -> list[_Block]:
        blocks = (self._blocked_vms.get(vm), self._blocked_zones.get(zone))
        return [block for block in blocks if block is not None]

    def _restart_block(self, block: _Block, now: float) -> None:
        block.good_runs = 0
        block.blocked_until = now + block.backoff.begin_delay(now, self._random)


def _find_worst_zone(counts: _CountsByVm) -> str:
    bad: dict[str, int] = {}
    for count in counts.values():
        bad[count.zone] = bad.get(count.zone, 0) + count.bad
    return max(bad, key=bad.__getitem__, default='')


def _has_few_faults(counts: _CountsByVm, excluded: set[str]) -> bool:
    """Whether the other VMs use the target, nearly without faults."""
    remaining = _exclude_vms(counts, excluded)
    bad = sum(count.bad for count in remaining)
    return bad < FAULT_INDICATION_BAD_SHARE * sum(
        count.total for count in remaining
    )


def _has_enough_observations(counts: _CountsByVm, excluded: set[str]) -> bool:
    """Whether the other VMs have observed enough to clear the target."""
    remaining = _exclude_vms(counts, excluded)
    return sum(count.total for count in remaining) >= _MIN_CLEARING_RUNS


def _exclude_vms(
    counts: _CountsByVm, excluded: set[str]
) -> list[ObservationCounts]:
    return [counts[vm] for vm in counts if vm not in excluded]
