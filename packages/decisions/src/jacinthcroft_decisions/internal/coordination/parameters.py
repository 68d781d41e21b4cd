"""The times and counts that all VMs of a fleet agree on."""

from attrs import frozen


@frozen
class CoordinationParameters:
    """Times in seconds and counts; the defaults suit zones 2 ms apart.

    `drift_margin` is the share by which two clocks may run apart, and by
    which holders cut their leases short. `takeover_step` is how much longer
    each lower rank waits after a lease that was not renewed. `clock_skew`
    bounds the difference between the wall_time clocks of any two VMs, and how far
    in the future a caller's key may lie. `running_limit` is how long a claim
    without an answer is reported as running; after that its outcome is
    unknown. `transfer_body_limit` is the length in characters above which a
    recorded body is not handed to other witnesses. `freshness_limit` is how
    long a VM may go on without hearing from the platform or a majority of
    the fleet.
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
        """How long a holder uses a lease, from before it asked."""
        return self.lease_term * (1 - self.drift_margin)

    @property
    def look_interval(self) -> float:
        """How often a waiting candidate looks for a running lease."""
        return 2 * self.renew_interval

    @property
    def abstention(self) -> float:
        """How long a witness that lost its memory answers nothing."""
        return self.lease_term * (1 + self.drift_margin)

    @property
    def vouch_margin(self) -> float:
        """How far past a start a key's own time must lie to be new.

        A witness takes keys up to one skew ahead of its own clock, which may
        be one skew ahead of another witness's.
        """
        return 2 * self.clock_skew

    @property
    def claim_age_limit(self) -> float:
        """How old a key may be at a witness, whose clock may be ahead.

        It is well below the retention of records, so that a wall_time clock set
        back by some seconds does not bring an evicted key back.
        """
        return self.key_retention + self.clock_skew

    @property
    def record_retention(self) -> float:
        """How long after a key's own time its record is kept."""
        return self.key_retention + 2 * self.vouch_margin


def majority_of(count: int) -> int:
    """Returns how many of `count` members make a majority."""
    return count // 2 + 1
