"""How a team's rate and burst bound the tokens that its holder issues.

A team's holder is the VM that has the lease for the team. A VM spends one token
for each attempt to send a request.

A token can be spent up to `lifetime` after its issue, so tokens spent within a
window of time were issued within a window that is longer by `lifetime`. Tokens
are whole, so the guarantee `spent <= burst + rate * window` holds for all
windows if the issuing bucket satisfies

    refill_rate <= rate
    capacity + refill_rate * (lifetime + 1 / rate) <= burst + 1

since the tightest window is the one in which `burst + 1` tokens are spent.
"""

from typing import Self

from attrs import frozen
from jacinthcroft_config import Team

MAX_LIFETIME_SECONDS = 1.0
MIN_LIFETIME_SECONDS = 0.03
# A longer lifetime lets each VM stock tokens but lowers the bucket's capacity.
# With a small burst the tokens in the bucket matter more, so the lifetime
# exceeds SHORT_LIFETIME_SECONDS, which is enough for a token to be used, only
# as far as this many tokens remain in the bucket.
MIN_KEPT_TOKENS = 20.0
SHORT_LIFETIME_SECONDS = 0.25
# With a burst of one token the bucket's capacity cannot be halved. The lifetime
# of a token is then this share of the time in which the team's rate refills one
# token, and the refill rate is lowered by about this share instead.
_SINGLE_BURST_SHARE = 0.1

# Rounds sums of floats towards fewer tokens, so that the guarantee holds.
_ROUNDING_TOKENS = 1e-6


@frozen
class BucketLimits:
    """The limits of the bucket that issues one team's tokens.

    `capacity` is in tokens, `refill_rate` in tokens per second. `lifetime`
    is how long an issued token can be spent, in seconds.
    """

    capacity: float
    refill_rate: float
    lifetime: float

    @classmethod
    def from_config(cls, team: Team) -> Self:
        """Derives the bucket's limits from the team's rate and burst.

        The lifetime is as long as half of the burst allows, and short if
        the bucket would otherwise hold few tokens. If it would then be too
        short for a token to reach a VM, the refill rate is lowered instead.
        """
        if team.rate <= 0 or team.burst < 1:
            return cls(capacity=0, refill_rate=0, lifetime=MIN_LIFETIME_SECONDS)
        half_burst = max(1.0, team.burst / 2)
        spare_tokens = max(team.burst - half_burst, _SINGLE_BURST_SHARE)
        burst_beyond_kept = max(0, team.burst - MIN_KEPT_TOKENS)
        lifetime = min(
            MAX_LIFETIME_SECONDS,
            spare_tokens / team.rate,
            max(SHORT_LIFETIME_SECONDS, burst_beyond_kept / team.rate),
        )
        lifetime = max(MIN_LIFETIME_SECONDS, lifetime)
        issue_window = lifetime + 1 / team.rate
        refill_rate = min(
            team.rate, (team.burst + 1 - half_burst) / issue_window
        )
        capacity = min(team.burst, team.burst + 1 - refill_rate * issue_window)
        return cls(
            capacity=max(1.0, capacity - _ROUNDING_TOKENS),
            refill_rate=refill_rate,
            lifetime=lifetime,
        )
