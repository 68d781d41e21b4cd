"""One claimer's attempt to be the only one that runs a key.

The claimer asks the key's witnesses once, all under one list revision, and
counts only votes that come within the claim timeout of asking: a later vote
may come from a majority that a restarted witness no longer belongs to. The
verdict is final; a claimer without a majority gives up what it got, so that
a later resend can win.
"""

from dataclasses import dataclass
from typing import TypeAlias

from attrs import define, field

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
from jacinthcroft_decisions.internal.coordination.parameters import (
    CoordinationParameters,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.records import RecordedAnswer


@dataclass(frozen=True)
class ClaimGranted:
    """The claimer, and nobody else, may dispatch the request once."""


@dataclass(frozen=True)
class ClaimAnswered:
    """The request has run; this is its answer, if it was kept."""

    answer: RecordedAnswer


@dataclass(frozen=True)
class ClaimRunning:
    """Another claim stands; its request may run now or soon."""


@dataclass(frozen=True)
class ClaimUnknown:
    """The request may have run and its answer is not known.

    So it is also when the witnesses may have forgotten the key.
    """


@dataclass(frozen=True)
class ClaimUnavailable:
    """Too few witnesses voted.

    `is_not_run_certain` tells whether the request is known never to have
    run; without a majority's vote it never is.
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
    """One claim under one placement; `claim_id` is never used again."""

    key: str
    claim_id: str
    placement: Placement
    parameters: CoordinationParameters
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
        parameters: CoordinationParameters,
        now: float,
    ) -> 'Claim':
        """Starts a claim; send its requests at once."""
        return cls(key, claim_id, placement, parameters, now)

    @property
    def ends_at(self) -> float:
        """When votes stop counting."""
        return self.started_at + self.parameters.claim_timeout

    @property
    def is_majority_impossible(self) -> bool:
        """Whether so many witnesses refused that no majority is left."""
        refused = len(self._votes) - self._count(Outcome.DONE)
        return refused > len(self._witnesses) - self._needed

    @property
    def is_unrecorded(self) -> bool:
        """Whether every witness has answered and none has recorded it."""
        is_heard = len(self._votes) == len(self._witnesses)
        return is_heard and not self._count(Outcome.DONE)

    @property
    def _shard(self) -> int:
        return self.placement.shard_of(self.key)

    @property
    def _witnesses(self) -> tuple[str, ...]:
        return self.placement.witnesses(self._shard)

    @property
    def _needed(self) -> int:
        return majority_of(len(self._witnesses))

    def requests(self) -> tuple[Outgoing, ...]:
        """Returns the question to every witness."""
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
        """Counts a vote, unless it is late or not about this claim."""
        if not isinstance(reply, ClaimReply) or sender not in self._witnesses:
            return
        self.newest_revision = max(self.newest_revision, reply.newest)
        is_own = reply.claimer == self.claim_id
        is_current = reply.revision == self.placement.revision
        if is_own and is_current and not self._is_over(now):
            self._votes[sender] = reply

    def verdict(self, now: float) -> ClaimVerdict | None:
        """Returns the final verdict, or None while votes may decide it."""
        if self._verdict is None:
            self._verdict = self._judge(now)
        return self._verdict

    def settle_released(
        self,
        current: Placement | None = None,
    ) -> tuple[Outgoing, ...]:
        """Gives the claim up: it was not and never will be dispatched.

        Pass the `current` placement to tell the witnesses of a newer list,
        which may have taken the claim over.

        Raises:
            ValueError: the claim was settled before.
        """
        return self._settle(None, current)

    def settle_answered(
        self,
        answer: RecordedAnswer,
        current: Placement | None = None,
    ) -> tuple[Outgoing, ...]:
        """Records the answer of the dispatched request.

        Pass the `current` placement to tell a newer list's witnesses too.

        Raises:
            ValueError: the claim was settled before, or never granted.
        """
        if not isinstance(self._verdict, ClaimGranted):
            raise ValueError('only a granted claim has an answer')
        return self._settle(answer, current)

    def _settle(
        self,
        answer: RecordedAnswer | None,
        current: Placement | None,
    ) -> tuple[Outgoing, ...]:
        if self._is_settled:
            raise ValueError('a claim is settled once')
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
        told = set(self._witnesses)
        if current is not None:
            told.update(current.witnesses(self._shard))
        return tuple(Outgoing(vm, message) for vm in sorted(told))

    def _is_over(self, now: float) -> bool:
        return now - self.started_at > self.parameters.claim_timeout

    def _judge(self, now: float) -> ClaimVerdict | None:
        answer = self._recorded_answer()
        if answer is not None:
            return ClaimAnswered(answer)
        if self._count(Outcome.DONE) >= self._needed:
            return ClaimGranted()
        if not self.is_majority_impossible and not self._is_over(now):
            return None
        return self._refusal()

    def _refusal(self) -> ClaimVerdict:
        if self._count(Outcome.UNKNOWN) or self._count(Outcome.ANSWERED):
            return ClaimUnknown()
        if self._count(Outcome.RUNNING):
            return ClaimRunning()
        if self._count(Outcome.NOT_VOUCHED):
            return ClaimUnknown()
        return ClaimUnavailable()

    def _recorded_answer(self) -> RecordedAnswer | None:
        answers = (vote.answer for vote in self._votes.values())
        return next((answer for answer in answers if answer), None)

    def _count(self, outcome: Outcome) -> int:
        outcomes = [vote.outcome for vote in self._votes.values()]
        return outcomes.count(outcome)
