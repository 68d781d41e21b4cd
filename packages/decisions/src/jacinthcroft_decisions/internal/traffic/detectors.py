"""Registry of the signals that speak against a target.

A detector looks at one finished use of a permit and says whether it speaks
against the target (true), for it (false) or not at all (none). How often a
sign must be seen is decided elsewhere, the same way for all detectors.
"""

import functools
from collections.abc import Callable, Sequence

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.permit_messages import RunOutcome


@frozen
class RunSample:
    """One finished use of a permit; times in seconds.

    `may_overlap_cold_start` tells that the run may have met the target's cold
    start.
    """

    vm: str
    zone: str
    outcome: RunOutcome
    latency: float
    granted_at: float
    is_cold: bool = False
    may_overlap_cold_start: bool = False


@frozen
class LatencyBaseline:
    """What is usual in the cell at present, in seconds.

    Most answers take less than `high_quantile_seconds`; past `stall_seconds` an
    answer is slow.
    """

    high_quantile_seconds: float = 0
    stall_seconds: float = float('inf')


Verdict = bool | None
SampleJudge = Callable[[RunSample, LatencyBaseline], Verdict]


@frozen
class Detector:
    """A kind of sign; `blames_path` where the network may be at fault.

    Another VM bears a sign out by the same sign or by those of
    `corroborated_by`. A slow answer is no sign of a connection that breaks.
    """

    name: str
    judge: SampleJudge
    blames_path: bool
    corroborated_by: frozenset[str]


DETECTORS: dict[str, Detector] = {}
# After these the target's process has probably been started anew.
RESTART_DETECTORS = ('connects', 'resets')


def detector(
    name: str,
    *,
    blames_path: bool = False,
    corroborated_by: Sequence[str] = (),
) -> Callable[[SampleJudge], SampleJudge]:
    """Registers a function as a detector."""
    return functools.partial(
        _register,
        name,
        blames_path,
        frozenset(corroborated_by),
    )


def _register(
    name: str,
    blames_path: bool,
    corroborated_by: frozenset[str],
    judge: SampleJudge,
) -> SampleJudge:
    DETECTORS[name] = Detector(name, judge, blames_path, corroborated_by)
    return judge


@detector('errors')
def is_error(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Server errors; shed load is an answer of another kind."""
    if sample.outcome is RunOutcome.SERVER_ERROR:
        return True
    return False if sample.outcome is RunOutcome.ANSWERED else None


@detector('stalls', blames_path=True, corroborated_by=('connects',))
def is_stall(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Passed deadlines, and callers that gave up on a slow answer."""
    if sample.outcome is RunOutcome.STALLED:
        # A deadline shorter than a usual answer says nothing of the target.
        return (
            True if sample.latency >= _least_stall(sample, baseline) else None
        )
    if sample.outcome is RunOutcome.CANCELLED:
        return True if sample.latency > baseline.stall_seconds else None
    return False if _is_whole_answer(sample) else None


@detector('slowness', blames_path=True, corroborated_by=('stalls',))
def is_slow(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Latencies far above the cell's own; a cold target may be slow."""
    if sample.is_cold or not _is_whole_answer(sample):
        return None
    return sample.latency > baseline.stall_seconds


@detector('crossings')
def is_crossing(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Answers to another request."""
    if sample.outcome is RunOutcome.CROSSED:
        return True
    return False if _is_whole_answer(sample) else None


@detector('resets', blames_path=True, corroborated_by=('connects',))
def is_reset(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Connections that broke off."""
    if sample.outcome is RunOutcome.RESET:
        return True
    return False if _is_whole_answer(sample) else None


@detector(
    'connects',
    blames_path=True,
    corroborated_by=('resets', 'stalls'),
)
def is_connect_failure(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Connections that could not be opened."""
    if sample.outcome is RunOutcome.CONNECT_FAILED:
        return True
    return False if _is_whole_answer(sample) else None


def _least_stall(sample: RunSample, baseline: LatencyBaseline) -> float:
    """How long an answer must have been awaited to speak of a stall."""
    # In cold start a usual answer takes longer than elsewhere in the cell.
    if sample.may_overlap_cold_start and baseline.high_quantile_seconds:
        return baseline.stall_seconds
    return baseline.high_quantile_seconds


def _is_whole_answer(sample: RunSample) -> bool:
    return sample.outcome in {RunOutcome.ANSWERED, RunOutcome.SERVER_ERROR}
