"""Which earlier list of a shard was in force last, from fenced witnesses.

Lists are looked at from the newest down. Once a majority of a list's
witnesses is fenced, that list can grant nothing any more. If one of them is
installed at it, every list below was fenced before, so the search ends and
the installed witness holds what the lists below knew. If none of them is,
the list was never in force, and the one below counts.

A fence above a list is the trace of another driver. Its list may have been
in force although this VM has never met it, so it must be fetched first.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from jacinthcroft_decisions.internal.coordination.history import (
    PlacementHistory,
)
from jacinthcroft_decisions.internal.coordination.messages import ShardView
from jacinthcroft_decisions.internal.coordination.placement import Placement
from jacinthcroft_decisions.internal.coordination.terms import majority_of


@dataclass(frozen=True)
class FencesNeeded:
    """Too few witnesses of an earlier list are fenced."""

    placement: Placement


@dataclass(frozen=True)
class ListsNeeded:
    """Witnesses were fenced for lists that this VM does not know."""

    revisions: tuple[int, ...]


@dataclass(frozen=True)
class NoneInstalled:
    """No known earlier list was ever in force."""

    vouch_from: float


@dataclass(frozen=True)
class PredecessorFound:
    """The last list in force is fenced; keys above `vouch_from` are known."""

    vouch_from: float


SurveyResult: TypeAlias = (
    FencesNeeded | ListsNeeded | NoneInstalled | PredecessorFound
)


def survey(
    shard: int,
    revision: int,
    history: PlacementHistory,
    fenced: Mapping[int, Sequence[ShardView]],
) -> SurveyResult:
    """Looks for the shard's last list in force below `revision`.

    `fenced` holds, by list revision, what a fenced majority of its witnesses
    knew.
    """
    vouch_from: float = 0
    for placement in history.earlier(revision):
        witnesses = placement.witnesses(shard)
        if not witnesses:
            continue
        views = fenced.get(placement.revision)
        if views is None:
            return FencesNeeded(placement)
        installed = [
            view for view in views if view.installed >= placement.revision
        ]
        floor = placement.revision if installed else 0
        unknown = _unknown_fences(views, floor, revision, history)
        if unknown:
            return ListsNeeded(unknown)
        vouch_from = max(vouch_from, _gap_of_majority(views, len(witnesses)))
        if installed:
            handed_over = min(view.vouch_from for view in installed)
            return PredecessorFound(max(vouch_from, handed_over))
    return NoneInstalled(vouch_from)


def _gap_of_majority(views: Sequence[ShardView], count: int) -> float:
    """Returns the key time above which a majority has no gap."""
    gaps = sorted(view.vouch_from for view in views)
    return gaps[majority_of(count) - 1]


def _unknown_fences(
    views: Iterable[ShardView],
    floor: int,
    revision: int,
    history: PlacementHistory,
) -> tuple[int, ...]:
    fences = {
        fence
        for view in views
        for fence in view.fences
        if floor < fence < revision
    }
    return tuple(sorted(history.unknown(fences)))
