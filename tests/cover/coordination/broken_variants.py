"""Variants of the coordination, each without one safeguard.

The simulation must detect each of them; otherwise its passing runs would not
show that the safeguards work.
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

_LONG_UPTIME_SECONDS = 10_000


class NonFencingWitness(Witness):
    """Answers fence requests with its state but records no fence."""

    def handle(
        self,
        message: CoordinationRequest,
        now: float,
        wall_time: float,
    ) -> CoordinationReply:
        fences = self._state.shard_state(message.shard).fences
        fences_before = dict(fences)
        reply = super().handle(message, now, wall_time)
        if isinstance(message, FenceRequest):
            fences.clear()
            fences.update(fences_before)
        return reply


def make_witness_without_abstention(
    vm: str,
    incarnation: str,
    started_at: float,
    started_wall_time: float,
    config: CoordinationConfig,
) -> Witness:
    """Returns a witness that does not abstain after its start."""
    return Witness(
        vm,
        incarnation,
        started_at - _LONG_UPTIME_SECONDS,
        started_wall_time - _LONG_UPTIME_SECONDS,
        config,
    )


def make_witness_without_vouch_limit(
    vm: str,
    incarnation: str,
    started_at: float,
    started_wall_time: float,
    config: CoordinationConfig,
) -> Witness:
    """Returns a witness that vouches for keys created before its start."""
    return Witness(
        vm,
        incarnation,
        started_at,
        started_wall_time - _LONG_UPTIME_SECONDS,
        config,
    )


class StaleFencesCoordinator(Coordinator):
    """Counts the fences of an earlier round as if they were current."""

    def tick(self, now: float) -> tuple[Outgoing, ...]:
        for candidacy in self._candidacies.values():
            activation = candidacy._activation
            rounds = activation._rounds if activation else {}
            for fence_round in rounds.values():
                if fence_round.is_complete:
                    fence_round._started_at = now
        return super().tick(now)


class MinorityLeaseCoordinator(Coordinator):
    """Holds a shard with the vote of a single witness."""

    def holds(self, shard: int, now: float) -> bool:
        candidacy = self._candidacies.get(shard)
        if candidacy is None:
            return False
        votes = candidacy.lease._acked_at.values()
        return (
            now
            < max(votes, default=-_LONG_UPTIME_SECONDS)
            + self.config.holder_term
        )


@define
class MinorityClaim(Claim):
    """Counts two votes of five as a grant."""

    def verdict(self, now: float) -> ClaimVerdict | None:
        votes = [vote.outcome.value for vote in self._votes.values()]
        if self._verdict is None and votes.count('done') > 1:
            self._verdict = ClaimGranted()
        return super().verdict(now)


BROKEN_VARIANTS = {
    'no fence': Variant(witness=NonFencingWitness),
    'no abstention': Variant(witness=make_witness_without_abstention),
    'no common round': Variant(coordinator=StaleFencesCoordinator),
    'no common round, fence of a non-witness': Variant(
        coordinator=StaleFencesCoordinator,
    ),
    'no vouch limit': Variant(witness=make_witness_without_vouch_limit),
    'no lease majority': Variant(coordinator=MinorityLeaseCoordinator),
    'no claim majority': Variant(claim=MinorityClaim.start),
}
