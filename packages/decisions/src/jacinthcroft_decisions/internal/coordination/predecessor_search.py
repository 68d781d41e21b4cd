"""Which earlier list of a shard was in force last, from fenced witnesses.

Lists are looked at from the newest down. Once a majority of a list's
witnesses is fenced, that list can grant nothing any more. If one of them is
installed at it, every list below was fenced before, so the search ends and
the installed witness holds what the lists below knew. If none of them is,
the list was never in force, and the one below counts.

A witness keeps every fence above its installed list together with the
witnesses of the list that set it. So a list which this VM has never met is
looked at as well, although nobody may have it any more.

A list's witnesses may have been replaced at once. Those that have been
absent from the list for longer than records are kept can't be waited for, but
what they knew is lost: keys up to now are then not vouched for.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from jacinthcroft_decisions.internal.coordination.messages import ShardView
from jacinthcroft_decisions.internal.coordination.parameters import majority_of
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)


@dataclass(frozen=True)
class FencesNeeded:
    """Too few witnesses of an earlier list are fenced."""

    earlier: WitnessSet


@dataclass(frozen=True)
class NoPredecessor:
    """No known earlier list was ever in force."""


@dataclass(frozen=True)
class PredecessorFound:
    """The last list in force is fenced; keys above `vouch_from` are known.

    `is_cold` says that some of what it knew is lost with its witnesses.
    """

    vouch_from: float
    is_cold: bool


PredecessorSearchResult: TypeAlias = (
    FencesNeeded | NoPredecessor | PredecessorFound
)


def find_predecessor(
    known: Sequence[WitnessSet],
    fenced: Mapping[int, Sequence[ShardView]],
) -> PredecessorSearchResult:
    """Looks for the shard's last list in force.

    `known` are the witnesses of all earlier lists, the newest first; `fenced`
    holds, by list revision, what a fenced majority of them knew.
    """
    vouch_from: float = 0
    is_cold = False
    for earlier in known:
        views = fenced.get(earlier.revision)
        if views is None:
            return FencesNeeded(earlier)
        majority = majority_of(len(earlier.vms))
        is_cold = is_cold or len(views) < majority
        vouch_from = max(vouch_from, _majority_vouch_from(views, majority))
        installed = [
            view.vouch_from
            for view in views
            if view.installed >= earlier.revision
        ]
        if installed:
            return PredecessorFound(max(vouch_from, min(installed)), is_cold)
    return NoPredecessor()


def _majority_vouch_from(views: Sequence[ShardView], majority: int) -> float:
    """Returns the key time above which a majority has no gap."""
    sorted_times = sorted(view.vouch_from for view in views)
    return max(sorted_times[:majority], default=0)
