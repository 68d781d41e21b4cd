"""How a witness without memory learns what it may have known.

An incarnation that has just started can't tell whether an earlier one was
fenced, installed or given claims. It abstains until every lease that the
earlier one voted for has run out, and every claimer that counted its votes
has stopped waiting. Then it asks the other witnesses of its list, and goes
on once so many have answered that every majority which it took part in is
represented among them.

Limit: when a majority of a shard's witnesses lose their memory at once, the
fences which only they held are lost. What remains is the list: a witness
refuses all revisions below the one that it first adopted, so it must ask its
peers for the newest list before it adopts any.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.history_messages import (
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    Outcome,
    ReadBackReply,
    ReadBackRequest,
    ShardView,
)
from jacinthcroft_decisions.internal.coordination.terms import (
    CoordinationTerms,
    majority_of,
)

_NEVER = float('-inf')


@define
class ReadBack:
    """One shard's read-back under one list revision."""

    shard: int
    revision: int
    others: tuple[str, ...]
    terms: CoordinationTerms
    _asked_at: float = field(default=_NEVER, init=False)
    _views: dict[str, ShardView] = field(factory=dict, init=False)

    @property
    def views(self) -> tuple[ShardView, ...]:
        """What the others have answered so far."""
        return tuple(self._views.values())

    @property
    def needed(self) -> int:
        """How many of the others meet every majority with the asker in it."""
        count = len(self.others) + 1
        return min(count - majority_of(count) + 1, len(self.others))

    @property
    def is_complete(self) -> bool:
        """Whether enough others have answered."""
        return len(self._views) >= self.needed

    def requests(self, incarnation: str, now: float) -> tuple[Outgoing, ...]:
        """Asks those that have not answered, once in a renewal interval."""
        if now - self._asked_at < self.terms.renew_interval:
            return ()
        self._asked_at = now
        message = ReadBackRequest(self.shard, self.revision, incarnation)
        return tuple(
            Outgoing(vm, message) for vm in self.others if vm not in self._views
        )

    def receive(self, sender: str, reply: ReadBackReply) -> None:
        """Takes another witness's answer."""
        is_wanted = reply.outcome is Outcome.DONE and sender in self.others
        if is_wanted and reply.view is not None:
            self._views[sender] = reply.view

    def installed_views(self) -> tuple[ShardView, ...]:
        """Returns the views of witnesses that answer for the revision."""
        return tuple(
            view for view in self.views if view.installed == self.revision
        )

    def vouch_from(self, start_wall: float) -> float:
        """Returns the key time from which nothing can be missing.

        Later than its own start, the asker had no votes of its own to lose;
        before it, enough others must be without a gap. What earlier lists
        knew came with the installation of at least one of the others.
        """
        gaps = sorted(view.vouch_from for view in self.views)
        own_gap = min([start_wall, *gaps[self.needed - 1 : self.needed]])
        handed_over = [view.vouch_from for view in self.installed_views()]
        return max(own_gap, min(handed_over, default=own_gap))
