"""How a restarted witness reads back state that it may have lost.

Witnesses vote on a shard's lease and on claims of idempotency keys. One that
is installed at a revision of the VM list serves it; one that is fenced at a
revision refuses all lower ones. An incarnation of a VM lasts from one start to
the next.

A witness keeps its state in memory only, so an incarnation that has just
started can't tell whether an earlier one was fenced, was installed or voted
for claims. It abstains until every lease that the earlier one voted for has
ended, and every claimer and driver that counted its votes has timed out.
Then it asks the other witnesses of the list. Its state is whole for the list
once the witnesses that answered include a member of every majority that the
earlier incarnation can have been part of.

Witnesses that have lost their own state can't speak for such a majority.
Their answers count only when all others have answered, or after a wait of
one abstention: when a whole fleet starts, no witness has any state.

A later list needs no read-back of its own if this one proves that the list
was never active. Each activation of a list fences a majority of every list
that was active before it. So if the read-back finds no later list, and
witnesses were installed for its own list, then no later list was activated
with the earlier incarnation's votes. A majority that remains after a network
partition can thus activate a new list, although too few other witnesses are
left to read anything back from.

Limit: when several of a shard's witnesses lose their state at once, a fence
that only they had is lost. The only protection left is the VM list: a witness
refuses all revisions below the one that it first adopted, so it must ask its
peers for the newest list before it adopts any.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    Outcome,
    ReadBackReply,
    ReadBackRequest,
    ShardView,
)

_NEVER = float('-inf')


@define
class ReadBack:
    """One shard's read-back under one list revision."""

    shard: int
    revision: int
    vm: str
    witnesses: tuple[str, ...]
    config: CoordinationConfig
    _first_asked_at: float | None = field(default=None, init=False)
    _asked_at: float = field(default=_NEVER, init=False)
    _view_by_vm: dict[str, ShardView] = field(factory=dict, init=False)

    @property
    def views(self) -> tuple[ShardView, ...]:
        """The states that other witnesses have sent so far."""
        return tuple(self._view_by_vm.values())

    @property
    def installed_views(self) -> tuple[ShardView, ...]:
        """The views of witnesses that are installed at the revision."""
        return tuple(
            view for view in self.views if view.installed == self.revision
        )

    @property
    def is_conclusive(self) -> bool:
        """Whether the answers suffice without the wait of one abstention."""
        is_from_all = len(self._view_by_vm) == len(self._others)
        return is_from_all or len(self._whole_views) >= self._quorum

    @property
    def _whole_views(self) -> list[ShardView]:
        return [view for view in self.views if view.is_whole_for(self.revision)]

    @property
    def _others(self) -> tuple[str, ...]:
        return tuple(vm for vm in self.witnesses if vm != self.vm)

    @property
    def _quorum(self) -> int:
        """How many other witnesses must answer.

        Every majority that includes the asker then contains one of them.
        """
        count = len(self.witnesses)
        return min(count - majority_of(count) + 1, count - 1)

    def is_complete(self, now: float) -> bool:
        """Whether enough others have answered."""
        if self.is_conclusive:
            return True
        return (
            self._has_waited_abstention(now)
            and len(self._view_by_vm) >= self._quorum
        )

    def start_due_requests(
        self, incarnation: str, now: float
    ) -> tuple[Outgoing, ...]:
        """Asks the witnesses that have not sent a whole state, if due."""
        if now - self._asked_at < self.config.renew_interval:
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
        """Records another witness's answer."""
        is_valid = reply.outcome is Outcome.DONE and sender in self._others
        if is_valid and reply.view is not None:
            self._view_by_vm[sender] = reply.view

    def vouch_from(self, newest_earlier_key_time: float) -> float:
        """Returns the key creation time above which no record can be missing.

        The asker can't have lost votes on keys later than
        `newest_earlier_key_time`. For earlier keys, enough other witnesses
        must have all records. Records of earlier lists reached at least one
        of the other witnesses when it was installed.
        """
        vouch_times = sorted(view.vouch_from for view in self.views)
        own_vouch_from = min(
            [
                newest_earlier_key_time,
                *vouch_times[self._quorum - 1 : self._quorum],
            ]
        )
        installed_vouch_times = [
            view.vouch_from for view in self.installed_views
        ]
        return max(
            own_vouch_from, min(installed_vouch_times, default=own_vouch_from)
        )

    def _is_whole(self, vm: str) -> bool:
        view = self._view_by_vm.get(vm)
        return view is not None and view.is_whole_for(self.revision)

    def _has_waited_abstention(self, now: float) -> bool:
        if self._first_asked_at is None:
            return False
        return now - self._first_asked_at >= self.config.abstention
