"""A shard's witnesses under one list revision, as sent in messages.

Witnesses are the VMs that vote on the shard's lease and claims.
"""

from attrs import frozen

from jacinthcroft_decisions.internal.coordination.placement import Placement


@frozen(order=True)
class WitnessSet:
    """The witnesses' names, for VMs that do not have the list itself."""

    revision: int
    vms: tuple[str, ...]

    @classmethod
    def from_placement(cls, placement: Placement, shard: int) -> 'WitnessSet':
        """Returns the shard's witnesses under the placement's list."""
        return cls(placement.revision, placement.witnesses(shard))
