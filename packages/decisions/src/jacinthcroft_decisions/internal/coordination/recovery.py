"""How a witness without memory learns what it may have known.

An incarnation that has just started can't tell whether an earlier one was
fenced, installed or given claims. It abstains until every lease that the
earlier one voted for has run out, and every claimer and driver that counted
its votes has stopped waiting. Then it asks the other witnesses of the list,
and its memory is whole once so many of them have answered that every
majority which it took part in is represented.

Others that have lost their memory as well can't represent it. They count
when all others have answered, or when the wait for a better answer has gone
on for a whole abstention: a fleet that starts has no memory anywhere.

A list that comes later needs no read-back of its own where the first one
proves that it can't have counted before. Each list that was put in force has
fenced a majority of every list in force before it. So when the read-back
finds no later list, and its own list is one that witnesses were installed
for, no later list had got that far with the earlier incarnation's votes. A
majority that is left over from a split can thus put a new list in force,
although too few others are left to read anything back from.

Limit: when several of a shard's witnesses lose their memory at once, a fence
that only they held is lost. What remains is the list: a witness refuses all
revisions below the one that it first adopted, so it must ask its peers for
the newest list before it adopts any.
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
from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
    majority_of,
)

_NEVER = float('-inf')


@define
class ReadBack:
    """One shard's read-back under one list revision."""

    shard: int
    revision: int
    vm: str
    witnesses: tuple[str, ...]
    parameters: CoordinationParameters
    _first_asked_at: float | None = field(default=None, init=False)
    _asked_at: float = field(default=_NEVER, init=False)
    _views: dict[str, ShardView] = field(factory=dict, init=False)

    @property
    def views(self) -> tuple[ShardView, ...]:
        """What the others have answered so far."""
        return tuple(self._views.values())

    @property
    def installed_views(self) -> tuple[ShardView, ...]:
        """The views of witnesses that answer for the revision."""
        return tuple(
            view for view in self.views if view.installed == self.revision
        )

    @property
    def is_conclusive(self) -> bool:
        """Whether the answers show all that counts, without a wait's end."""
        is_from_all = len(self._views) == len(self._others)
        return is_from_all or len(self._whole_views) >= self._needed

    @property
    def _whole_views(self) -> list[ShardView]:
        return [view for view in self.views if view.is_whole_for(self.revision)]

    @property
    def _others(self) -> tuple[str, ...]:
        return tuple(vm for vm in self.witnesses if vm != self.vm)

    @property
    def _needed(self) -> int:
        """How many of the others meet every majority with the asker in it."""
        count = len(self.witnesses)
        return min(count - majority_of(count) + 1, count - 1)

    def is_complete(self, now: float) -> bool:
        """Whether enough others have answered."""
        if self.is_conclusive:
            return True
        return (
            self._has_waited_abstention(now)
            and len(self._views) >= self._needed
        )

    def requests(self, incarnation: str, now: float) -> tuple[Outgoing, ...]:
        """Asks those that lack memory themselves or have not answered."""
        if now - self._asked_at < self.parameters.renew_interval:
            return ()
        if self._first_asked_at is None:
            self._first_asked_at = now
        self._asked_at = now
        message = ReadBackRequest(
            self.shard,
            self.revision,
            incarnation,
            self.witnesses,
        )
        return tuple(
            Outgoing(vm, message)
            for vm in self._others
            if not self._is_whole(vm)
        )

    def receive(self, sender: str, reply: ReadBackReply) -> None:
        """Takes another witness's answer."""
        is_wanted = reply.outcome is Outcome.DONE and sender in self._others
        if is_wanted and reply.view is not None:
            self._views[sender] = reply.view

    def vouch_from(self, started_wall_time: float) -> float:
        """Returns the key time from which nothing can be missing.

        Later than its own start, the asker had no votes of its own to lose;
        before it, enough others must be without a gap. What earlier lists
        knew came with the installation of at least one of the others.
        """
        gaps = sorted(view.vouch_from for view in self.views)
        own_gap = min(
            [started_wall_time, *gaps[self._needed - 1 : self._needed]]
        )
        handed_over = [view.vouch_from for view in self.installed_views]
        return max(own_gap, min(handed_over, default=own_gap))

    def _is_whole(self, vm: str) -> bool:
        view = self._views.get(vm)
        return view is not None and view.is_whole_for(self.revision)

    def _has_waited_abstention(self, now: float) -> bool:
        if self._first_asked_at is None:
            return False
        return now - self._first_asked_at >= self.parameters.abstention
