"""How long requests usually take, by route.

Load answered: services in which half of the requests take milliseconds and
the others a quarter of a second. One mean for both would call most of the
longer ones a hang, and start some that cannot end in time.
"""

from collections import OrderedDict
from typing import Final

from attrs import define, field, frozen

# Mean latency that a service starts with, in seconds.
STARTING_MEAN_SECONDS: Final = 0.2
# Least weight of the newest latency in a mean.
MEAN_WEIGHT: Final = 0.02
# Answers that the starting mean of a service counts for, and the service's
# mean in that of a new route.
SERVICE_PRIOR: Final = 10
ROUTE_PRIOR: Final = 2
# A request that runs this many times its mean is taken to hang; within the
# bounds below, in seconds.
HANG_FACTOR: Final = 2.2
MIN_HANG_SECONDS: Final = 0.2
MAX_HANG_SECONDS: Final = 1.0
# Routes whose latency is remembered; those not used for longest go first.
MAX_ROUTES: Final = 512


@frozen
class Norm:
    """What is usual for requests of a route, in seconds."""

    mean_seconds: float

    @property
    def hang_seconds(self) -> float:
        """How long one runs before it is taken to hang."""
        hang = min(MAX_HANG_SECONDS, HANG_FACTOR * self.mean_seconds)
        return max(MIN_HANG_SECONDS, hang)


@define
class _Mean:
    seconds: float
    count: int

    def take(self, seconds: float) -> None:
        self.count += 1
        weight = max(MEAN_WEIGHT, 1 / self.count)
        self.seconds += (seconds - self.seconds) * weight


@define
class LatencyNorms:
    """Mean latencies of one service and of its routes."""

    _service: _Mean = field(
        factory=lambda: _Mean(STARTING_MEAN_SECONDS, SERVICE_PRIOR),
    )
    _routes: OrderedDict[str, _Mean] = field(factory=OrderedDict)

    @property
    def mean_seconds(self) -> float:
        """The mean over all requests of the service."""
        return self._service.seconds

    def of(self, route: str) -> Norm:
        """Returns what is usual on a route; the service's, if it is new."""
        return Norm(self._routes.get(route, self._service).seconds)

    def take(self, route: str, seconds: float) -> None:
        """Takes the latency of an answer in."""
        start = _Mean(self._service.seconds, ROUTE_PRIOR)
        mean = self._routes.setdefault(route, start)
        mean.take(seconds)
        self._service.take(seconds)
        self._routes.move_to_end(route)
        while len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
