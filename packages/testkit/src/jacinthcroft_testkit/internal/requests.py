"""What callers ask for, and through which VMs."""

import random
from collections.abc import Mapping

from attrs import define, field, frozen
from jacinthcroft_config import Address

# Keeps a VM of no weight as the last resort.
_LEAST_WEIGHT = 1e-9


@frozen
class RequestKind:
    """One kind of request of one team.

    `path` may hold `{n}`, which becomes the request's number. `api_key` is
    empty on open routes. `timeout` is how many seconds the caller waits.
    """

    service: str
    team: str
    api_key: str
    method: str
    path: str
    is_idempotent: bool = True
    body: bytes | None = None
    answer_bytes: int = 512
    timeout: float = 5

    def path_of(self, number: str) -> str:
        """Returns the path of one request, which no other request has."""
        path = self.path.replace('{n}', number)
        return f'{path}?n={number}&bytes={self.answer_bytes}'


@frozen
class Entrance:
    """Where callers reach a VM."""

    vm: str
    address: Address


@define(eq=False)
class Balancer:
    """Spreads callers over VMs by weight; without weights, evenly.

    A VM that failed a caller is passed over for `retreat_seconds`, as a
    balancer would until the VM's readiness is seen again.
    """

    _entrances: list[Entrance]
    _randomness: random.Random
    _weights: Mapping[str, float] = field(factory=dict)
    _retreat_seconds: float = 1
    _shunned_until: dict[str, float] = field(factory=dict, init=False)

    def pick(self, now: float, *, other_than: str = '') -> Entrance:
        """Returns where to send a request."""
        choices = [
            entrance
            for entrance in self._entrances
            if entrance.vm != other_than
            and self._shunned_until.get(entrance.vm, 0) <= now
        ]
        candidates = choices or self._entrances
        weights = [
            max(self._weights.get(candidate.vm, 1), _LEAST_WEIGHT)
            for candidate in candidates
        ]
        return self._randomness.choices(candidates, weights)[0]

    def retire(self, vm: str) -> None:
        """Sends nothing more to a VM that left the platform's list."""
        self._entrances = [
            entrance for entrance in self._entrances if entrance.vm != vm
        ]

    def admit(self, entrance: Entrance) -> None:
        """Sends requests to a VM again."""
        self._entrances = [*self._entrances, entrance]

    def shun(self, vm: str, now: float) -> None:
        """Passes a VM over for a while."""
        self._shunned_until[vm] = now + self._retreat_seconds
