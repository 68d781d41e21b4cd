"""The bench's own parts: its baseline, its readings and its measures."""

import pathlib

from attrs import evolve
from jacinthcroft_config import Address, Service, Target, TargetState
from jacinthcroft_testkit.internal.baseline.errors import ConsecutiveErrors
from jacinthcroft_testkit.internal.baseline.rotation import Rotation
from jacinthcroft_testkit.internal.baseline.shares import FixedShare
from jacinthcroft_testkit.internal.bench.plots import draw
from jacinthcroft_testkit.internal.bench.readings import Reading, summarize
from jacinthcroft_testkit.internal.deployments import load_sound
from jacinthcroft_testkit.internal.documents import (
    ServicePlan,
    TargetEntry,
    replace_targets,
    write_service,
)
from jacinthcroft_testkit.internal.kinds import kinds_of
from jacinthcroft_testkit.internal.latency import Latency
from matplotlib.image import imread

from tests.cover.traffic.builders import make_team

_TARGETS = tuple(
    Target(f't{port}', Address('127.0.0.1', port), 'z', TargetState.ACTIVE)
    for port in (1, 2)
)


def _written(plan: ServicePlan) -> Service:
    targets = [TargetEntry('t1', '127.0.0.1:1', 'muc1', 'leaving')]
    return load_sound(replace_targets(write_service(plan), targets), plan.name)


def test_a_written_service_file_says_what_its_plan_says() -> None:
    service = _written(ServicePlan('recipes', {'kiosks': (5, 7)}, slots=3))
    assert service.limits.slots == 3
    assert [(team.rate, team.burst) for team in service.teams] == [(5, 7)]
    assert service.targets[0].state is TargetState.LEAVING


def test_kinds_hold_one_request_for_each_route_and_team() -> None:
    service = _written(ServicePlan('recipes', {'kiosks': (5, 7)}))
    read, book = kinds_of(service)
    assert read.path_of('9') == '/recipes/items/9?n=9&bytes=512'
    assert read.api_key == 'example-key-kiosks'
    assert (read.is_idempotent, book.is_idempotent) == (True, False)


def test_a_fixed_share_gives_its_burst_and_then_its_rate() -> None:
    share = FixedShare(rate=2, burst=1)
    assert [share.spend(now) for now in (0, 0, 0.25, 0.5)] == [
        True,
        False,
        False,
        True,
    ]


def test_the_error_baseline_ejects_after_errors_in_a_row() -> None:
    baseline = ConsecutiveErrors(limit=2, ejection_seconds=10)
    for is_error in (True, False, True):
        baseline.note('t0', is_error=is_error, now=0)
    assert not baseline.is_ejected('t0', now=0)
    baseline.note('t0', is_error=True, now=1)
    assert baseline.is_ejected('t0', now=10)
    assert not baseline.is_ejected('t0', now=11)


def test_the_share_baseline_splits_evenly() -> None:
    share = FixedShare.from_config(make_team(10, 20), vm_count=10, now=0)
    assert [share.spend(0) for _ in range(3)] == [True, True, False]
    assert share.spend(1)


def test_the_turn_baseline_goes_round() -> None:
    targets = [evolve(_TARGETS[0], name=name) for name in ('a', 'b')]
    turns = Rotation(targets, floor=0.5)
    picked = [turns.pick(0) for _ in range(3)]
    assert [one.name for one in picked if one] == ['a', 'b', 'a']
    assert Rotation((), floor=0.5).pick(0) is None


def test_a_rotation_leaves_a_target_out_after_five_errors_in_a_row() -> None:
    rotation = Rotation(_TARGETS, floor=0.5)
    for _ in range(5):
        rotation.note(_TARGETS[0], 0, is_error=True)
    assert {rotation.pick(1) for _ in range(4)} == {_TARGETS[1]}
    assert {rotation.pick(11) for _ in range(4)} == set(_TARGETS)


def test_a_rotation_keeps_its_floor() -> None:
    rotation = Rotation(_TARGETS, floor=1)
    for _ in range(5):
        rotation.note(_TARGETS[0], 0, is_error=True)
    assert {rotation.pick(1) for _ in range(4)} == set(_TARGETS)


def test_a_figure_holds_all_repeats_and_their_median() -> None:
    repeats = [[Reading('p99', 'ms', value)] for value in (3, 9, 4)]
    figures = summarize('latency', 'product', repeats)
    figure = figures[0]
    assert figure.values == (3, 9, 4)
    assert figure.median == 4
    assert '[3.00 .. 9.00]' in str(figure)


def test_a_plot_has_room_for_every_unit_and_metric(
    tmp_path: pathlib.Path,
) -> None:
    readings = [
        Reading('answered', '%', 98),
        Reading('answered while out', '%', 95),
        Reading('detection', 's', 0.4),
    ]
    figures = [
        figure
        for system in ('product', 'baseline')
        for figure in summarize('zone', system, [readings, readings])
    ]
    draw(tmp_path / 'two.png', 'Zone', figures)
    draw(tmp_path / 'one.png', 'Zone', figures[:2])
    two, one = (imread(tmp_path / name) for name in ('two.png', 'one.png'))
    assert two.shape[0] > one.shape[0]


def test_latency_has_its_median_and_99th_percentile() -> None:
    latency = Latency.from_seconds([one / 1000 for one in range(101)])
    assert round(latency.p50_ms) == 50
    assert round(latency.p99_ms) == 99
