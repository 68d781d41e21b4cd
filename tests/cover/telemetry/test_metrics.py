"""Scrapes contain all metrics, and metrics and traces stay bounded."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st
from jacinthcroft_daemon.internal.telemetry import (
    Count,
    TraceEvent,
    TraceStore,
)
from jacinthcroft_daemon.internal.telemetry.metrics import Metrics, VmGauges
from prometheus_client.parser import text_string_to_metric_families
from syrupy.assertion import SnapshotAssertion

REQUEST_SECONDS = 'jacinthcroft_request_seconds'


def make_metrics(metric_teams: int = 8) -> Metrics:
    return Metrics.from_limits(metric_teams, lambda: VmGauges(7, 1.5, 3, 12, 2))


def count_requests(metrics: Metrics, team: str, request_class: str) -> int:
    prefix = (
        f'{REQUEST_SECONDS}_count{{class="{request_class}",team="{team}"}} '
    )
    lines = metrics.render().decode().splitlines()
    matching_lines = [line for line in lines if line.startswith(prefix)]
    return (
        int(float(matching_lines[0].removeprefix(prefix)))
        if matching_lines
        else 0
    )


def test_scrape_contains_all_metrics(snapshot: SnapshotAssertion) -> None:
    metrics = make_metrics()
    for seconds in (0.0005, 0.004, 0.004, 99):
        metrics.record_request('app', 'transfers', seconds)
    metrics.count(Count.REFUSALS, 'rate-exceeded')
    metrics.count(Count.REFUSALS, 'rate-exceeded')
    metrics.count(Count.EJECTIONS, 'history', 5)
    assert metrics.render().decode() == snapshot


def test_teams_beyond_the_limit_are_merged() -> None:
    metrics = make_metrics(metric_teams=2)
    for team in ('a', 'b', 'a', 'c'):
        metrics.record_request(team, 'reads', 0.01)
    assert count_requests(metrics, 'a', 'reads') == 2
    assert count_requests(metrics, 'b', 'reads') == 0
    assert count_requests(metrics, 'c', 'reads') == 1
    assert count_requests(metrics, 'other', 'reads') == 1


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(st.sampled_from('abcdefgh'), max_size=40))
def test_no_request_is_lost_when_teams_are_merged(teams: list[str]) -> None:
    metrics = make_metrics(metric_teams=3)
    for team in teams:
        metrics.record_request(team, 'reads', 0.01)
    counts = [count_requests(metrics, name, 'reads') for name in 'abcdefgh']
    assert sum(counts) + count_requests(metrics, 'other', 'reads') == len(teams)
    assert sum(count > 0 for count in counts) <= 3


def test_streamed_scrape_equals_rendered_scrape() -> None:
    metrics = make_metrics(metric_teams=50)
    for number in range(50):
        metrics.record_request(f'team{number}', 'reads', 0.01)

    async def collect_slices() -> list[bytes]:
        return [text async for text in metrics.stream()]

    slices = asyncio.run(collect_slices())
    families = list(text_string_to_metric_families(b''.join(slices).decode()))
    names = [family.name for family in families]
    assert len(slices) > 5
    assert b''.join(slices) == metrics.render()
    assert len(names) == len(set(names))
    assert len(families[names.index(REQUEST_SECONDS)].samples) == 50 * 16


def test_number_of_labels_is_bounded() -> None:
    metrics = make_metrics()
    for number in range(1000):
        metrics.count(Count.EJECTIONS, f'service{number}')
    text = metrics.render().decode()
    assert text.count('jacinthcroft_ejections_total{') == 257
    assert 'jacinthcroft_ejections_total{service="other"} 744.0' in text


def test_vms_in_one_process_have_separate_metrics() -> None:
    first, second = make_metrics(), make_metrics()
    first.record_request('app', 'reads', 0.01)
    assert count_requests(first, 'app', 'reads') == 1
    assert count_requests(second, 'app', 'reads') == 0


def test_trace_store_returns_steps_of_latest_requests_in_order() -> None:
    store = TraceStore.from_capacity(2)
    for number in range(3):
        store.record_step(f'r{number}', 'received', 'GET', number)
    store.record_step('r2', 'answered', '200', 9)
    assert store.find_steps('r0') is None
    assert store.find_steps('r2') == (
        TraceEvent(2, 'received', 'GET'),
        TraceEvent(9, 'answered', '200'),
    )


def test_trace_store_without_capacity_keeps_nothing() -> None:
    store = TraceStore.from_capacity(0)
    store.record_step('r', 'received', 'GET', 1)
    assert store.find_steps('r') is None


def test_number_of_steps_of_a_request_is_bounded() -> None:
    store = TraceStore.from_capacity(1)
    for number in range(1000):
        store.record_step('r', 'retried', '', number)
    steps = store.find_steps('r')
    assert steps is not None
    assert len(steps) == 64
