"""Service files, settings, checks and bundles of jacinthcroft.

`load_service`, `load_settings` and `load_vm_list` parse text and return either
a value or `Faults`. `join_services` combines services into one
`Configuration`; `RouteTable` and `TeamIndex` index it by request and by key.
"""

from jacinthcroft_config.internal.bundles import (
    INDEX_NAME,
    Bundle,
    BundleIndex,
    BundlePart,
    digest_of,
    load_bundle,
    load_bundle_index,
    make_bundle,
)
from jacinthcroft_config.internal.checkers import Problem, parse_address
from jacinthcroft_config.internal.configurations import (
    ServiceFile,
    load_configuration,
)
from jacinthcroft_config.internal.documents import MAX_VALUE_BYTES
from jacinthcroft_config.internal.faults import (
    Fault,
    Faults,
    replace_unprintable,
)
from jacinthcroft_config.internal.joining import NamedService, join_services
from jacinthcroft_config.internal.key_hashes import hash_key
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
from jacinthcroft_config.internal.route_tables import (
    MethodNotAllowed,
    RouteMatch,
    RouteTable,
    UnknownRoute,
)
from jacinthcroft_config.internal.service_files import load_service
from jacinthcroft_config.internal.service_keys import describe_service_file
from jacinthcroft_config.internal.settings import (
    FleetSettings,
    ListenSettings,
    LogLevel,
    LogSettings,
    PlatformSettings,
    Settings,
    Tunables,
    VmSettings,
    describe_settings,
    load_settings,
)
from jacinthcroft_config.internal.team_index import TeamIndex, TeamOfService
from jacinthcroft_config.internal.vm_lists import load_vm_list

__all__ = (
    'Access',
    'Address',
    'Bundle',
    'BundleIndex',
    'BundlePart',
    'Configuration',
    'Fault',
    'Faults',
    'FleetSettings',
    'INDEX_NAME',
    'ListenSettings',
    'LogLevel',
    'LogSettings',
    'MAX_VALUE_BYTES',
    'MethodNotAllowed',
    'NamedService',
    'PlatformSettings',
    'Problem',
    'Route',
    'RouteMatch',
    'RouteTable',
    'Service',
    'ServiceFile',
    'Settings',
    'Target',
    'TargetLimits',
    'TargetState',
    'Team',
    'TeamIndex',
    'TeamOfService',
    'Tunables',
    'UnknownRoute',
    'Vm',
    'VmList',
    'VmSettings',
    'VmState',
    'describe_service_file',
    'describe_settings',
    'digest_of',
    'hash_key',
    'join_services',
    'load_bundle',
    'load_bundle_index',
    'load_configuration',
    'load_service',
    'load_settings',
    'load_vm_list',
    'make_bundle',
    'parse_address',
    'replace_unprintable',
)
