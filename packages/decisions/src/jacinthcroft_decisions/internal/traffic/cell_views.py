"""Builds the views of a cell's targets for status and metrics."""

from jacinthcroft_decisions.internal.traffic.cell_results import (
    TargetCondition,
    TargetView,
)
from jacinthcroft_decisions.internal.traffic.target_health import HealthState
from jacinthcroft_decisions.internal.traffic.target_pool import TargetPool


def build_target_views(pool: TargetPool, now: float) -> tuple[TargetView, ...]:
    """Returns a view of each target."""
    return tuple(_build_view(pool, name, now) for name in pool.targets)


def _build_view(pool: TargetPool, name: str, now: float) -> TargetView:
    health = pool.health.active_targets.get(name)
    return TargetView(
        name=name,
        state=_derive_condition(pool, name, now),
        running=pool.targets[name].slots.taken_count,
        allowed=pool.compute_permit_limit(name, now),
        reasons=health.reasons(now) if health else (),
    )


def _derive_condition(
    pool: TargetPool, name: str, now: float
) -> TargetCondition:
    health = pool.health.active_targets.get(name)
    if health is None or not pool.is_accepting_work(name, now):
        return TargetCondition.LEAVING
    if health.state is not HealthState.IN_USE:
        return TargetCondition.EJECTED
    if pool.targets[name].concurrency.is_cold:
        return TargetCondition.COLD
    if health.scores.is_suspect(now):
        return TargetCondition.SUSPECT
    return TargetCondition.HEALTHY
