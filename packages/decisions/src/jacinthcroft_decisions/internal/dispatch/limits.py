"""The bounds that the fleet keeps together, as its deployment states them."""

from typing import Self

from attrs import frozen


@frozen
class DispatchLimits:
    """Shared bounds; times in seconds.

    `retry_ratio` and `retry_slack` bound repeated sends of a service in any
    `retry_window`; `cold_factor` and `cold_slack` the requests that a cold
    target gets in any second.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 1.0
    # What a team may get beyond its rate and burst before its limit counts as
    # broken: a share, and requests on top.
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    # Keyed work stops when a key's withdrawal could be unknown for so long.
    revoke_seconds: float = 5.0

    @classmethod
    def with_defaults(cls) -> Self:
        """Returns the limits of a deployment that states none."""
        return cls()
