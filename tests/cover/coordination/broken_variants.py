"""Variants of the decisions, each with one safeguard taken out.

The simulation must catch every one of them; else it would prove nothing.
"""

from attrs import define
from jacinthcroft_decisions.coordination import (
    Claim,
    ClaimGranted,
    ClaimVerdict,
    CoordinationConfig,
    CoordinationReply,
    CoordinationRequest,
    Coordinator,
    FenceRequest,
    Outgoing,
    Witness,
)

from tests.cover.coordination.shard_simulation import Variant

_LONG_AGO = 10_000


class UnfencedWitness(Witness):
    """Tells drivers what it knows, and goes on as before."""

    def handle(
        self,
        message: CoordinationRequest,
        now: float,
        wall_time: float,
    ) -> CoordinationReply:
        fences = self._state.shard_state(message.shard).fences
        known = dict(fences)
        reply = super().handle(message, now, wall_time)
        if isinstance(message, FenceRequest):
            fences.clear()
            fences.update(known)
        return reply


def make_unabstaining(
    vm: str,
    incarnation: str,
    started_at: float,
    started_wall: float,
    terms: CoordinationConfig,
) -> Witness:
    """A restarted witness that takes itself for a long-running one."""
    return Witness(
        vm,
        incarnation,
        started_at - _LONG_AGO,
        started_wall - _LONG_AGO,
        terms,
    )


def make_overconfident(
    vm: str,
    incarnation: str,
    started_at: float,
    started_wall: float,
    terms: CoordinationConfig,
) -> Witness:
    """A restarted witness that vouches for keys made before its start."""
    return Witness(
        vm,
        incarnation,
        started_at,
        started_wall - _LONG_AGO,
        terms,
    )


class LeisurelyCoordinator(Coordinator):
    """Counts the fences of an earlier round as though they were new."""

    def tick(self, now: float) -> tuple[Outgoing, ...]:
        for candidacy in self._candidacies.values():
            activation = candidacy._activation
            rounds = activation._rounds if activation else {}
            for fence_round in rounds.values():
                if fence_round.is_complete:
                    fence_round._started_at = now
        return super().tick(now)


class MinorityCoordinator(Coordinator):
    """Holds a shard by the vote of any one witness."""

    def holds(self, shard: int, now: float) -> bool:
        candidacy = self._candidacies.get(shard)
        if candidacy is None:
            return False
        votes = candidacy.lease._acked_at.values()
        return now < max(votes, default=-_LONG_AGO) + self.config.holder_term


@define
class MinorityClaim(Claim):
    """Takes two votes of five for a grant."""

    def verdict(self, now: float) -> ClaimVerdict | None:
        votes = [vote.outcome.value for vote in self._votes.values()]
        if self._verdict is None and votes.count('done') > 1:
            self._verdict = ClaimGranted()
        return super().verdict(now)


BROKEN = {
    'no fence': Variant(witness=UnfencedWitness),
    'no abstention': Variant(witness=make_unabstaining),
    'no common round': Variant(coordinator=LeisurelyCoordinator),
    'no common round, seen from outside': Variant(
        coordinator=LeisurelyCoordinator,
    ),
    'no vouching': Variant(witness=make_overconfident),
    'no lease majority': Variant(coordinator=MinorityCoordinator),
    'no claim majority': Variant(claim=MinorityClaim.start),
}
