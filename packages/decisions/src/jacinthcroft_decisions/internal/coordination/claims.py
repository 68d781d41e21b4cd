"""A VM's claim of the right to run the request with an idempotency key.

A key identifies a request that must run at most once. Each key belongs to a
shard, and each revision of the VM list assigns witnesses to the shard: the
VMs that record claims and vote on them. A `Placement` holds the assignments
of one list revision.

The claimer asks all of the key's witnesses once, under one list revision.
Only votes that arrive within the claim timeout count: by the time of a later
vote, a witness that voted earlier may have restarted and forgotten its vote.
The verdict is final. A claimer that gets no majority releases the votes it
got, so that a later resend of the request can be granted the key.
"""

from dataclasses import dataclass
from typing import TypeAlias

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.history_messages import (
    CoordinationReply,
    Outgoing,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    ClaimReply,
    ClaimRequest,
    Outcome,
    SettleRequest,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.records import RecordedAnswer


@dataclass(frozen=True)
class ClaimGranted:
    """The claimer, and nobody else, may dispatch the request once."""


@dataclass(frozen=True)
class ClaimAnswered:
    """The request has run, and `answer` is its recorded answer."""

    answer: RecordedAnswer


@dataclass(frozen=True)
class ClaimRunning:
    """Another claimer has the key; its request may be running."""


@dataclass(frozen=True)
class ClaimUnknown:
    """The request may have run, and its answer is not available.

    This is also the verdict when the witnesses may have lost their record of
    the key.
    """


@dataclass(frozen=True)
class ClaimUnavailable:
    """Too few witnesses voted.

    `is_not_run_certain` tells whether the request is known never to have
    run, which takes a majority of votes; `Claim` leaves it false.
    """

    is_not_run_certain: bool = False


ClaimVerdict: TypeAlias = (
    ClaimGranted
    | ClaimAnswered
    | ClaimRunning
    | ClaimUnknown
    | ClaimUnavailable
)


@define
class Claim:
    """One claim under one placement; each claim has its own `claim_id`.

    `newest_revision` is the highest list revision that a reply has named, 0
    before the first reply.
    """

    key: str
    claim_id: str
    placement: Placement
    config: CoordinationConfig
    started_at: float
    newest_revision: int = field(default=0, init=False)
    _votes: dict[str, ClaimReply] = field(factory=dict, init=False)
    _verdict: ClaimVerdict | None = field(default=None, init=False)
    _is_settled: bool = field(default=False, init=False)

    @classmethod
    def start(
        cls,
        key: str,
        claim_id: str,
        placement: Placement,
        config: CoordinationConfig,
        now: float,
    ) -> 'Claim':
        """Starts a claim; send its `requests` at once."""
        return cls(key, claim_id, placement, config, now)

    @property
    def ends_at(self) -> float:
        """The time after which votes no longer count."""
        return self.started_at + self.config.claim_timeout

    @property
    def is_majority_impossible(self) -> bool:
        """Whether too many witnesses refused for a majority to be possible."""
        refused = len(self._votes) - self._count_votes(Outcome.DONE)
        return refused > len(self._witnesses) - self._majority

    @property
    def is_unrecorded(self) -> bool:
        """Whether every witness answered and none recorded the claim."""
        have_all_voted = len(self._votes) == len(self._witnesses)
        return have_all_voted and not self._count_votes(Outcome.DONE)

    @property
    def _shard(self) -> int:
        return self.placement.shard_of(self.key)

    @property
    def _witnesses(self) -> tuple[str, ...]:
        return self.placement.witnesses(self._shard)

    @property
    def _majority(self) -> int:
        return majority_of(len(self._witnesses))

    def requests(self) -> tuple[Outgoing, ...]:
        """Returns the claim requests, one to each witness."""
        message = ClaimRequest(
            self._shard,
            self.placement.revision,
            self.key,
            self.claim_id,
        )
        return tuple(Outgoing(vm, message) for vm in self._witnesses)

    def receive(
        self,
        sender: str,
        reply: CoordinationReply,
        now: float,
    ) -> None:
        """Counts a vote unless it is late or for another claim or revision.

        Any claim reply of a witness updates `newest_revision`.
        """
        if not isinstance(reply, ClaimReply) or sender not in self._witnesses:
            return
        self.newest_revision = max(self.newest_revision, reply.newest)
        is_for_this_claim = reply.claimer == self.claim_id
        is_for_this_revision = reply.revision == self.placement.revision
        if (
            is_for_this_claim
            and is_for_this_revision
            and not self._has_timed_out(now)
        ):
            self._votes[sender] = reply

    def verdict(self, now: float) -> ClaimVerdict | None:
        """Returns the final verdict, or None while votes may decide."""
        if self._verdict is None:
            self._verdict = self._decide(now)
        return self._verdict

    def settle_released(
        self,
        current: Placement | None = None,
    ) -> tuple[Outgoing, ...]:
        """Returns messages that release a claim that is never dispatched.

        Pass the `current` placement to tell the witnesses of a newer list as
        well; they may have received the record of the claim.

        Raises:
            ValueError: the claim is already settled.
        """
        return self._settle(None, current)

    def settle_answered(
        self,
        answer: RecordedAnswer,
        current: Placement | None = None,
    ) -> tuple[Outgoing, ...]:
        """Returns messages that record the dispatched request's answer.

        Pass the `current` placement to tell the witnesses of a newer list as
        well.

        Raises:
            ValueError: the claim is already settled or was not granted.
        """
        if not isinstance(self._verdict, ClaimGranted):
            raise ValueError('only a granted claim can be answered')
        return self._settle(answer, current)

    def _settle(
        self,
        answer: RecordedAnswer | None,
        current: Placement | None,
    ) -> tuple[Outgoing, ...]:
        if self._is_settled:
            raise ValueError('the claim is already settled')
        self._is_settled = True
        if self._verdict is None:
            self._verdict = ClaimUnavailable()
        message = SettleRequest(
            self._shard,
            self.placement.revision,
            self.key,
            self.claim_id,
            answer,
        )
        recipients = set(self._witnesses)
        if current is not None:
            recipients.update(current.witnesses(self._shard))
        return tuple(Outgoing(vm, message) for vm in sorted(recipients))

    def _has_timed_out(self, now: float) -> bool:
        return now - self.started_at > self.config.claim_timeout

    def _decide(self, now: float) -> ClaimVerdict | None:
        answer = self._recorded_answer()
        if answer is not None:
            return ClaimAnswered(answer)
        if self._count_votes(Outcome.DONE) >= self._majority:
            return ClaimGranted()
        if not self.is_majority_impossible and not self._has_timed_out(now):
            return None
        return self._refused_verdict()

    def _refused_verdict(self) -> ClaimVerdict:
        # A witness may know that the key is answered without having the
        # answer: long answers are not copied between witnesses.
        if self._count_votes(Outcome.UNKNOWN) or self._count_votes(
            Outcome.ANSWERED
        ):
            return ClaimUnknown()
        if self._count_votes(Outcome.RUNNING):
            return ClaimRunning()
        if self._count_votes(Outcome.NOT_VOUCHED):
            return ClaimUnknown()
        return ClaimUnavailable()

    def _recorded_answer(self) -> RecordedAnswer | None:
        answers = (vote.answer for vote in self._votes.values())
        return next((answer for answer in answers if answer), None)

    def _count_votes(self, outcome: Outcome) -> int:
        outcomes = [vote.outcome for vote in self._votes.values()]
        return outcomes.count(outcome)
