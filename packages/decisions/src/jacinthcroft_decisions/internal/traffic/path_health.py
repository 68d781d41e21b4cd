"""Tells a sick target from a broken path to it.

Signs that the network can cause are kept by the VM that saw them. Only when
VMs of several zones agree is the target at fault; else the VMs (or the zone)
that fail to reach it are. One VM or zone that is alone to speak proves
nothing, unless nobody else uses the cell. What was seen before the fault
began counts for nothing.
"""

from collections.abc import Collection, Mapping
from random import Random

from attrs import Factory, define, frozen

from jacinthcroft_decisions.internal.traffic.active_vms import (
    VM_IDLE_TIMEOUT_SECONDS,
    ActiveVms,
)
from jacinthcroft_decisions.internal.traffic.backoff import Backoff
from jacinthcroft_decisions.internal.traffic.path_observations import (
    PATH_FAULT_BAD_SHARE,
    ObservationCounts,
    PathObservation,
    VmObservations,
    corroborating_detectors,
)

_PROBATION_SIGNS = 3
# So many signs of others, nearly all good, clear a target of a path's fault.
_CLEARING_SIGNS = 3


@frozen
class FaultAttribution:
    """Who is at fault: the target, or the paths of some VMs or zones.

    While nobody else has said enough, the verdict is not sure: the paths get
    no permits, so that others try the target, and the evidence is kept.
    """

    is_target_fault: bool
    vms: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()
    is_conclusive: bool = True


_Tallies = dict[str, ObservationCounts]


@define
class _Block:
    """A path that gets no permits until `until`, and then has to prove itself.

    The first bad sign before `good_signs` are enough blocks it again.
    """

    until: float = 0
    good_signs: int = 0
    is_conclusive: bool = False
    backoff: Backoff = Factory(Backoff)

    def is_on_probation(self, now: float) -> bool:
        """Whether the path is open again, and not yet trusted."""
        return self.until <= now and self.good_signs < _PROBATION_SIGNS


class PathHealth:
    """The paths to one target."""

    def __init__(self, random: Random, active_vms: ActiveVms) -> None:
        """Starts with every path open; `active_vms` are those of the cell."""
        self._random = random
        self._active_vms = active_vms
        self._signs: dict[str, VmObservations] = {}
        self._blocked_vms: dict[str, _Block] = {}
        self._blocked_zones: dict[str, _Block] = {}

    @property
    def has_inconclusive_block(self) -> bool:
        """Whether a path was stopped before others had said enough."""
        blocks = (*self._blocked_vms.values(), *self._blocked_zones.values())
        return any(not block.is_conclusive for block in blocks)

    def is_blocked(self, vm: str, zone: str, now: float) -> bool:
        """Whether a VM gets no permits for the target."""
        if not self._blocked_vms and not self._blocked_zones:
            return False
        return any(now < block.until for block in self._blocks(vm, zone))

    def has_tripped(self, vm: str, now: float) -> bool:
        """Whether one VM alone has evidence enough against the target."""
        signs = self._signs.get(vm)
        if signs is None:
            return False
        if signs.score.is_tripped(now):
            return True
        return signs.is_last_bad and any(
            block.is_on_probation(now) for block in self._blocks(vm, signs.zone)
        )

    def attribute_fault_seen_by(self, vm: str) -> FaultAttribution:
        """Judges the evidence of one VM."""
        signs = self._signs[vm]
        return self.attribute_fault(signs.usual_fault, signs.score.onset)

    def attribute_fault(
        self, faults: Collection[str], since: float
    ) -> FaultAttribution:
        """Judges some kinds of fault by what all VMs saw since they began.

        A few VMs, or one zone, are at fault if nothing speaks against the
        target once what they saw is left out.
        """
        tallies = self._tallies(faults, since)
        blaming = {vm for vm in tallies if tallies[vm].indicates_fault()}
        is_corroborated = self._active_vms.is_corroborated(
            blaming,
            {tallies[vm].zone for vm in blaming},
        )
        if is_corroborated and 2 * len(blaming) > len(tallies):
            return FaultAttribution(is_target_fault=True)
        paths = self._paths_at_fault(tallies)
        if paths is not None:
            return paths
        if is_corroborated:
            return FaultAttribution(is_target_fault=True)
        return self._unsure_paths(tallies)

    def _paths_at_fault(self, tallies: _Tallies) -> FaultAttribution | None:
        suspects = self._suspect_vms(tallies)
        zone = _worst_zone(tallies)
        is_zone_known = zone in self._blocked_zones
        if _is_fine(tallies, suspects) and not is_zone_known:
            return FaultAttribution(
                is_target_fault=False,
                vms=frozenset(suspects),
                is_conclusive=_has_cleared(tallies, suspects),
            )
        in_zone = {vm for vm in tallies if tallies[vm].zone == zone}
        if _is_fine(tallies, in_zone):
            return FaultAttribution(
                is_target_fault=False,
                zones=frozenset((zone,)),
                is_conclusive=_has_cleared(tallies, in_zone),
            )
        return None

    def _unsure_paths(self, tallies: _Tallies) -> FaultAttribution:
        """Names the paths of those that are alone to speak."""
        suspects = self._suspect_vms(tallies)
        zone = _worst_zone(tallies)
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
        usual_share: float,
        now: float,
    ) -> None:
        """Takes in what one VM saw, as the detectors judge it."""
        sign = PathObservation(verdicts, now)
        signs = self._signs.setdefault(vm, VmObservations(zone))
        signs.score.update(is_bad=sign.is_bad, usual_share=usual_share, now=now)
        signs.signs.append(sign)
        for block in self._blocks(vm, zone):
            if not sign.is_bad and block.until <= now:
                block.good_signs += 1

    def block_paths(
        self, verdict: FaultAttribution, now: float
    ) -> tuple[str, ...]:
        """Stops permits on the paths at fault, for longer each time.

        Returns:
            The paths that were not stopped already.
        """
        fresh = []
        for blocks, paths in (
            (self._blocked_vms, verdict.vms),
            (self._blocked_zones, verdict.zones),
        ):
            for path in sorted(paths):
                block = blocks.setdefault(path, _Block())
                block.is_conclusive = (
                    block.is_conclusive or verdict.is_conclusive
                )
                if block.until <= now:
                    self._prolong(block, now)
                    fresh.append(path)
        for vm, signs in self._signs.items():
            if vm in verdict.vms or signs.zone in verdict.zones:
                signs.score.reset_to(0, now)
        return tuple(fresh)

    def reset(self) -> None:
        """Forgets the signs: the target was ejected or readmitted.

        Paths that were never surely at fault are open again.
        """
        self._signs.clear()
        for blocks in (self._blocked_vms, self._blocked_zones):
            for path, block in tuple(blocks.items()):
                if not block.is_conclusive:
                    blocks.pop(path)

    def forget_old(self, now: float) -> None:
        """Drops VMs that have not used the target for long."""
        oldest = now - VM_IDLE_TIMEOUT_SECONDS
        for vm, signs in tuple(self._signs.items()):
            if signs.noted_at < oldest:
                self._signs.pop(vm)
        for blocks in (self._blocked_vms, self._blocked_zones):
            for path, block in tuple(blocks.items()):
                if block.until < oldest:
                    blocks.pop(path)

    def _tallies(self, faults: Collection[str], since: float) -> _Tallies:
        kinds = corroborating_detectors(faults)
        tallies = {
            vm: known.tally(kinds, since) for vm, known in self._signs.items()
        }
        return {vm: tally for vm, tally in tallies.items() if tally.seen}

    def _suspect_vms(self, tallies: _Tallies) -> set[str]:
        """The VM that saw the worst, and all that have evidence enough."""
        worst = max(tallies, key=lambda vm: tallies[vm].bad, default=None)
        tripped = {vm for vm in tallies if self._signs[vm].was_tripped}
        return tripped if worst is None else tripped | {worst}

    def _blocks(self, vm: str, zone: str) -> list[_Block]:
        blocks = (self._blocked_vms.get(vm), self._blocked_zones.get(zone))
        return [block for block in blocks if block is not None]

    def _prolong(self, block: _Block, now: float) -> None:
        block.good_signs = 0
        block.until = now + block.backoff.next_pause(now, self._random)


def _worst_zone(tallies: _Tallies) -> str:
    bad: dict[str, int] = {}
    for tally in tallies.values():
        bad[tally.zone] = bad.get(tally.zone, 0) + tally.bad
    return max(bad, key=bad.__getitem__, default='')


def _is_fine(tallies: _Tallies, left_out: set[str]) -> bool:
    """Whether the rest uses the target, and without more than noise."""
    rest = _without(tallies, left_out)
    bad = sum(tally.bad for tally in rest)
    return bad < PATH_FAULT_BAD_SHARE * sum(tally.seen for tally in rest)


def _has_cleared(tallies: _Tallies, left_out: set[str]) -> bool:
    """Whether the rest has seen enough for its word to count."""
    rest = _without(tallies, left_out)
    return sum(tally.seen for tally in rest) >= _CLEARING_SIGNS


def _without(tallies: _Tallies, left_out: set[str]) -> list[ObservationCounts]:
    return [tallies[vm] for vm in tallies if vm not in left_out]
