"""Keeps to what targets signal, and tells the deciding VM of it."""

from typing import Final

from attrs import define, field
from jacinthcroft_decisions.dispatch import (
    Decider,
    HeldTarget,
    HeldTargets,
    TargetSignal,
)
from jacinthcroft_decisions.membership import Leadership
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.seeded.datagrams import Datagrams
from jacinthcroft_daemon.internal.seeded.documents_copy import DocumentsCopy
from jacinthcroft_daemon.internal.seeded.wire import pack_held_targets
from jacinthcroft_daemon.internal.telemetry.events import log_event

# How often the deciding VM is told again, since datagrams may be lost.
REPORT_INTERVAL_SECONDS: Final = 1.0
# Keeps a datagram within one packet of an Ethernet link.
MAX_TARGETS_PER_DATAGRAM: Final = 40


@define(eq=False)
class HeldTargetTracker:
    """The targets to which this VM sends nothing, because they asked for it.

    The deciding VM, which may be this VM, learns of them at once, again at
    intervals, and whenever it changes. It tells the VMs that would decide next
    which targets leave.
    """

    _decider: Decider
    _leadership: Leadership
    _datagrams: Datagrams
    _documents: DocumentsCopy
    _held: HeldTargets = field(factory=HeldTargets)
    _next_report_at: float = 0
    _reported_to: str | None = None
    _shared_count: int = 0

    def find_incarnation(self, target_id: str) -> str:
        """Returns the incarnation of a target that was granted."""
        return self._documents.find_incarnation(target_id)

    def may_send(self, target_id: str) -> bool:
        """Whether a target may get a request from this VM now.

        The copy of the VM that granted it may be older than this VM's.
        """
        if self._documents.knows_as_gone(target_id):
            return False
        return self._held.may_send(self.find_incarnation(target_id), now())

    def record(self, incarnation: str, signal: TargetSignal) -> None:
        """Records what a target signalled in a response."""
        if signal.is_empty:
            return
        at = now()
        is_new = self._held.may_send(incarnation, at)
        self._held.record(incarnation, signal, at)
        if is_new:
            log_event(
                'info',
                'target-held',
                target=incarnation,
                is_leaving=signal.is_leaving,
                wait=signal.wait,
            )
            self.report()

    def count_held(self) -> dict[str, float]:
        """Returns how many listed targets are held, by what they asked for."""
        held_targets = self._list_listed()
        leaving = sum(held.is_leaving for held in held_targets)
        return {
            'leaving_targets': leaving,
            'waiting_targets': len(held_targets) - leaving,
        }

    def tick(self) -> None:
        """Reports again if it is time or if another VM decides."""
        at = now()
        is_due = at >= self._next_report_at
        if is_due or self._leadership.leader != self._reported_to:
            self.report()
        is_shared = self._decider.leaving.leaving_count == self._shared_count
        if self._leadership.is_leading and (is_due or not is_shared):
            self.share_leaving()

    def share_leaving(self) -> None:
        """Tells the VMs that would decide next which targets leave."""
        leaving = self._keep_listed(self._decider.leaving.list_held(now()))
        self._shared_count = self._decider.leaving.leaving_count
        for host in self._leadership.successors:
            self._send(host, leaving)

    def report(self) -> None:
        """Tells the deciding VM to which targets this VM sends nothing."""
        at = now()
        leader = self._leadership.leader
        self._next_report_at = at + REPORT_INTERVAL_SECONDS
        self._reported_to = leader
        held_targets = self._list_listed()
        local_host = self._leadership.local_peer.host
        if not held_targets or leader is None:
            return
        if leader == local_host:
            self._decider.hold_targets(local_host, held_targets, at)
            return
        self._send(leader, held_targets)

    def _send(self, host: str, held_targets: list[HeldTarget]) -> None:
        for start in range(0, len(held_targets), MAX_TARGETS_PER_DATAGRAM):
            batch = held_targets[start : start + MAX_TARGETS_PER_DATAGRAM]
            self._datagrams.send(host, pack_held_targets(batch))

    def _list_listed(self) -> list[HeldTarget]:
        """Returns the held targets that the platform still lists."""
        return self._keep_listed(self._held.list_held(now()))

    def _keep_listed(self, held_targets: list[HeldTarget]) -> list[HeldTarget]:
        targets = self._documents.documents.targets
        return [held for held in held_targets if held.target_id in targets]
