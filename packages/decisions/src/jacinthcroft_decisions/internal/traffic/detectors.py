"""Registry of the detectors of target faults.

A run is one request that a VM sends to a target, for which the VM needs a
permit. A cell is the set of targets of one service. In its cold start, just
after its process has started, a target may be slow.

A detector classifies one finished run: True is evidence against the target
(a bad sample), False is evidence for it (a good one), and None is no evidence
at all. How much evidence suffices is decided in `evidence`, the same way for
all detectors.
"""

import functools
from collections.abc import Callable, Sequence

from attrs import frozen

from jacinthcroft_decisions.internal.traffic.permit_messages import RunOutcome


@frozen
class RunSample:
    """One finished run; `granted_at` is when its permit was granted.

    `latency` is in seconds.
    `is_cold` says whether the target is in its cold start when the run ends,
    `may_overlap_cold_start` whether the run may have begun in it.
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
    """The latencies that are normal in the cell at present, in seconds.

    Most answers take less than `high_quantile_seconds`. An answer that takes
    more than `stall_seconds` is slow.
    """

    high_quantile_seconds: float = 0
    stall_seconds: float = float('inf')


Verdict = bool | None
SampleClassifier = Callable[[RunSample, LatencyBaseline], Verdict]


@frozen
class Detector:
    """A classifier of samples that looks for one kind of fault.

    With `blames_path` the fault may be the network's. A bad sample of one VM
    is then corroborated by bad samples that the same detector, or one in
    `corroborated_by`, finds at other VMs. A slow answer does not corroborate
    a broken connection.
    """

    name: str
    classify: SampleClassifier
    blames_path: bool
    corroborated_by: frozenset[str]


DETECTORS: dict[str, Detector] = {}
# These detectors find faults after which the target's process has probably been
# restarted.
RESTART_DETECTORS = ('connects', 'resets')


def detector(
    name: str,
    *,
    blames_path: bool = False,
    corroborated_by: Sequence[str] = (),
) -> Callable[[SampleClassifier], SampleClassifier]:
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
    classify: SampleClassifier,
) -> SampleClassifier:
    DETECTORS[name] = Detector(name, classify, blames_path, corroborated_by)
    return classify


@detector('errors')
def is_error(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Detects server errors; a refusal because of overload is not one."""
    if sample.outcome is RunOutcome.SERVER_ERROR:
        return True
    return False if sample.outcome is RunOutcome.ANSWERED else None


@detector('stalls', blames_path=True, corroborated_by=('connects',))
def is_stall(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Detects missed deadlines and callers that gave up on a slow answer."""
    if sample.outcome is RunOutcome.STALLED:
        # A deadline shorter than a normal answer proves nothing.
        return (
            True
            if sample.latency >= _min_stall_seconds(sample, baseline)
            else None
        )
    if sample.outcome is RunOutcome.CANCELLED:
        return True if sample.latency > baseline.stall_seconds else None
    return False if _is_complete_answer(sample) else None


@detector('slowness', blames_path=True, corroborated_by=('stalls',))
def is_slow(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Detects latencies far above the cell's; a cold target may be slow."""
    if sample.is_cold or not _is_complete_answer(sample):
        return None
    return sample.latency > baseline.stall_seconds


@detector('crossings')
def is_crossing(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Detects answers that belong to another request."""
    if sample.outcome is RunOutcome.CROSSED:
        return True
    return False if _is_complete_answer(sample) else None


@detector('resets', blames_path=True, corroborated_by=('connects',))
def is_reset(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Detects connections that broke during a run."""
    if sample.outcome is RunOutcome.RESET:
        return True
    return False if _is_complete_answer(sample) else None


@detector(
    'connects',
    blames_path=True,
    corroborated_by=('resets', 'stalls'),
)
def is_connect_failure(sample: RunSample, baseline: LatencyBaseline) -> Verdict:
    """Detects connections that could not be opened."""
    if sample.outcome is RunOutcome.CONNECT_FAILED:
        return True
    return False if _is_complete_answer(sample) else None


def _min_stall_seconds(sample: RunSample, baseline: LatencyBaseline) -> float:
    """Returns how long a run must have lasted to count as a stall."""
    # A normal answer takes longer in the cold start than from the other targets
    # of the cell.
    if sample.may_overlap_cold_start and baseline.high_quantile_seconds:
        return baseline.stall_seconds
    return baseline.high_quantile_seconds


def _is_complete_answer(sample: RunSample) -> bool:
    return sample.outcome in {RunOutcome.ANSWERED, RunOutcome.SERVER_ERROR}
