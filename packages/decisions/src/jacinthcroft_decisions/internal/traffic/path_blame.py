"""Tells a sick target from a broken path to it.

Signs that the network can cause are kept by the VM that saw them. Only when
several zones, or most of the VMs that lately used the target, agree is the
target at fault; else the VMs (or the zone) that fail to reach it are.
"""

import math
from random import Random

from attrs import Factory, define, frozen

from jacinthcroft_decisions.internal.traffic.backoff import Backoff
from jacinthcroft_decisions.internal.traffic.evidence import EvidenceScore

# Signs lose half of their weight in this time.
SIGN_HALF_LIFE_SECONDS = 5.0
_SIGN_MEMORY = 0.75
_PROBATION_SIGNS = 3
# A VM with less weight than this has not used the target lately.
_MIN_WEIGHT = 0.25
BLAMING_BAD_SHARE = 0.15
_MIN_BAD_WEIGHT = 0.5
_MIN_REST_WEIGHT = 1.0
FORGET_VM_SECONDS = 120.0


@frozen
class PathVerdict:
    """Who is at fault: the target, or the paths of some VMs or zones."""

    is_target: bool
    vms: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()


@define
class _VmSigns:
    """What one VM saw of the target, with fading weights."""

    zone: str
    score: EvidenceScore = Factory(EvidenceScore)
    good: float = 0
    bad: float = 0
    noted_at: float = 0
    is_last_bad: bool = False

    def fade(self, now: float) -> None:
        """Lowers the weights to those of now."""
        elapsed = max(0, now - self.noted_at)
        self._scale(math.pow(0.5, elapsed / SIGN_HALF_LIFE_SECONDS))
        self.noted_at = max(now, self.noted_at)

    def count(self, *, is_bad: bool) -> None:
        """Counts one sign; older ones matter less with each."""
        self._scale(_SIGN_MEMORY)
        self.is_last_bad = is_bad
        if is_bad:
            self.bad += 1
        else:
            self.good += 1

    def is_reporting(self) -> bool:
        """Whether the VM used the target lately."""
        return self.good + self.bad >= _MIN_WEIGHT

    def is_blaming(self) -> bool:
        """Whether what the VM saw speaks against the target."""
        if self.bad < _MIN_BAD_WEIGHT:
            return False
        return self.bad >= BLAMING_BAD_SHARE * (self.bad + self.good)

    def _scale(self, factor: float) -> None:
        self.good *= factor
        self.bad *= factor


@define
class _Block:
    """A path that gets no permits until `until`, and then has to prove itself.

    The first bad sign before `good_signs` are enough blocks it again.
    """

    until: float = 0
    good_signs: int = 0
    backoff: Backoff = Factory(Backoff)

    def is_on_probation(self, now: float) -> bool:
        """Whether the path is open again, and not yet trusted."""
        return self.until <= now and self.good_signs < _PROBATION_SIGNS


class PathBlame:
    """The paths to one target."""

    def __init__(self, random: Random) -> None:
        """Starts with every path open."""
        self._random = random
        self._signs: dict[str, _VmSigns] = {}
        self._blocked_vms: dict[str, _Block] = {}
        self._blocked_zones: dict[str, _Block] = {}

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

    def verdict(self, now: float) -> PathVerdict:
        """Judges by what all VMs saw lately.

        A few VMs, or one zone, are at fault only if nothing speaks against
        the target once what they saw is left out.
        """
        reporting = self._reporting(now)
        blaming = {vm for vm in reporting if reporting[vm].is_blaming()}
        if 2 * len(blaming) > len(reporting):
            return PathVerdict(is_target=True)
        suspects = self._suspect_vms(reporting, now)
        zone = _worst_zone(reporting)
        is_zone_known = zone in self._blocked_zones
        if _is_fine(reporting, suspects) and not is_zone_known:
            return PathVerdict(is_target=False, vms=frozenset(suspects))
        in_zone = {vm for vm in reporting if reporting[vm].zone == zone}
        if _is_fine(reporting, in_zone):
            return PathVerdict(is_target=False, zones=frozenset((zone,)))
        return PathVerdict(is_target=True)

    def note(
        self,
        vm: str,
        zone: str,
        *,
        is_bad: bool,
        usual_share: float,
        now: float,
    ) -> None:
        """Takes in what one VM saw."""
        signs = self._signs.setdefault(vm, _VmSigns(zone))
        signs.fade(now)
        signs.score.note(is_bad=is_bad, usual_share=usual_share, now=now)
        signs.count(is_bad=is_bad)
        for block in self._blocks(vm, zone):
            if not is_bad and block.until <= now:
                block.good_signs += 1

    def block(self, verdict: PathVerdict, now: float) -> None:
        """Stops permits on the paths at fault, for longer each time."""
        for vm in verdict.vms:
            self._prolong(self._blocked_vms, vm, now)
        for zone in verdict.zones:
            self._prolong(self._blocked_zones, zone, now)
        for vm, signs in self._signs.items():
            if vm in verdict.vms or signs.zone in verdict.zones:
                signs.score.restart(0, now)

    def clear(self) -> None:
        """Forgets the signs: the target was ejected or readmitted."""
        self._signs.clear()

    def forget_old(self, now: float) -> None:
        """Drops VMs that have not used the target for long."""
        oldest = now - FORGET_VM_SECONDS
        for vm, signs in tuple(self._signs.items()):
            if signs.noted_at < oldest:
                self._signs.pop(vm)
        for blocks in (self._blocked_vms, self._blocked_zones):
            for path, block in tuple(blocks.items()):
                if block.until < oldest:
                    blocks.pop(path)

    def _reporting(self, now: float) -> dict[str, _VmSigns]:
        for signs in self._signs.values():
            signs.fade(now)
        return {
            vm: known
            for vm, known in self._signs.items()
            if known.is_reporting()
        }

    def _suspect_vms(
        self,
        reporting: dict[str, _VmSigns],
        now: float,
    ) -> set[str]:
        """The VM that saw the worst, and all that have evidence enough."""
        worst = max(reporting, key=lambda vm: reporting[vm].bad, default=None)
        tripped = {vm for vm in reporting if self.has_tripped(vm, now)}
        return tripped if worst is None else tripped | {worst}

    def _blocks(self, vm: str, zone: str) -> list[_Block]:
        blocks = (self._blocked_vms.get(vm), self._blocked_zones.get(zone))
        return [block for block in blocks if block is not None]

    def _prolong(
        self,
        blocks: dict[str, _Block],
        path: str,
        now: float,
    ) -> None:
        block = blocks.setdefault(path, _Block())
        if block.until <= now:
            block.good_signs = 0
            block.until = now + block.backoff.next_pause(now, self._random)


def _worst_zone(reporting: dict[str, _VmSigns]) -> str:
    weights: dict[str, float] = {}
    for signs in reporting.values():
        weights[signs.zone] = weights.get(signs.zone, 0) + signs.bad
    return max(weights, key=weights.__getitem__, default='')


def _is_fine(reporting: dict[str, _VmSigns], left_out: set[str]) -> bool:
    """Whether the rest uses the target, and without more than noise."""
    rest = [reporting[vm] for vm in reporting if vm not in left_out]
    bad = sum(signs.bad for signs in rest)
    seen = bad + sum(signs.good for signs in rest)
    return seen >= _MIN_REST_WEIGHT and bad < BLAMING_BAD_SHARE * seen
