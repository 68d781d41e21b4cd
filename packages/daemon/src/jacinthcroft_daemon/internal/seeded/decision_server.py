"""Serves the decisions of this VM to itself and to its followers.

It also receives the decisions that another deciding VM makes for this VM.
"""

from typing import Any, Final

from attrs import define, field
from jacinthcroft_decisions.dispatch import (
    Ask,
    Decider,
    Decision,
    HeldTarget,
    Outcome,
    Refusal,
    Report,
)
from jacinthcroft_decisions.membership import Leadership
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.seeded.datagrams import Datagrams
from jacinthcroft_daemon.internal.seeded.decision_client import DecisionClient
from jacinthcroft_daemon.internal.seeded.documents_copy import DocumentsCopy
from jacinthcroft_daemon.internal.seeded.held_target_tracker import (
    HeldTargetTracker,
)
from jacinthcroft_daemon.internal.seeded.vm_metrics import VmMetrics
from jacinthcroft_daemon.internal.seeded.wire import (
    DatagramKind,
    pack_datagram,
    pack_decision,
    unpack_ask,
    unpack_grant,
    unpack_held_targets,
    unpack_refusal,
    unpack_report,
    unpack_waiting,
)
from jacinthcroft_daemon.internal.telemetry.counts import Count
from jacinthcroft_daemon.internal.telemetry.events import log_event

_MILLIS_PER_SECOND: Final = 1000
_UNLOGGED_OUTCOMES: Final = frozenset((Outcome.SERVED, Outcome.ABANDONED))


@define(eq=False)
class DecisionServer:
    """Passes asks and reports to the decider and its decisions to the VMs."""

    leadership: Leadership
    decider: Decider
    datagrams: Datagrams
    documents: DocumentsCopy
    metrics: VmMetrics
    client: DecisionClient = field(init=False)
    held_targets: HeldTargetTracker = field(init=False)

    def register_handlers(self) -> None:
        """Registers handlers for asks, decisions and reports."""
        host = self.leadership.local_peer.host
        set_handler = self.datagrams.set_handler
        set_handler(DatagramKind.ASK, unpack_ask, self._on_ask)
        set_handler(
            DatagramKind.GRANT,
            lambda _, fields: unpack_grant(host, fields),
            self._on_decision,
        )
        set_handler(
            DatagramKind.REFUSAL,
            lambda _, fields: unpack_refusal(host, fields),
            self._on_decision,
        )
        set_handler(DatagramKind.WAITING, unpack_waiting, self._on_waiting)
        set_handler(DatagramKind.REPORT, unpack_report, self._on_report)
        set_handler(
            DatagramKind.HELD_TARGETS, unpack_held_targets, self._on_held
        )

    def tick(self) -> None:
        """Updates the followers and drops what has expired."""
        followers = self.leadership.followers
        at = now()
        for host in followers.pop_departed_hosts():
            self.decider.drop_vm(host)
        fleet_size = self.leadership.fleet_size
        self.decider.share = fleet_size.compute_share(followers.count, at)
        self.decider.retry_share = fleet_size.compute_retry_share(
            followers.count,
            at,
        )
        self.held_targets.tick()
        self._deliver_decisions(self.decider.tick(at))

    def apply_documents(self) -> None:
        """Applies new documents and delivers the decisions that follow."""
        self.decider.apply_documents(self.documents.documents, now())
        self._deliver_decisions(self.decider.tick(now()))

    def deliver_decision(self, decision: Decision) -> None:
        """Delivers a decision to the VM that asked."""
        host = decision.key[0]
        label = 'granted'
        if isinstance(decision, Refusal):
            label = decision.reason.name.lower()
        self.metrics.count(Count.DECISIONS, label)
        if host == self.leadership.local_peer.host:
            self.client.handle_decision(decision)
        else:
            self.datagrams.send(host, pack_decision(decision))

    def record_running_attempts(
        self, host: str, listed_attempts: list[Any], at: float
    ) -> None:
        """Records the attempts that a follower is running.

        Args:
            host: The follower.
            listed_attempts: A number for each attempt, or, if this VM may not
                know it, the fields of the attempt with times in milliseconds.
            at: The current time.
        """
        numbers: list[int] = []
        for entry in listed_attempts:
            if isinstance(entry, int):
                numbers.append(entry)
                continue
            number, service, target_id, running_millis, left_millis = entry
            numbers.append(number)
            ask = Ask(
                vm=host,
                number=number,
                service=service,
                team='',
                is_repeatable=False,
                attempt=1,
                rank=0,
                time_left=left_millis / _MILLIS_PER_SECOND,
                objective_left=0,
            )
            self.decider.take_over_attempt(
                ask, target_id, running_millis / _MILLIS_PER_SECOND, at
            )
        self.decider.drop_unlisted_attempts(host, frozenset(numbers), at)

    def _on_ask(self, host: str, ask: Ask) -> None:
        leadership = self.leadership
        if leadership.is_leaving and not leadership.is_leading:
            self.datagrams.send(
                host,
                pack_datagram(DatagramKind.REDIRECT, leadership.leader),
            )
            return
        zone = leadership.followers.zone_of(host)
        decision = self.decider.decide(ask, zone, now())
        if decision is None:
            self.datagrams.send(
                host, pack_datagram(DatagramKind.WAITING, ask.number)
            )
        else:
            self.deliver_decision(decision)

    def _on_decision(self, _: str, decision: Decision) -> None:
        self.client.handle_decision(decision)

    def _on_waiting(self, _: str, number: int) -> None:
        self.client.mark_queued(number)

    def _on_report(self, host: str, report: Report) -> None:
        if report.outcome not in _UNLOGGED_OUTCOMES:
            log_event(
                'info',
                'target-report',
                vm=host,
                number=report.key[1],
                outcome=report.outcome.name,
                seconds=report.seconds,
            )
        self._deliver_decisions(self.decider.handle_report(report, now()))

    def _on_held(self, host: str, held: list[HeldTarget]) -> None:
        self.decider.hold_targets(host, held, now())

    def _deliver_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self.deliver_decision(decision)
