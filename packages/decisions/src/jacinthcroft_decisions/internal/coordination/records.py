"""A witness's record of one idempotency key, and the merging of copies.

A claim asks for the right to run the request with a key; witnesses are the VMs
that vote on it. A claimer releases a claim that it will never dispatch.
"""

import enum
from collections.abc import Iterable

from attrs import evolve, frozen


class ClaimState(enum.Enum):
    """The known state of a claimed request.

    `CONTESTED` means that two unreleased claims of the key exist, so either
    request may have run.
    """

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
    """A complete answer that a resent request gets without running again."""

    status: int
    headers: tuple[Header, ...]
    body_base64: str


@frozen
class ClaimRecord:
    """What a witness knows of a key.

    `claimer` identifies the claim that the record is about; `released` lists
    the claims that will never be dispatched, so that late copies of them are
    refused; `created_wall` is when the claim was made, in Unix seconds.
    """

    key: str
    claimer: str
    state: ClaimState
    created_wall: float
    released: tuple[str, ...] = ()
    answer: RecordedAnswer | None = None

    @property
    def is_blocking(self) -> bool:
        """Whether the record prevents other claims of the key."""
        return self.state is not ClaimState.RELEASED

    def for_transfer(self, body_limit: int) -> 'ClaimRecord':
        """Returns the record as it is sent to other VMs.

        An answer whose body is longer than `body_limit` is left out: the key
        still counts as answered at the receiver, but a resent request only
        learns that the outcome is unknown.
        """
        if self.answer and len(self.answer.body_base64) > body_limit:
            return evolve(self, answer=None)
        return self

    def with_release(self, claimer: str) -> 'ClaimRecord':
        """Returns the record after a claimer has released its claim."""
        released = _merge_names((self.released, (claimer,)))
        if claimer == self.claimer and self.state is ClaimState.CLAIMED:
            return evolve(self, state=ClaimState.RELEASED, released=released)
        return evolve(self, released=released)

    def with_answer(
        self, claimer: str, answer: RecordedAnswer
    ) -> 'ClaimRecord':
        """Returns the record after a granted claimer got its answer."""
        if self.state is ClaimState.ANSWERED or claimer in self.released:
            return self
        return evolve(
            self,
            claimer=claimer,
            state=ClaimState.ANSWERED,
            answer=answer,
        )


def merge_copies(copies: Iterable[ClaimRecord]) -> ClaimRecord:
    """Merges the copies of one key's record from several witnesses.

    A release overrides the claim that it names. An answer overrides
    everything, because only a granted claimer can have one. Two claims that
    were not released make the key contested: either request may have run.
    """
    all_copies = tuple(copies)
    released = _merge_names(copy.released for copy in all_copies)
    blocking = {
        copy.claimer: copy
        for copy in sorted(all_copies, key=_precedence)
        if copy.is_blocking and _remains_blocking(copy, released)
    }
    if not blocking:
        return evolve(
            all_copies[0], state=ClaimState.RELEASED, released=released
        )
    strongest = max(blocking.values(), key=_precedence)
    if len(blocking) > 1 and strongest.state is not ClaimState.ANSWERED:
        strongest = evolve(strongest, state=ClaimState.CONTESTED)
    return evolve(strongest, released=released)


def merge_records(
    record_sets: Iterable[Iterable[ClaimRecord]],
) -> tuple[ClaimRecord, ...]:
    """Merges the records of several witnesses key by key."""
    copies_by_key: dict[str, list[ClaimRecord]] = {}
    for records in record_sets:
        for record in records:
            copies_by_key.setdefault(record.key, []).append(record)
    return tuple(merge_copies(copies) for copies in copies_by_key.values())


_STATE_PRECEDENCE = {
    ClaimState.RELEASED: 0,
    ClaimState.CLAIMED: 1,
    ClaimState.CONTESTED: 2,
    ClaimState.ANSWERED: 3,
}


def _precedence(record: ClaimRecord) -> tuple[int, bool]:
    return _STATE_PRECEDENCE[record.state], record.answer is not None


def _remains_blocking(record: ClaimRecord, released: tuple[str, ...]) -> bool:
    """Whether a blocking record still blocks given the released claims.

    An answered or contested record blocks whatever was released.
    """
    if record.state is ClaimState.CLAIMED:
        return record.claimer not in released
    return True


def _merge_names(groups: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(sorted({name for group in groups for name in group}))
