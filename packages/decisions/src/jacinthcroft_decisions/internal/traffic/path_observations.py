"""What each VM recently observed of one target, and how it is counted.

A run is one request that a VM sends to the target. A detector looks for one
kind of fault in a run: its verdict is true (bad), false (good) or None (no
evidence). A detector can blame a path if the network between the VM and the
target may cause that kind of fault.
"""

from collections import Counter, deque
from collections.abc import Collection, Mapping

from attrs import Factory, define, frozen

from jacinthcroft_decisions.internal.traffic.detectors import (
    DETECTORS,
    Verdict,
)
from jacinthcroft_decisions.internal.traffic.evidence import EvidenceScore

# From this share of bad observations on, a VM's observations indicate a
# fault of the target.
FAULT_INDICATION_BAD_SHARE = 0.15
_MAX_OBSERVATIONS_PER_VM = 16


@frozen
class PathObservation:
    """The verdicts on one run of those detectors that can blame a path."""

    verdicts: Mapping[str, bool]
    observed_at: float

    @property
    def is_bad(self) -> bool:
        """Whether any detector found a fault."""
        return any(self.verdicts.values())

    def verdict_of(self, detectors: Collection[str]) -> Verdict:
        """Returns the joint verdict of some detectors.

        It is bad if any of them found a fault, and None if none of them gave
        a verdict.
        """
        verdicts = [
            is_bad
            for name, is_bad in self.verdicts.items()
            if name in detectors
        ]
        return any(verdicts) if verdicts else None


@frozen
class ObservationCounts:
    """How many of one VM's observations are bad."""

    zone: str
    bad: int
    total: int

    def indicates_fault(self) -> bool:
        """Whether the VM's observations indicate a fault of the target."""
        return (
            self.bad > 0 and self.bad >= FAULT_INDICATION_BAD_SHARE * self.total
        )


@define
class VmObservations:
    """The latest observations of one VM on the target."""

    zone: str
    score: EvidenceScore = Factory(EvidenceScore)
    observations: deque[PathObservation] = Factory(
        lambda: deque(maxlen=_MAX_OBSERVATIONS_PER_VM)
    )

    @property
    def last_observed_at(self) -> float:
        """The time of the VM's last observation."""
        return self.observations[-1].observed_at

    @property
    def is_last_bad(self) -> bool:
        """Whether the VM's last observation is bad."""
        return self.observations[-1].is_bad

    @property
    def was_tripped(self) -> bool:
        """Whether the VM's score sufficed to act on at its last observation."""
        return self.score.is_tripped(self.last_observed_at)

    @property
    def main_fault(self) -> tuple[str, ...]:
        """The name of the detector that found most faults, or no name.

        Only faults since the VM's score last left zero count.
        """
        fault_counts = Counter(
            name
            for observation in self.observations
            for name, is_bad in observation.verdicts.items()
            if is_bad and observation.observed_at >= self.score.onset
        )
        return tuple(name for name, _ in fault_counts.most_common(1))

    def count_observations(
        self, detectors: Collection[str], since: float
    ) -> ObservationCounts:
        """Counts the observations from `since` on that the detectors judged."""
        verdicts = [
            observation.verdict_of(detectors)
            for observation in self.observations
            if observation.observed_at >= since
        ]
        judged = [is_bad for is_bad in verdicts if is_bad is not None]
        return ObservationCounts(self.zone, bad=sum(judged), total=len(judged))


def corroborating_detectors(names: Collection[str]) -> frozenset[str]:
    """Returns the named detectors and those that corroborate them."""
    detectors = frozenset(names)
    return detectors.union(*(DETECTORS[name].corroborated_by for name in names))
