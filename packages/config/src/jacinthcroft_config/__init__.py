"""Service files, settings, checks and bundles of jacinthcroft."""

from jacinthcroft_config.internal.models import (
    Access,
    Address,
    Configuration,
    Route,
    Service,
    Target,
    TargetLimits,
    TargetState,
    Team,
    Vm,
    VmList,
    VmState,
)

__all__ = (
    'Access',
    'Address',
    'Configuration',
    'Route',
    'Service',
    'Target',
    'TargetLimits',
    'TargetState',
    'Team',
    'Vm',
    'VmList',
    'VmState',
)
