"""What each VM lately saw of one target, and how its signs are counted."""

from collections import Counter, deque
from collections.abc import Collection, Mapping

from attrs import Factory, define, frozen

from jacinthcroft_decisions.internal.traffic.detectors import (
    DETECTORS,
    Verdict,
)
from jacinthcroft_decisions.internal.traffic.evidence import EvidenceScore

PATH_FAULT_BAD_SHARE = 0.15
_SIGNS_KEPT = 16


@frozen
class PathObservation:
    """What the detectors that may blame the path said of one use."""

    verdicts: Mapping[str, bool]
    seen_at: float

    @property
    def is_bad(self) -> bool:
        """Whether any detector found fault."""
        return any(self.verdicts.values())

    def speaks_of(self, kinds: Collection[str]) -> Verdict:
        """Whether the sign is a bad one of some kinds, a good one or none."""
        verdicts = [
            is_bad for name, is_bad in self.verdicts.items() if name in kinds
        ]
        return any(verdicts) if verdicts else None


@frozen
class ObservationCounts:
    """One VM's bad signs among all that it saw."""

    zone: str
    bad: int
    seen: int

    def indicates_fault(self) -> bool:
        """Whether what the VM saw speaks against the target."""
        return self.bad > 0 and self.bad >= PATH_FAULT_BAD_SHARE * self.seen


@define
class VmObservations:
    """What one VM saw of the target lately."""

    zone: str
    score: EvidenceScore = Factory(EvidenceScore)
    signs: deque[PathObservation] = Factory(lambda: deque(maxlen=_SIGNS_KEPT))

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

    @property
    def usual_fault(self) -> tuple[str, ...]:
        """The kind of fault that the VM saw most often since its onset."""
        counted = Counter(
            name
            for sign in self.signs
            for name, is_bad in sign.verdicts.items()
            if is_bad and sign.seen_at >= self.score.onset
        )
        return tuple(name for name, _ in counted.most_common(1))

    def tally(self, kinds: Collection[str], since: float) -> ObservationCounts:
        """Counts what the VM saw from a time on."""
        verdicts = [
            sign.speaks_of(kinds)
            for sign in self.signs
            if sign.seen_at >= since
        ]
        seen = [is_bad for is_bad in verdicts if is_bad is not None]
        return ObservationCounts(self.zone, bad=sum(seen), seen=len(seen))


def corroborating_detectors(names: Collection[str]) -> frozenset[str]:
    """Returns the kinds of signs by which VMs agree on some kinds of fault."""
    kinds = frozenset(names)
    return kinds.union(*(DETECTORS[name].corroborated_by for name in names))
