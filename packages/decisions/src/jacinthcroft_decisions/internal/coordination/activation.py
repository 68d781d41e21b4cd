"""The activation of a list revision for one shard, run by a candidate.

A list is active for a shard once a majority of its witnesses there is
installed, that is, serves it. The candidate that runs the activation is the
driver. It fences the witnesses of earlier lists (they then refuse all lower
revisions), merges their states, waits until the leases that they voted for have
ended, and installs the new witnesses. Every step may be repeated, by this
driver or by another one at the same time: a second fence at the same
revision changes nothing, and an installed witness ignores a second
installation.

The fence rounds of all earlier lists must begin within one claim timeout;
otherwise all of them are restarted together. So when a witness that was
fenced in one round restarts and ends its abstention, the other rounds have
set their fences too, or the whole attempt has failed.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.fence_round import FenceRound
from jacinthcroft_decisions.internal.coordination.history_messages import (
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    FenceReply,
    InstallReply,
    InstallRequest,
    Outcome,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.placement_history import (
    PlacementHistory,
)
from jacinthcroft_decisions.internal.coordination.predecessor_search import (
    FencesNeeded,
    NoPredecessor,
    PredecessorFound,
    find_predecessor,
)
from jacinthcroft_decisions.internal.coordination.records import merge_records
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)

_NEVER = float('-inf')


@define
class Activation:
    """One driver's activation of one list revision for one shard.

    `needs_history` tells that no known earlier list was ever active, so the
    VM must ask others for lists that it does not know.
    """

    shard: int
    placement: Placement
    vm: str
    incarnation: str
    config: CoordinationConfig
    needs_history: bool = field(default=False, init=False)
    _rounds: dict[int, FenceRound] = field(factory=dict, init=False)
    _lease_until: dict[str, float] = field(factory=dict, init=False)
    _installed_vms: set[str] = field(factory=set, init=False)
    _last_step_at: float = field(default=_NEVER, init=False)

    @property
    def is_finished(self) -> bool:
        """Whether every witness of the revision is installed."""
        return self._installed_vms.issuperset(self._witnesses)

    @property
    def is_active(self) -> bool:
        """Whether a majority of the revision's witnesses is installed."""
        return len(self._installed_vms) >= majority_of(len(self._witnesses))

    @property
    def _witnesses(self) -> tuple[str, ...]:
        return self.placement.witnesses(self.shard)

    @property
    def _are_rounds_concurrent(self) -> bool:
        """Whether all fence rounds began within one claim timeout."""
        starts = [
            fence_round.started_at for fence_round in self._rounds.values()
        ]
        if not starts:
            return True
        return max(starts) - min(starts) <= self.config.claim_timeout

    def start_due_requests(
        self,
        history: PlacementHistory,
        is_history_complete: bool,
        now: float,
    ) -> tuple[Outgoing, ...]:
        """Returns the requests of the next step that are due."""
        removed = history.removed_vms(now)
        for started_round in self._rounds.values():
            started_round.complete_without(removed)
        fenced_views = {
            revision: fence_round.views
            for revision, fence_round in self._rounds.items()
            if fence_round.is_complete
        }
        result = find_predecessor(
            self._earlier_witness_sets(history, now), fenced_views
        )
        self.needs_history = isinstance(result, NoPredecessor)
        if isinstance(result, FencesNeeded):
            return self._fence_requests(result.earlier, now)
        if not self._are_rounds_concurrent:
            return self._restart_rounds(now)
        if self.needs_history and not is_history_complete:
            return ()
        return self._wait_or_install(result, now)

    def receive_fence(
        self,
        sender: str,
        reply: FenceReply,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the state and the lease of a fenced witness."""
        fence_round = self._rounds.get(reply.earlier)
        if fence_round is None or reply.view is None:
            return
        fence_round.receive(sender, reply, sent_at, now)
        lease = reply.view.lease
        own_lease = (self.vm, self.incarnation)
        if lease is None or (lease.holder, lease.incarnation) == own_lease:
            self._lease_until[sender] = _NEVER
            return
        wait = lease.remaining * (1 + self.config.drift_margin)
        self._lease_until[sender] = now + wait

    def receive_install(self, sender: str, reply: InstallReply) -> None:
        """Counts an installed witness."""
        if reply.outcome is Outcome.DONE:
            self._installed_vms.add(sender)

    def _earlier_witness_sets(
        self,
        history: PlacementHistory,
        now: float,
    ) -> list[WitnessSet]:
        """Returns the witnesses of all earlier lists, newest list first.

        Fences name the witnesses of lists that this VM does not have.
        """
        revision = self.placement.revision
        sets_by_revision = {
            placement.revision: WitnessSet.from_placement(
                placement,
                self.shard,
            )
            for placement in history.placements_before(revision)
        }
        for fence_round in self._rounds.values():
            for view in fence_round.views:
                sets_by_revision.update(
                    (fence.revision, fence) for fence in view.fences
                )
        earlier = [
            witnesses
            for witnesses in sets_by_revision.values()
            if witnesses.revision < revision and witnesses.vms
        ]
        for witnesses in earlier:
            history.note_absences(witnesses.vms, now)
        return sorted(earlier, reverse=True)

    def _fence_requests(
        self, earlier: WitnessSet, now: float
    ) -> tuple[Outgoing, ...]:
        fence_round = self._rounds.get(earlier.revision)
        if fence_round is None:
            fence_round = FenceRound(
                self.shard,
                WitnessSet.from_placement(self.placement, self.shard),
                earlier,
                self.config,
            )
            self._rounds[earlier.revision] = fence_round
        return fence_round.start_due_requests(now)

    def _restart_rounds(self, now: float) -> tuple[Outgoing, ...]:
        """Restarts the rounds of all earlier lists at the same time."""
        return tuple(
            outgoing
            for fence_round in self._rounds.values()
            for outgoing in fence_round.restart(now)
        )

    def _wait_or_install(
        self,
        found: NoPredecessor | PredecessorFound,
        now: float,
    ) -> tuple[Outgoing, ...]:
        """Returns the install requests, once all earlier leases have ended.

        Until then it returns requests to the witnesses of those leases.
        """
        interval = self.config.renew_interval
        if self.is_active:
            interval = self.config.lease_term
        if now - self._last_step_at < interval:
            return ()
        self._last_step_at = now
        witnesses_with_lease = tuple(
            vm for vm, until in self._lease_until.items() if now < until
        )
        if witnesses_with_lease:
            newest_round = self._rounds[max(self._rounds)]
            return newest_round.requests_to(witnesses_with_lease)
        return self._install_requests(found)

    def _install_requests(
        self,
        found: NoPredecessor | PredecessorFound,
    ) -> tuple[Outgoing, ...]:
        vouch_from: float = 0
        is_cold = True
        if isinstance(found, PredecessorFound):
            vouch_from = found.vouch_from
            is_cold = found.is_cold
        message = InstallRequest(
            shard=self.shard,
            revision=self.placement.revision,
            witnesses=self._witnesses,
            driver=self.vm,
            incarnation=self.incarnation,
            vouch_from=vouch_from,
            is_cold=is_cold,
            records=merge_records(
                view.records
                for fence_round in self._rounds.values()
                for view in fence_round.views
            ),
        )
        return tuple(
            Outgoing(vm, message)
            for vm in self._witnesses
            if vm not in self._installed_vms
        )
