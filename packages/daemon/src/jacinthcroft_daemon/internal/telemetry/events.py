"""Log events: a name and fields, written as key=value pairs."""

import json
import re
from typing import Final, Literal

from absl import logging
from attrs import frozen

Level = Literal['debug', 'info', 'warning', 'error']

_ABSL_LEVELS: Final = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}

# Fields by these names would carry a caller's key or data into the log.
SECRET_FIELDS: Final = frozenset(
    ('authorization', 'body', 'key', 'keys', 'password', 'secret'),
)

# What needs no quotes: printable ASCII without space, quote, equals sign
# and backslash.
_BARE_TEXT: Final = re.compile(r'[!#-<>-\[\]-~]+')


@frozen
class Event:
    """Something that happened, as the log tells it."""

    name: str
    fields: tuple[tuple[str, object], ...]

    def __str__(self) -> str:
        """Returns the event and its fields as key=value pairs."""
        return format_pairs((('event', self.name), *self.fields))


def log_event(level: Level, event: str, **fields: object) -> None:
    """Logs an event with its fields.

    Fields never hold a caller's key or data; the names under which they
    might are refused as a broken invariant.
    """
    refuse_secrets(frozenset(fields))
    absl_level = _ABSL_LEVELS[level]
    # absl counts upwards from the severe to the chatty.
    if absl_level <= logging.get_verbosity():
        logging.log(absl_level, Event(event, tuple(fields.items())))


def refuse_secrets(names: frozenset[str]) -> None:
    """Stops on field names that must not be logged."""
    secrets = names & SECRET_FIELDS
    assert not secrets, f'not for the log: {sorted(secrets)}'


def format_pairs(pairs: tuple[tuple[str, object], ...]) -> str:
    """Writes pairs as `name=text`, quoting what is not plain text."""
    return ' '.join(f'{name}={format_field(field)}' for name, field in pairs)


def format_field(field: object) -> str:
    """Writes one field as a single word or a quoted JSON string."""
    if isinstance(field, bool):
        return 'true' if field else 'false'
    text = str(field)
    if _BARE_TEXT.fullmatch(text):
        return text
    # JSON in ASCII escapes every kind of line break, so that whoever splits
    # the log into lines finds one for each event.
    return json.dumps(text)
