"""The lease of one shard, on the side of a witness.

A lease lets one VM at a time, the holder, use the shard. It needs the votes of
a majority of the shard's witnesses, and belongs to one incarnation of the
holder, which lasts from one start to the next.
"""

from attrs import define

from jacinthcroft_decisions.internal.coordination.messages import (
    LeaseAction,
    LeaseRequest,
    LeaseView,
    Outcome,
)

_NEVER = float('-inf')


@define
class WitnessLease:
    """One witness's vote for a holder; times are on the witness's clock.

    An expired or released lease is kept, because its sequence number serves
    to refuse late copies of the same holder's requests.
    """

    holder: str = ''
    incarnation: str = ''
    sequence: int = 0
    until: float = _NEVER

    def view(self, now: float) -> LeaseView | None:
        """Returns the lease unless it has ended."""
        if now >= self.until:
            return None
        return LeaseView(self.holder, self.incarnation, self.until - now)

    def is_free_for(self, holder: str, incarnation: str, now: float) -> bool:
        """Whether no other incarnation has the lease."""
        return now >= self.until or self.belongs_to(holder, incarnation)

    def belongs_to(self, holder: str, incarnation: str) -> bool:
        """Whether the last vote went to this incarnation of the VM."""
        return (self.holder, self.incarnation) == (holder, incarnation)

    def grant_to_driver(
        self,
        holder: str,
        incarnation: str,
        until: float,
    ) -> None:
        """Grants the lease to the driver of a new list, whoever had it.

        The driver is the VM that activates the list. It has waited for the
        end of all earlier leases except its own. That one may still be
        running, so nobody else may get a lease.
        """
        if not self.belongs_to(holder, incarnation):
            self.sequence = 0
        self.holder = holder
        self.incarnation = incarnation
        self.until = max(self.until, until)

    def block(self, until: float) -> None:
        """Refuses everybody until `until`, when any earlier lease has ended.

        A witness that reads a list back from other witnesses, instead of
        being installed by the driver, does not know whose lease may still be
        running.
        """
        self.holder = ''
        self.incarnation = ''
        self.sequence = 0
        self.until = max(self.until, until)

    def apply(self, request: LeaseRequest, now: float, until: float) -> Outcome:
        """Applies a lease request and returns its outcome.

        A lease that the request acquires ends at `until`.
        """
        if request.action is LeaseAction.RELEASE:
            return self._release(request, now)
        if not self.is_free_for(request.holder, request.incarnation, now):
            return Outcome.HELD
        if request.action is LeaseAction.LOOK:
            return Outcome.FREE
        if self._is_late(request):
            return Outcome.FREE
        self._grant(request, until)
        return Outcome.DONE

    def _grant(self, request: LeaseRequest, until: float) -> None:
        self.holder = request.holder
        self.incarnation = request.incarnation
        self.sequence = request.sequence
        self.until = until

    def _release(self, request: LeaseRequest, now: float) -> Outcome:
        is_own = self.belongs_to(request.holder, request.incarnation)
        if is_own and not self._is_late(request):
            self.sequence = request.sequence
            self.until = min(self.until, now)
        return Outcome.FREE

    def _is_late(self, request: LeaseRequest) -> bool:
        is_own = self.belongs_to(request.holder, request.incarnation)
        return is_own and request.sequence < self.sequence
