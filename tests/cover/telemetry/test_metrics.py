"""What a scrape tells, and that it stays bounded."""

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


def make_metrics(teams: int = 8) -> Metrics:
    return Metrics.from_limits(teams, lambda: VmGauges(7, 1.5, 3, 12, 2))


def counted(metrics: Metrics, team: str, request_class: str) -> int:
    start = f'{REQUEST_SECONDS}_count{{class="{request_class}",team="{team}"}} '
    lines = metrics.render().decode().splitlines()
    found = [line for line in lines if line.startswith(start)]
    return int(float(found[0].removeprefix(start))) if found else 0


def test_a_scrape_tells_everything(snapshot: SnapshotAssertion) -> None:
    metrics = make_metrics()
    for seconds in (0.0005, 0.004, 0.004, 99):
        metrics.record_request('app', 'transfers', seconds)
    metrics.count(Count.REFUSALS, 'rate-exceeded')
    metrics.count(Count.REFUSALS, 'rate-exceeded')
    metrics.count(Count.EJECTIONS, 'history', 5)
    assert metrics.render().decode() == snapshot


def test_teams_beyond_the_limit_are_added_up() -> None:
    metrics = make_metrics(teams=2)
    for team in ('a', 'b', 'a', 'c'):
        metrics.record_request(team, 'reads', 0.01)
    assert counted(metrics, 'a', 'reads') == 2
    assert counted(metrics, 'b', 'reads') == 0
    assert counted(metrics, 'c', 'reads') == 1
    assert counted(metrics, 'other', 'reads') == 1


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(st.sampled_from('abcdefgh'), max_size=40))
def test_no_request_is_lost_when_teams_are_shed(teams: list[str]) -> None:
    metrics = make_metrics(teams=3)
    for team in teams:
        metrics.record_request(team, 'reads', 0.01)
    seen = [counted(metrics, name, 'reads') for name in 'abcdefgh']
    assert sum(seen) + counted(metrics, 'other', 'reads') == len(teams)
    assert sum(count > 0 for count in seen) <= 3


def test_a_streamed_scrape_of_many_teams_is_that_of_one_piece() -> None:
    metrics = make_metrics(teams=50)
    for number in range(50):
        metrics.record_request(f'team{number}', 'reads', 0.01)

    async def gather() -> list[bytes]:
        return [part async for part in metrics.stream()]

    parts = asyncio.run(gather())
    families = list(text_string_to_metric_families(b''.join(parts).decode()))
    names = [family.name for family in families]
    assert len(parts) > 5
    assert b''.join(parts) == metrics.render()
    assert len(names) == len(set(names))
    assert len(families[names.index(REQUEST_SECONDS)].samples) == 50 * 16


def test_labels_stay_bounded() -> None:
    metrics = make_metrics()
    for number in range(1000):
        metrics.count(Count.EJECTIONS, f'service{number}')
    text = metrics.render().decode()
    assert text.count('jacinthcroft_ejections_total{') == 257
    assert 'jacinthcroft_ejections_total{service="other"} 744.0' in text


def test_two_vms_in_one_process_have_metrics_of_their_own() -> None:
    first, second = make_metrics(), make_metrics()
    first.record_request('app', 'reads', 0.01)
    assert counted(first, 'app', 'reads') == 1
    assert counted(second, 'app', 'reads') == 0


def test_the_store_explains_its_latest_requests_in_order() -> None:
    store = TraceStore.from_capacity(2)
    for number in range(3):
        store.record_step(f'r{number}', 'received', 'GET', number)
    store.record_step('r2', 'answered', '200', 9)
    assert store.find_steps('r0') is None
    assert store.find_steps('r2') == (
        TraceEvent(2, 'received', 'GET'),
        TraceEvent(9, 'answered', '200'),
    )


def test_a_store_without_capacity_keeps_nothing() -> None:
    store = TraceStore.from_capacity(0)
    store.record_step('r', 'received', 'GET', 1)
    assert store.find_steps('r') is None


def test_a_request_with_many_steps_stays_bounded() -> None:
    store = TraceStore.from_capacity(1)
    for number in range(1000):
        store.record_step('r', 'retried', '', number)
    steps = store.find_steps('r')
    assert steps is not None
    assert len(steps) == 64
