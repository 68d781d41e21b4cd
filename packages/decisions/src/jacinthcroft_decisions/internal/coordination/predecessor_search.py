"""The search for a shard's predecessor: the earlier list active last.

A list is active for a shard once a majority of its witnesses there is
installed, that is, serves it. The driver, the VM that activates a newer list,
fences witnesses: a fenced one grants nothing more under older lists.

Lists are searched from the newest to the oldest. Once a majority of a list's
witnesses is fenced, that list can grant nothing any more. If one of them is
installed at the list, all older lists were fenced before, and the installed
witness has their records, so the search ends. If none of them is, the list
was never active, and the search goes on with the next older list.

A witness keeps every fence above its installed revision, with the witnesses
of the list that set it. The search therefore also covers lists that this VM
has never received, even if no VM has them any more.

All of a list's witnesses may have been replaced at once. The driver does not
wait for witnesses that have been off the list for longer than records are
kept, but their records are lost: keys created up to now are then refused.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from jacinthcroft_decisions.internal.coordination.config import majority_of
from jacinthcroft_decisions.internal.coordination.messages import ShardView
from jacinthcroft_decisions.internal.coordination.witness_sets import (
    WitnessSet,
)


@dataclass(frozen=True)
class FencesNeeded:
    """Too few witnesses of the list `earlier` are fenced."""

    earlier: WitnessSet


@dataclass(frozen=True)
class NoPredecessor:
    """No known earlier list was ever active."""


@dataclass(frozen=True)
class PredecessorFound:
    """The predecessor is fenced.

    No record of a key created after `vouch_from` (Unix seconds) is missing.
    `is_cold` tells whether records are lost together with the predecessor's
    witnesses.
    """

    vouch_from: float
    is_cold: bool


PredecessorSearchResult: TypeAlias = (
    FencesNeeded | NoPredecessor | PredecessorFound
)


def find_predecessor(
    earlier_sets: Sequence[WitnessSet],
    fenced_views: Mapping[int, Sequence[ShardView]],
) -> PredecessorSearchResult:
    """Looks for the earlier list of a shard that was active last.

    Args:
        earlier_sets: the witnesses of all earlier lists, newest list first.
        fenced_views: by list revision, the states of the fenced witnesses of
            each list whose fence round is complete.
    """
    vouch_from: float = 0
    is_cold = False
    for earlier in earlier_sets:
        views = fenced_views.get(earlier.revision)
        if views is None:
            return FencesNeeded(earlier)
        majority = majority_of(len(earlier.vms))
        is_cold = is_cold or len(views) < majority
        vouch_from = max(vouch_from, _majority_vouch_from(views, majority))
        installed_vouch_times = [
            view.vouch_from
            for view in views
            if view.installed >= earlier.revision
        ]
        if installed_vouch_times:
            return PredecessorFound(
                max(vouch_from, min(installed_vouch_times)), is_cold
            )
    return NoPredecessor()


def _majority_vouch_from(views: Sequence[ShardView], majority: int) -> float:
    """Returns the key time above which a majority misses no record.

    A key time is the creation time of a key, in Unix seconds.
    """
    sorted_times = sorted(view.vouch_from for view in views)
    return max(sorted_times[:majority], default=0)
