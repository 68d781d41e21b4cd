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

# Fields with these names could write a caller's key or data to the log.
SECRET_FIELDS: Final = frozenset(
    ('authorization', 'body', 'key', 'keys', 'password', 'secret'),
)

# Text that needs no quotes: printable ASCII except the space, the double
# quote, the equals sign and the backslash.
_UNQUOTED_TEXT: Final = re.compile(r'[!#-<>-\[\]-~]+')


@frozen
class Event:
    """A log event with its fields in the order in which they are written."""

    name: str
    fields: tuple[tuple[str, object], ...]

    def __str__(self) -> str:
        """Returns the event and its fields as key=value pairs."""
        return format_pairs((('event', self.name), *self.fields))


def log_event(level: Level, event: str, **fields: object) -> None:
    """Logs an event with its fields.

    Fields must not hold a caller's key or data.

    Raises:
        AssertionError: A field has one of the names in `SECRET_FIELDS`.
    """
    refuse_secrets(frozenset(fields))
    absl_level = _ABSL_LEVELS[level]
    # In absl, a higher level is less severe.
    if absl_level <= logging.get_verbosity():
        logging.log(absl_level, Event(event, tuple(fields.items())))


def refuse_secrets(names: frozenset[str]) -> None:
    """Raises an `AssertionError` for field names that must not be logged."""
    secret_names = names & SECRET_FIELDS
    assert not secret_names, (
        f'log fields may hold secrets: {sorted(secret_names)}'
    )


def format_pairs(pairs: tuple[tuple[str, object], ...]) -> str:
    """Returns the pairs as `name=value`, separated by spaces."""
    return ' '.join(f'{name}={format_field(field)}' for name, field in pairs)


def format_field(field: object) -> str:
    """Returns a field's value as an unquoted word or a JSON string."""
    if isinstance(field, bool):
        return 'true' if field else 'false'
    text = str(field)
    if _UNQUOTED_TEXT.fullmatch(text):
        return text
    # JSON in ASCII escapes every kind of line break, so each event stays on
    # one line however a reader splits the log.
    return json.dumps(text)
