"""The limits that the deciding VMs of a fleet keep together."""

from typing import Self

from attrs import frozen


@frozen
class DispatchLimits:
    """Limits that a deployment configures; times in seconds.

    In any `retry_window`, a service gets at most `retry_ratio` times its
    number of requests, plus `retry_slack`, as retries. A target is cold while
    it warms up after its start; in any second, it then gets at most
    `cold_factor` times its service's cold rate, plus `cold_slack` requests.
    While more than a few of a service's requests are lost, at least
    `floor_share` of its healthy targets get requests; 0 sets no floor.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 1.0
    # What a team may get beyond its rate and burst before its limit counts as
    # violated: a share of both, and a number of requests on top.
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    # Requests with API keys are refused once the withdrawal of a key could
    # have gone unnoticed for this long.
    revoke_seconds: float = 5.0
    floor_share: float = 0.0

    @classmethod
    def with_defaults(cls) -> Self:
        """Returns the limits of a deployment that configures none."""
        return cls()
