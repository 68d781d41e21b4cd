"""A shard's witnesses under one list revision, as messages carry them."""

from attrs import frozen

from jacinthcroft_decisions.internal.coordination.placement import Placement


@frozen(order=True)
class WitnessSet:
    """Names the witnesses, so that nobody has to know the list itself."""

    revision: int
    vms: tuple[str, ...]

    @classmethod
    def from_placement(cls, placement: Placement, shard: int) -> 'WitnessSet':
        """Returns the shard's witnesses under the placement's list."""
        return cls(placement.revision, placement.witnesses(shard))
