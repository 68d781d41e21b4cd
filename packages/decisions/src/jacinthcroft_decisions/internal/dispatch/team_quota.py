"""A team's rate and burst, counted where its requests are granted.

Load answered: one team that sends many times its usual must not take the
room of the others. A new deciding VM starts with an empty burst, since the
one before may just have spent it.
"""

from typing import Final

from attrs import define

from jacinthcroft_decisions.internal.dispatch.documents import TeamSettings
from jacinthcroft_decisions.internal.dispatch.limits import DispatchLimits

# Parts of the stated tolerance that one deciding VM uses, so that a team is
# not refused what it may have; the rest is for a change of that VM, whose
# successor does not know what was just spent.
OVERSHOOT_USED: Final = 0.8
SLACK_USED: Final = 0.5
# Part of the burst that a new count starts with.
STARTING_SHARE: Final = 0.25
# Shortest wait that is told to a caller, in seconds.
MIN_RETRY_SECONDS: Final = 0.05


@define
class TeamQuota:
    """One team's tokens; `share` is the part of the fleet decided here."""

    _level: float | None = None
    _filled_at: float = 0

    def take(
        self,
        team: TeamSettings,
        terms: DispatchLimits,
        share: float,
        now: float,
    ) -> float | None:
        """Takes a token, or returns the seconds until there is one."""
        if team.rate <= 0:
            return None
        factor = (1 + terms.quota_overshoot * OVERSHOOT_USED) * share
        slack = terms.quota_slack * SLACK_USED * share
        rate = team.rate * factor
        capacity = max(1, team.burst * factor + slack)
        if self._level is None:
            self._level = max(1, capacity * STARTING_SHARE)
        else:
            grown = self._level + (now - self._filled_at) * rate
            self._level = min(capacity, grown)
        self._filled_at = now
        if self._level < 1:
            return max(MIN_RETRY_SECONDS, (1 - self._level) / rate)
        self._level -= 1
        return None

    def give_back(self) -> None:
        """Returns the token of a request that did not run."""
        if self._level is not None:
            self._level += 1
