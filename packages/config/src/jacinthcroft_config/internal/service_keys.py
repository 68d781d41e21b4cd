"""Declares the keys of a service file, to check and to document them."""

import enum

from jacinthcroft_config.internal.checkers import (
    AddressText,
    Boolean,
    Choice,
    Integer,
    KeyHash,
    ListOf,
    Name,
    Number,
    PathPattern,
)
from jacinthcroft_config.internal.models import Access, TargetState
from jacinthcroft_config.internal.tables import TableKey, describe_table

MAX_DEADLINE_MS = 300_000
MIN_REQUESTS_PER_SECOND = 0.001
MAX_REQUESTS_PER_SECOND = 1_000_000.0
MAX_BURST_REQUESTS = 1_000_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_COLD_START_SECONDS = 3600.0
MIN_COLD_START_SECONDS = 0.1
DEFAULT_COLD_START_SECONDS = 10.0


class Method(enum.Enum):
    """HTTP methods that a route may accept."""

    GET = 'GET'
    HEAD = 'HEAD'
    POST = 'POST'
    PUT = 'PUT'
    PATCH = 'PATCH'
    DELETE = 'DELETE'
    OPTIONS = 'OPTIONS'


LIMIT_KEYS = (
    TableKey(
        'slots',
        Integer((1, MAX_SLOTS)),
        'Requests that a warm target runs at the same time.',
    ),
    TableKey(
        'cold_slots',
        Integer((1, MAX_SLOTS)),
        'Requests that a target in cold start runs at the same time; '
        'not more than `slots`.',
    ),
    TableKey(
        'connections',
        Integer((1, MAX_CONNECTIONS)),
        'Open connections of the whole fleet to one target.',
    ),
    TableKey(
        'cold_start_seconds',
        Number((MIN_COLD_START_SECONDS, MAX_COLD_START_SECONDS)),
        'How long a target is in cold start, at least.',
        default=DEFAULT_COLD_START_SECONDS,
    ),
    TableKey(
        'floor',
        Number((0, 1)),
        'Share of the targets that stays in use whatever their health.',
        default=0.5,
    ),
)

ROUTE_KEYS = (
    TableKey('name', Name(), 'Name of the route.'),
    TableKey(
        'methods', ListOf(Choice(Method), min_length=1), 'Methods answered.'
    ),
    TableKey(
        'path', PathPattern(), 'Path; `{name}` stands for any one segment.'
    ),
    TableKey(
        'idempotent',
        Boolean(),
        'Whether a request may run more than once. False: it needs an '
        '`Idempotency-Key` and runs at most once.',
    ),
    TableKey(
        'deadline_ms',
        Integer((1, MAX_DEADLINE_MS)),
        'Longest time until the answer; a caller may ask for less.',
    ),
    TableKey(
        'access',
        Choice(Access),
        '`teams`: only for the keys of `teams`; `open`: for everyone.',
        default=Access.TEAMS,
    ),
    TableKey(
        'teams',
        ListOf(Name()),
        'Teams that may call the route; each has a `[teams.NAME]` table.',
        default=(),
    ),
    TableKey(
        'class',
        Name(),
        "Class of requests in metrics; the route's name when not written.",
        default=None,
    ),
)

TEAM_KEYS = (
    TableKey(
        'rate',
        Number((MIN_REQUESTS_PER_SECOND, MAX_REQUESTS_PER_SECOND)),
        'Requests per second.',
    ),
    TableKey(
        'burst',
        Integer((1, MAX_BURST_REQUESTS)),
        'Requests at once after a pause.',
    ),
    TableKey(
        'keys',
        ListOf(KeyHash()),
        "Hashes of the team's keys; a key whose hash is taken away stops "
        'working.',
    ),
)

TARGET_KEYS = (
    TableKey('address', AddressText(), 'Where the target answers.'),
    TableKey('zone', Name(), 'Availability zone that the target stands in.'),
    TableKey(
        'state',
        Choice(TargetState),
        '`leaving`: the target gets no new work.',
        default=TargetState.ACTIVE,
    ),
)


def describe_service_file() -> str:
    """Returns every key of a service file as Markdown."""
    tables = (
        ('`[limits]`: what each target bears', LIMIT_KEYS),
        ('`[[routes]]`: which requests the service answers', ROUTE_KEYS),
        ('`[teams.NAME]`: what a team may spend', TEAM_KEYS),
        ('`[targets.NAME]`: the back ends', TARGET_KEYS),
    )
    parts = ['# Service file', 'First line: `service = "NAME"`.']
    for title, keys in tables:
        parts.extend((f'## {title}', describe_table(keys)))
    return '\n\n'.join(parts)
