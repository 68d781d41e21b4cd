"""Expected size of the responses of a route.

A large response from a target in another availability zone costs more than a
busier target in the VM's own zone.
"""

from collections import OrderedDict
from typing import Final

from attrs import define, field

from jacinthcroft_decisions.internal.dispatch.documents import Route

# Weight of the newest response in a route's mean size.
NEWEST_WEIGHT: Final = 0.2
# Assumed for a route with large responses before its first one.
INITIAL_LARGE_BYTES: Final = 65_536
# Number of routes whose size is remembered. The route whose last response is
# the oldest is evicted.
MAX_ROUTES: Final = 512


@define
class RouteSizes:
    """Moving means of response sizes in bytes, by route."""

    _means: OrderedDict[str, float] = field(factory=OrderedDict)

    def estimate(self, route: Route) -> int:
        """Returns the expected size of the route's responses."""
        initial = INITIAL_LARGE_BYTES if route.has_large_responses else 0
        return int(self._means.get(route.name, initial))

    def record(self, route: Route, size: int) -> None:
        """Adds the size of a response to the mean of its route."""
        mean = self._means.setdefault(route.name, size)
        self._means[route.name] = mean + (size - mean) * NEWEST_WEIGHT
        self._means.move_to_end(route.name)
        while len(self._means) > MAX_ROUTES:
            self._means.popitem(last=False)
