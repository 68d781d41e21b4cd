"""Tells a sick target from a broken path to it.

Signs that the network can cause are kept by the VM that saw them. Only when
several zones, or most of the VMs that lately used the target, agree is the
target at fault; else the VMs (or the zone) that fail to reach it are. What
was seen before the fault began counts for nothing.
"""

from collections import deque
from random import Random

from attrs import Factory, define, frozen

from jacinthcroft_decisions.internal.traffic.backoff import Backoff
from jacinthcroft_decisions.internal.traffic.evidence import EvidenceScore

BLAMING_BAD_SHARE = 0.15
FORGET_VM_SECONDS = 120.0
# The others' answers within this time clear the target of one VM's fault.
VERDICT_WINDOW_SECONDS = 1.0
_SIGNS_KEPT = 16
_PROBATION_SIGNS = 3


@frozen
class PathVerdict:
    """Who is at fault: the target, or the paths of some VMs or zones."""

    is_target: bool
    vms: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()


@frozen
class _Sign:
    is_bad: bool
    seen_at: float


@define
class _VmSigns:
    """What one VM saw of the target lately."""

    zone: str
    score: EvidenceScore = Factory(EvidenceScore)
    signs: deque[_Sign] = Factory(lambda: deque(maxlen=_SIGNS_KEPT))

    @property
    def noted_at(self) -> float:
        """When the VM last saw anything."""
        return self.signs[-1].seen_at

    @property
    def is_last_bad(self) -> bool:
        """Whether the VM's last use went badly."""
        return self.signs[-1].is_bad

    @property
    def was_tripped(self) -> bool:
        """Whether the VM's last sign completed its own evidence."""
        return self.score.is_tripped(self.noted_at)

    def tally_since(self, since: float) -> '_Tally':
        """Counts what the VM saw from a time on."""
        verdicts = [sign.is_bad for sign in self.signs if sign.seen_at >= since]
        return _Tally(self.zone, bad=sum(verdicts), seen=len(verdicts))


@frozen
class _Tally:
    """One VM's bad signs among all that it saw."""

    zone: str
    bad: int
    seen: int

    def is_blaming(self) -> bool:
        """Whether what the VM saw speaks against the target."""
        return self.bad > 0 and self.bad >= BLAMING_BAD_SHARE * self.seen


_Tallies = dict[str, _Tally]


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

    def verdict_on(self, vm: str, now: float) -> PathVerdict:
        """Judges the evidence of one VM."""
        onset = self._signs[vm].score.onset
        return self.verdict(min(onset, now - VERDICT_WINDOW_SECONDS))

    def verdict(self, since: float) -> PathVerdict:
        """Judges by what all VMs saw since the fault began.

        A few VMs, or one zone, are at fault only if nothing speaks against
        the target once what they saw is left out.
        """
        tallies = self._tallies(since)
        blaming = {vm for vm in tallies if tallies[vm].is_blaming()}
        if 2 * len(blaming) > len(tallies):
            return PathVerdict(is_target=True)
        suspects = self._suspect_vms(tallies)
        zone = _worst_zone(tallies)
        is_zone_known = zone in self._blocked_zones
        if _is_fine(tallies, suspects) and not is_zone_known:
            return PathVerdict(is_target=False, vms=frozenset(suspects))
        in_zone = {vm for vm in tallies if tallies[vm].zone == zone}
        if _is_fine(tallies, in_zone):
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
        signs.score.note(is_bad=is_bad, usual_share=usual_share, now=now)
        signs.signs.append(_Sign(is_bad, now))
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

    def _tallies(self, since: float) -> _Tallies:
        tallies = {
            vm: known.tally_since(since) for vm, known in self._signs.items()
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


def _worst_zone(tallies: _Tallies) -> str:
    bad: dict[str, int] = {}
    for tally in tallies.values():
        bad[tally.zone] = bad.get(tally.zone, 0) + tally.bad
    return max(bad, key=bad.__getitem__, default='')


def _is_fine(tallies: _Tallies, left_out: set[str]) -> bool:
    """Whether the rest uses the target, and without more than noise."""
    rest = [tallies[vm] for vm in tallies if vm not in left_out]
    bad = sum(tally.bad for tally in rest)
    seen = sum(tally.seen for tally in rest)
    return seen > 0 and bad < BLAMING_BAD_SHARE * seen
