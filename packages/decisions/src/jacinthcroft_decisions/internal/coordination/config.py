"""The times and counts of coordination, the same on all VMs of a fleet.

A shard's witnesses vote on its lease, which makes one candidate its holder, and
on claims of idempotency keys. A fence round makes the witnesses of an earlier
VM list refuse that list. A key's own time is when it was created.
"""

from attrs import frozen


@frozen
class CoordinationConfig:
    """Times in seconds, and counts; the defaults suit zones 2 ms apart.

    Attributes:
        shard_count: the shards that resources are distributed over.
        witness_count: the witnesses of each shard.
        candidate_count: the candidates for holder of each shard.
        lease_term: how long a witness keeps a lease that is not renewed.
        renew_interval: how often a holder renews its lease.
        takeover_step: how much longer each lower rank waits after a lease
            that was not renewed.
        drift_margin: the share by which two clocks may drift apart, and by
            which holders end their leases early.
        claim_timeout: how long replies to a claim or a fence round count.
        key_retention: how old an idempotency key may be when it is used.
        clock_skew: the limit of the difference between the wall clocks of any
            two VMs, and of how far in the future a caller's key may be.
        running_limit: how long a claim without an answer is reported as
            running; after that its outcome is unknown.
        freshness_limit: how long a VM may go on without hearing from the
            platform or a majority of the fleet.
        history_limit: how many revisions of the VM list are remembered.
        records_per_shard: how many claim records a witness keeps per shard.
        releases_per_key: how many released claims a key's record may have.
        transfer_body_limit: the length in characters above which a recorded
            body is not sent to other VMs.
    """

    shard_count: int = 64
    witness_count: int = 5
    candidate_count: int = 3
    lease_term: float = 3.0
    renew_interval: float = 0.6
    takeover_step: float = 0.4
    drift_margin: float = 0.1
    claim_timeout: float = 1.0
    key_retention: float = 600.0
    clock_skew: float = 2.0
    running_limit: float = 60.0
    freshness_limit: float = 5.0
    history_limit: int = 64
    records_per_shard: int = 20000
    releases_per_key: int = 16
    transfer_body_limit: int = 2048

    @property
    def holder_term(self) -> float:
        """How long a holder uses a lease, counted from its request."""
        return self.lease_term * (1 - self.drift_margin)

    @property
    def look_interval(self) -> float:
        """How often a waiting candidate looks for a running lease."""
        return 2 * self.renew_interval

    @property
    def abstention(self) -> float:
        """How long a restarted witness, which lost its state, abstains."""
        return self.lease_term * (1 + self.drift_margin)

    @property
    def vouch_margin(self) -> float:
        """How much later than a witness's start a key must be to be new.

        A witness accepts keys up to one clock skew ahead of its own clock,
        which may itself be one skew ahead of another witness's clock.
        """
        return 2 * self.clock_skew

    @property
    def claim_age_limit(self) -> float:
        """How old a key may be at a witness, whose clock may be ahead.

        The limit is well below the record retention, so that a wall clock
        that is set back by some seconds does not make an evicted key valid
        again.
        """
        return self.key_retention + self.clock_skew

    @property
    def record_retention(self) -> float:
        """How long after a key's own time its record is kept."""
        return self.key_retention + 2 * self.vouch_margin


def majority_of(count: int) -> int:
    """Returns how many of `count` members make a majority."""
    return count // 2 + 1
