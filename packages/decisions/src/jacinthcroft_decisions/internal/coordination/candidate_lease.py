"""The lease of one shard, on the side of a candidate for holder.

A lease lets one VM at a time, the holder, use the shard. It needs the votes of
a majority of the shard's witnesses. The revision of the VM list decides which
VMs are candidates and witnesses.
"""

from attrs import define, field

from jacinthcroft_decisions.internal.coordination.config import (
    CoordinationConfig,
    majority_of,
)
from jacinthcroft_decisions.internal.coordination.messages import (
    LeaseReply,
    Outcome,
)

_NEVER = float('-inf')


@define
class CandidateLease:
    """A candidate's lease under one list revision, on its own clock.

    The lease term starts when the request is sent, before a witness votes,
    so the holder ends the lease no later than the witnesses do. `until`
    carries over to the next revision if the VM ranks first there: witnesses
    keep the lease of the driver, the VM that activates the revision.

    `rank` is the candidate's place in the shard's ranking, 0 first.
    `acquire_from` is when the candidate may first ask for the lease, `since`
    is when the lease began, and `needs_activation` tells that a witness does
    not serve the revision yet.
    """

    config: CoordinationConfig
    witnesses: tuple[str, ...]
    rank: int
    acquire_from: float
    until: float = 0
    since: float = 0
    needs_activation: bool = False
    _asked_at: float = field(default=_NEVER, init=False)
    _released_at: float = field(default=_NEVER, init=False)
    _acked_at: dict[str, float] = field(factory=dict, init=False)
    _next_witness_index: int = field(default=0, init=False)

    @property
    def may_have_votes(self) -> bool:
        """Whether witnesses may keep votes for this VM."""
        return bool(self._acked_at) or self.until > 0

    def is_held(self, now: float) -> bool:
        """Whether this VM has the lease at `now`."""
        return now < self.until

    def may_acquire(self, now: float) -> bool:
        """Whether this candidate may ask for the lease.

        A lower-ranked candidate waits until the last lease that it saw has
        expired, and then for a delay that grows with its rank, so that two
        candidates seldom split the votes. Asking too early is harmless: a
        witness grants no lease while another candidate has it.
        """
        return self.rank == 0 or self.is_held(now) or now >= self.acquire_from

    def allow_acquire(self, now: float) -> None:
        """Lets this candidate ask at once: the holder released its lease."""
        self.acquire_from = now
        self._asked_at = _NEVER

    def start_request_if_due(self, now: float) -> bool:
        """Returns whether a request is due; if so, records it as sent."""
        interval = self.config.renew_interval
        if not self.may_acquire(now):
            interval = self.config.look_interval
        # All shards of a VM send at the same times, so that their requests
        # share batches: traffic grows with pairs of VMs, not with shards.
        if now // interval <= self._asked_at // interval:
            return False
        self._asked_at = now
        return True

    def request_at_once(self) -> None:
        """Makes the next request due at once."""
        self._asked_at = _NEVER

    def receive(
        self,
        sender: str,
        reply: LeaseReply,
        sent_at: float,
        now: float,
    ) -> None:
        """Processes a witness's reply to a request sent at `sent_at`."""
        if reply.outcome is Outcome.HELD and reply.lease is not None:
            delay = self.rank * self.config.takeover_step
            self.acquire_from = now + reply.lease.remaining + delay
        if reply.outcome is Outcome.NOT_INSTALLED:
            self.needs_activation = True
        if reply.outcome is Outcome.DONE and sent_at > self._released_at:
            self._acked_at[sender] = max(
                sent_at, self._acked_at.get(sender, _NEVER)
            )
            self._extend(now)

    def next_witnesses(self, count: int) -> tuple[str, ...]:
        """Returns the next `count` witnesses in rotation."""
        rotated = (
            self.witnesses[self._next_witness_index :]
            + self.witnesses[: self._next_witness_index]
        )
        if rotated:
            self._next_witness_index = (self._next_witness_index + count) % len(
                rotated
            )
        return rotated[:count]

    def release(self, now: float) -> None:
        """Ends the lease; replies to earlier requests no longer count."""
        self._released_at = now
        self._acked_at.clear()
        self.until = 0
        self.since = 0

    def _extend(self, now: float) -> None:
        """Extends the lease if a majority acknowledged recent requests."""
        majority = majority_of(len(self.witnesses))
        sent_times = sorted(self._acked_at.values(), reverse=True)
        if len(sent_times) < majority:
            return
        until = sent_times[majority - 1] + self.config.holder_term
        if not self.is_held(now):
            self.since = now
        self.until = max(self.until, until)
