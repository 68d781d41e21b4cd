"""How a team's rate and burst bound the tokens that a holder issues.

A token is spent up to `lifetime` after its issue, so tokens spent within a
window were issued within a window that is longer by `lifetime`. With whole
tokens the promise `spent <= burst + rate * window` holds for all windows
when the issuing bucket keeps

    refill <= rate  and  capacity + refill * (lifetime + 1 / rate) <= burst + 1

since the tightest window is the one in which `burst + 1` tokens are spent.
"""

from typing import Self

from attrs import frozen
from jacinthcroft_config import Team

MAX_LIFETIME_SECONDS = 1.0
MIN_LIFETIME_SECONDS = 0.03
# A team with a small burst needs its tokens more than it needs a stock of
# them at each VM: so many stay in the bucket before lifetimes grow beyond
# what a token needs to be used at all.
KEPT_TOKENS = 20.0
SHORT_LIFETIME_SECONDS = 0.25
# A burst of one has no half to spare: its refill is lowered by this share.
_SINGLE_BURST_SHARE = 0.1

# Keeps rounding of sums of floats on the safe side of the promise.
_ROUNDING_TOKENS = 1e-6


@frozen
class BucketLimits:
    """The issuing bucket of one team.

    `capacity` is in tokens, `refill` in tokens per second and `lifetime`
    in seconds.
    """

    capacity: float
    refill_rate: float
    lifetime: float

    @classmethod
    def from_config(cls, team: Team) -> Self:
        """Derives the bucket from the team's limits.

        The lifetime is as long as half of the burst allows, and short where
        that would leave the bucket with few tokens. Where it is too short
        for a token to reach a VM, the refill is lowered instead.
        """
        if team.rate <= 0 or team.burst < 1:
            return cls(capacity=0, refill_rate=0, lifetime=MIN_LIFETIME_SECONDS)
        half_burst = max(1.0, team.burst / 2)
        spare = max(team.burst - half_burst, _SINGLE_BURST_SHARE)
        unkept = max(0, team.burst - KEPT_TOKENS)
        lifetime = min(
            MAX_LIFETIME_SECONDS,
            spare / team.rate,
            max(SHORT_LIFETIME_SECONDS, unkept / team.rate),
        )
        lifetime = max(MIN_LIFETIME_SECONDS, lifetime)
        reach = lifetime + 1 / team.rate
        refill = min(team.rate, (team.burst + 1 - half_burst) / reach)
        capacity = min(team.burst, team.burst + 1 - refill * reach)
        return cls(
            capacity=max(1.0, capacity - _ROUNDING_TOKENS),
            refill_rate=refill,
            lifetime=lifetime,
        )
