"""Expected latency of a service's requests, by route.

A route is the name under which similar requests of a service are averaged.
In some services half of the requests take milliseconds and the others a
quarter of a second. A single mean for both would classify most of the longer
requests as hanging, and would start some that cannot end in time.
"""

from collections import OrderedDict
from typing import Final

from attrs import define, field, frozen

# Mean latency that is assumed for a service before its first response.
INITIAL_MEAN_SECONDS: Final = 0.2
# Minimum weight of the newest latency in a mean, so that old ones fade.
MIN_NEWEST_WEIGHT: Final = 0.02
# Number of responses that the initial mean of a service counts as.
SERVICE_PRIOR_RESPONSES: Final = 10
# Number of responses that the service's mean counts as in a new route's mean.
ROUTE_PRIOR_RESPONSES: Final = 2
# A request counts as hanging after this many times its mean latency, limited
# to the two bounds below.
HANG_FACTOR: Final = 2.2
MIN_HANG_SECONDS: Final = 0.2
MAX_HANG_SECONDS: Final = 1.0
# Number of routes whose latency is remembered per service. The route whose last
# response is the oldest is evicted.
MAX_ROUTES: Final = 512


@frozen
class ExpectedLatency:
    """The latency that is usual for the requests of a route."""

    mean_seconds: float

    @property
    def hang_seconds(self) -> float:
        """Running time after which a request counts as hanging."""
        hang = min(MAX_HANG_SECONDS, HANG_FACTOR * self.mean_seconds)
        return max(MIN_HANG_SECONDS, hang)


@define
class _MovingMean:
    seconds: float
    count: int

    def add(self, seconds: float) -> None:
        self.count += 1
        weight = max(MIN_NEWEST_WEIGHT, 1 / self.count)
        self.seconds += (seconds - self.seconds) * weight


@define
class RouteLatencies:
    """Mean latencies of one service and of its routes."""

    _service_mean: _MovingMean = field(
        factory=lambda: _MovingMean(
            INITIAL_MEAN_SECONDS,
            SERVICE_PRIOR_RESPONSES,
        ),
    )
    _route_means: OrderedDict[str, _MovingMean] = field(factory=OrderedDict)

    @property
    def mean_seconds(self) -> float:
        """The mean over all requests of the service."""
        return self._service_mean.seconds

    def estimate(self, route: str) -> ExpectedLatency:
        """Returns the route's mean, or the service's mean for a new route."""
        return ExpectedLatency(
            self._route_means.get(route, self._service_mean).seconds
        )

    def record(self, route: str, seconds: float) -> None:
        """Adds the latency of a response to the means."""
        initial = _MovingMean(self._service_mean.seconds, ROUTE_PRIOR_RESPONSES)
        mean = self._route_means.setdefault(route, initial)
        mean.add(seconds)
        self._service_mean.add(seconds)
        self._route_means.move_to_end(route)
        while len(self._route_means) > MAX_ROUTES:
            self._route_means.popitem(last=False)
