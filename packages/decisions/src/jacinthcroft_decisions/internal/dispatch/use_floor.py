"""Keeps most of a service's targets in use while its requests fail.

A request that may run only once goes to targets that served others a moment
ago. Under a light load the targets that failed once are then left unused, also
those that have recovered. That is best for callers while nearly all requests
are served. Once too many are lost, what is known of the targets may be wrong,
so that unused ones are tried until the operators' floor is reached.
"""

import math
from collections.abc import Iterable
from typing import Final

from attrs import define

from jacinthcroft_decisions.internal.dispatch.target_record import (
    TargetRecord,
)

# More targets are used once this share of the requests is lost. The operators
# allow a tenth; some are lost before others take effect.
MAX_LOST_SHARE: Final = 0.075
# Time constant of the share of lost requests.
AVERAGING_SECONDS: Final = 1.0
# Requests that the average needs before it counts.
MIN_REQUESTS: Final = 8.0
# A target counts as in use for so long after a request was sent to it. The
# operators look at windows of two seconds.
IN_USE_SECONDS: Final = 1.4
# Added to the floor, since some of the targets that are tried leave or fail.
FLOOR_MARGIN: Final = 0.1


@define
class UseFloor:
    """The least share of a service's targets to use while requests fail."""

    share: float
    _requests: float = 0
    _lost: float = 0
    _decayed_at: float = 0

    def record(self, now: float, *, is_lost: bool) -> None:
        """Counts a request that was served or lost."""
        self._decay(now)
        self._requests += 1
        self._lost += is_lost

    def needs_unused_targets(
        self, targets: Iterable[TargetRecord], now: float
    ) -> bool:
        """Whether targets that are not in use should get requests."""
        if not self._is_losing(now):
            return False
        sound = [
            record for record in targets if not record.has_just_failed(now)
        ]
        unused = sum(is_unused(record, now) for record in sound)
        return len(sound) - unused < (self.share + FLOOR_MARGIN) * len(sound)

    def _is_losing(self, now: float) -> bool:
        if not self.share:
            return False
        self._decay(now)
        return (
            self._requests >= MIN_REQUESTS
            and self._lost > MAX_LOST_SHARE * self._requests
        )

    def _decay(self, now: float) -> None:
        elapsed = max(0, now - self._decayed_at)
        kept = math.exp(-elapsed / AVERAGING_SECONDS)
        self._decayed_at = max(now, self._decayed_at)
        self._requests *= kept
        self._lost *= kept


def is_unused(record: TargetRecord, now: float) -> bool:
    """Whether a target has got no request for a while."""
    return now > record.last_used_at + IN_USE_SECONDS
