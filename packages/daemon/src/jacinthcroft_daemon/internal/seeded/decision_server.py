"""Decides for this VM and for those that follow it."""

from typing import Any, Final

from attrs import define, field
from jacinthcroft_decisions.dispatch import (
    Ask,
    Decider,
    Decision,
    Outcome,
    Refusal,
)
from jacinthcroft_decisions.membership import Leadership
from jacinthcroft_http import now

from jacinthcroft_daemon.internal.seeded.datagrams import Datagrams
from jacinthcroft_daemon.internal.seeded.decision_client import DecisionClient
from jacinthcroft_daemon.internal.seeded.documents_copy import DocumentsCopy
from jacinthcroft_daemon.internal.seeded.vm_metrics import VmMetrics
from jacinthcroft_daemon.internal.seeded.wire import (
    Kind,
    pack,
    pack_decision,
    unpack_ask,
    unpack_grant,
    unpack_refusal,
    unpack_report,
)
from jacinthcroft_daemon.internal.telemetry.counts import Count
from jacinthcroft_daemon.internal.telemetry.events import log_event

_MILLIS: Final = 1000
_GOOD_OUTCOMES: Final = frozenset((Outcome.SERVED, Outcome.ABANDONED))


@define(eq=False)
class DecisionServer:
    """Hands asks and reports to the decider, and its decisions to the VMs."""

    leadership: Leadership
    decider: Decider
    datagrams: Datagrams
    documents: DocumentsCopy
    metrics: VmMetrics
    client: DecisionClient = field(init=False)

    def register(self) -> None:
        """Registers the handlers of its datagrams."""
        self.datagrams.on(Kind.ASK, self._on_ask)
        self.datagrams.on(Kind.GRANT, self._on_grant)
        self.datagrams.on(Kind.REFUSAL, self._on_refusal)
        self.datagrams.on(Kind.WAITING, self._on_waiting)
        self.datagrams.on(Kind.REPORT, self._on_report)

    def tick(self) -> None:
        """Takes in who follows, and ends what took too long."""
        followers = self.leadership.followers
        at = now()
        for gone in followers.pop_departed_hosts():
            self.decider.drop_vm(gone)
        self.decider.share = followers.fleet_share(at)
        self._deliver_all(self.decider.tick(at))

    def adopt(self) -> None:
        """Takes in new documents."""
        self.decider.apply_documents(self.documents.documents, now())
        self._deliver_all(self.decider.tick(now()))

    def deliver(self, decision: Decision) -> None:
        """Hands a decision to the VM that asked."""
        host = decision.key[0]
        kind = 'granted'
        if isinstance(decision, Refusal):
            kind = decision.reason.name.lower()
        self.metrics.count(Count.DECISIONS, kind)
        if host == self.leadership.local_peer.host:
            self.client.take(decision)
        else:
            self.datagrams.send(host, pack_decision(decision))

    def take_running(self, host: str, running: list[Any], at: float) -> None:
        """Takes in what a follower has under way."""
        numbers: list[int] = []
        for entry in running:
            if isinstance(entry, int):
                numbers.append(entry)
                continue
            number, service, target_id, since, left = entry
            numbers.append(int(number))
            ask = Ask(
                vm=host,
                number=int(number),
                service=str(service),
                team='',
                is_repeatable=False,
                attempt=1,
                rank=0,
                time_left=left / _MILLIS,
                objective_left=0,
            )
            self.decider.take_over_attempt(ask, target_id, since / _MILLIS, at)
        self.decider.drop_unlisted_attempts(host, frozenset(numbers), at)

    def _on_ask(self, host: str, fields: list[Any]) -> None:
        leadership = self.leadership
        if leadership.is_leaving and not leadership.is_leading:
            self.datagrams.send(
                host,
                pack(Kind.REDIRECT, leadership.leader),
            )
            return
        ask = unpack_ask(host, fields)
        zone = leadership.followers.zone_of(host)
        decision = self.decider.decide(ask, zone, now())
        if decision is None:
            self.datagrams.send(host, pack(Kind.WAITING, ask.number))
        else:
            self.deliver(decision)

    def _on_grant(self, _: str, fields: list[Any]) -> None:
        self.client.take(unpack_grant(self.leadership.local_peer.host, fields))

    def _on_refusal(self, _: str, fields: list[Any]) -> None:
        self.client.take(
            unpack_refusal(self.leadership.local_peer.host, fields)
        )

    def _on_waiting(self, _: str, fields: list[Any]) -> None:
        self.client.note_waiting(int(fields[0]))

    def _on_report(self, host: str, fields: list[Any]) -> None:
        report = unpack_report(host, fields)
        if report.outcome not in _GOOD_OUTCOMES:
            log_event(
                'info',
                'target-report',
                vm=host,
                number=report.key[1],
                outcome=report.outcome.name,
                seconds=report.seconds,
            )
        self._deliver_all(self.decider.handle_report(report, now()))

    def _deliver_all(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self.deliver(decision)
