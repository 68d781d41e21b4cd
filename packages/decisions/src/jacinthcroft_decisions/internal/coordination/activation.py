"""How a holder candidate puts a list revision in force for one shard.

It fences the witnesses of earlier lists, merges what they knew, waits until
the leases they had voted for have run out, and installs the new witnesses.
Every step may be repeated, by this candidate or by another one at the same
time: a fence at the same revision changes nothing, and an installed witness
ignores a second installation.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.history import (
    PlacementHistory,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    FenceReply,
    FenceRequest,
    InstallReply,
    InstallRequest,
    Outcome,
    ShardView,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.records import merge_records
from jacinthcroft_decisions.internal.coordination.survey import (
    FencesNeeded,
    ListsNeeded,
    NoneInstalled,
    PredecessorFound,
    SurveyResult,
    survey,
)
from jacinthcroft_decisions.internal.coordination.terms import (
    CoordinationTerms,
)

_NEVER = float('-inf')


@define
class Activation:
    """One candidate's drive to put one revision in force for one shard."""

    shard: int
    placement: Placement
    vm: str
    incarnation: str
    terms: CoordinationTerms
    needs_history: bool = field(default=False, init=False)
    _views: dict[str, ShardView] = field(factory=dict, init=False)
    _lease_until: dict[str, float] = field(factory=dict, init=False)
    _installed: set[str] = field(factory=set, init=False)
    _asked_at: dict[str, float] = field(factory=dict, init=False)

    @property
    def is_finished(self) -> bool:
        """Whether every witness of the revision is installed."""
        return self._installed.issuperset(self._witnesses)

    @property
    def _witnesses(self) -> tuple[str, ...]:
        return self.placement.witnesses(self.shard)

    def requests(
        self,
        history: PlacementHistory,
        is_history_complete: bool,
        now: float,
    ) -> tuple[Outgoing, ...]:
        """Returns the next step's requests, as far as they are due."""
        result = survey(
            self.shard,
            self.placement.revision,
            history,
            self._views,
        )
        self.needs_history = isinstance(result, NoneInstalled)
        if isinstance(result, FencesNeeded):
            return self._fences(result.witnesses, now)
        if isinstance(result, ListsNeeded):
            history.hear(result.revisions)
            return ()
        if self.needs_history and not is_history_complete:
            return ()
        blocking = self._blocking(now)
        if blocking:
            return self._fences(blocking, now)
        return self._installs(result, now)

    def receive_fence(self, sender: str, reply: FenceReply, now: float) -> None:
        """Takes what a fenced witness knew."""
        if reply.outcome is not Outcome.DONE or reply.view is None:
            return
        self._views[sender] = reply.view
        self._lease_until[sender] = _NEVER
        lease = reply.view.lease
        own = (self.vm, self.incarnation)
        if lease is not None and (lease.holder, lease.incarnation) != own:
            wait = lease.remaining * (1 + self.terms.drift_margin)
            self._lease_until[sender] = now + wait

    def receive_install(self, sender: str, reply: InstallReply) -> None:
        """Counts an installed witness."""
        if reply.outcome is Outcome.DONE:
            self._installed.add(sender)

    def _blocking(self, now: float) -> tuple[str, ...]:
        """Returns the witnesses that keep another VM's lease."""
        return tuple(
            vm for vm, until in self._lease_until.items() if now < until
        )

    def _fences(
        self,
        witnesses: tuple[str, ...],
        now: float,
    ) -> tuple[Outgoing, ...]:
        message = FenceRequest(self.shard, self.placement.revision)
        return tuple(
            Outgoing(vm, message)
            for vm in witnesses
            if self._is_due(f'fence {vm}', now)
        )

    def _installs(
        self,
        result: SurveyResult,
        now: float,
    ) -> tuple[Outgoing, ...]:
        if not isinstance(result, NoneInstalled | PredecessorFound):
            return ()
        message = InstallRequest(
            shard=self.shard,
            revision=self.placement.revision,
            driver=self.vm,
            incarnation=self.incarnation,
            vouch_from=result.vouch_from,
            is_cold=isinstance(result, NoneInstalled),
            records=merge_records(
                view.records for view in self._views.values()
            ),
        )
        return tuple(
            Outgoing(vm, message)
            for vm in self._witnesses
            if vm not in self._installed and self._is_due(f'install {vm}', now)
        )

    def _is_due(self, question: str, now: float) -> bool:
        """Whether a question may be sent now; notes that it was."""
        asked_at = self._asked_at.get(question, _NEVER)
        if now - asked_at < self.terms.renew_interval:
            return False
        self._asked_at[question] = now
        return True
