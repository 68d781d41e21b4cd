"""The keys of a service file, declared for its check and its description."""

import enum

from jacinthcroft_config.internal.checkers import (
    AddressText,
    Choice,
    Flag,
    KeyHash,
    ListOf,
    Name,
    Number,
    PathPattern,
    Whole,
)
from jacinthcroft_config.internal.models import Access, TargetState
from jacinthcroft_config.internal.tables import Key, describe_table

MAX_DEADLINE_MS = 300_000
MIN_RATE = 0.001
MAX_RATE = 1_000_000.0
MAX_BURST = 1_000_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_COLD_START_SECONDS = 3600.0
MIN_COLD_START_SECONDS = 0.1
COLD_START_SECONDS = 10.0


class Method(enum.Enum):
    """Methods that a route may answer."""

    GET = 'GET'
    HEAD = 'HEAD'
    POST = 'POST'
    PUT = 'PUT'
    PATCH = 'PATCH'
    DELETE = 'DELETE'
    OPTIONS = 'OPTIONS'


LIMIT_KEYS = (
    Key(
        'slots',
        Whole((1, MAX_SLOTS)),
        'Requests that a warm target runs at the same time.',
    ),
    Key(
        'cold_slots',
        Whole((1, MAX_SLOTS)),
        'Requests that a target in cold start runs at the same time; '
        'not more than `slots`.',
    ),
    Key(
        'connections',
        Whole((1, MAX_CONNECTIONS)),
        'Open connections of the whole fleet to one target.',
    ),
    Key(
        'cold_start_seconds',
        Number((MIN_COLD_START_SECONDS, MAX_COLD_START_SECONDS)),
        'How long a target is in cold start, at least.',
        default=COLD_START_SECONDS,
    ),
    Key(
        'floor',
        Number((0, 1)),
        'Share of the targets that stays in use whatever their health.',
        default=0.5,
    ),
)

ROUTE_KEYS = (
    Key('name', Name(), 'Name of the route.'),
    Key('methods', ListOf(Choice(Method), minimum=1), 'Methods answered.'),
    Key('path', PathPattern(), 'Path; `{name}` stands for any one segment.'),
    Key(
        'idempotent',
        Flag(),
        'Whether a request may run more than once. False: it needs an '
        '`Idempotency-Key` and runs at most once.',
    ),
    Key(
        'deadline_ms',
        Whole((1, MAX_DEADLINE_MS)),
        'Longest time until the answer; a caller may ask for less.',
    ),
    Key(
        'access',
        Choice(Access),
        '`teams`: only for the keys of `teams`; `open`: for everyone.',
        default=Access.TEAMS,
    ),
    Key(
        'teams',
        ListOf(Name()),
        'Teams that may call the route; each has a `[teams.NAME]` table.',
        default=(),
    ),
    Key(
        'class',
        Name(),
        "Class of requests in metrics; the route's name when not written.",
        default=None,
    ),
)

TEAM_KEYS = (
    Key('rate', Number((MIN_RATE, MAX_RATE)), 'Requests per second.'),
    Key('burst', Whole((1, MAX_BURST)), 'Requests at once after a pause.'),
    Key(
        'keys',
        ListOf(KeyHash()),
        "Hashes of the team's keys; a key whose hash is taken away stops "
        'working.',
    ),
)

TARGET_KEYS = (
    Key('address', AddressText(), 'Where the target answers.'),
    Key('zone', Name(), 'Availability zone that the target stands in.'),
    Key(
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
