"""What a witness remembers of one idempotency key, and how copies merge."""

import enum
from collections.abc import Iterable

from attrs import evolve, frozen


class ClaimState(enum.Enum):
    """How far a claimed request is known to have come."""

    CLAIMED = 'claimed'
    RELEASED = 'released'
    ANSWERED = 'answered'
    CONTESTED = 'contested'


@frozen
class Header:
    """One header line of a recorded answer."""

    name: str
    value: str


@frozen
class RecordedAnswer:
    """A complete answer that a resend gets instead of a second run."""

    status: int
    headers: tuple[Header, ...]
    body_base64: str


@frozen
class ClaimRecord:
    """What is known of a key.

    `claimer` names the claim that counts; `released` names the claims that
    will never be dispatched, so that their late copies are refused;
    `created_wall` is when the claim was made, in unix seconds.
    """

    key: str
    claimer: str
    state: ClaimState
    created_wall: float
    released: tuple[str, ...] = ()
    answer: RecordedAnswer | None = None

    @property
    def is_blocking(self) -> bool:
        """Whether the record stops another claim."""
        return self.state is not ClaimState.RELEASED

    def for_transfer(self, body_limit: int) -> 'ClaimRecord':
        """Returns the record as other witnesses get it.

        A long answer stays behind: the key still counts as answered there,
        though a resend only learns that the outcome is unknown.
        """
        if self.answer and len(self.answer.body_base64) > body_limit:
            return evolve(self, answer=None)
        return self

    def with_release(self, claimer: str) -> 'ClaimRecord':
        """Returns the record once a claimer has given its claim up."""
        released = _union((self.released, (claimer,)))
        if claimer == self.claimer and self.state is ClaimState.CLAIMED:
            return evolve(self, state=ClaimState.RELEASED, released=released)
        return evolve(self, released=released)

    def with_answer(
        self, claimer: str, answer: RecordedAnswer
    ) -> 'ClaimRecord':
        """Returns the record once a granted claimer has its answer."""
        if self.state is ClaimState.ANSWERED or claimer in self.released:
            return self
        return evolve(
            self,
            claimer=claimer,
            state=ClaimState.ANSWERED,
            answer=answer,
        )


def merge_copies(copies: Iterable[ClaimRecord]) -> ClaimRecord:
    """Merges the copies that several witnesses hold of one key's record.

    A release wins over the claim it names. An answer wins over everything,
    because only a granted claimer has one. Two claims that were not released
    contest the key: either may have run.
    """
    known = tuple(copies)
    released = _union(copy.released for copy in known)
    live = {
        copy.claimer: copy
        for copy in sorted(known, key=_weight_of_state)
        if copy.is_blocking and _counts(copy, released)
    }
    if not live:
        return evolve(known[0], state=ClaimState.RELEASED, released=released)
    strongest = max(live.values(), key=_weight_of_state)
    if len(live) > 1 and strongest.state is not ClaimState.ANSWERED:
        strongest = evolve(strongest, state=ClaimState.CONTESTED)
    return evolve(strongest, released=released)


def merge_records(
    collections: Iterable[Iterable[ClaimRecord]],
) -> tuple[ClaimRecord, ...]:
    """Merges the records of several witnesses key by key."""
    by_key: dict[str, list[ClaimRecord]] = {}
    for collection in collections:
        for record in collection:
            by_key.setdefault(record.key, []).append(record)
    return tuple(merge_copies(copies) for copies in by_key.values())


_STATE_WEIGHTS = {
    ClaimState.RELEASED: 0,
    ClaimState.CLAIMED: 1,
    ClaimState.CONTESTED: 2,
    ClaimState.ANSWERED: 3,
}


def _weight_of_state(record: ClaimRecord) -> tuple[int, bool]:
    return _STATE_WEIGHTS[record.state], record.answer is not None


def _counts(record: ClaimRecord, released: tuple[str, ...]) -> bool:
    """Whether a live record stands although some claims were released."""
    if record.state is ClaimState.CLAIMED:
        return record.claimer not in released
    return True


def _union(groups: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(sorted({name for group in groups for name in group}))
