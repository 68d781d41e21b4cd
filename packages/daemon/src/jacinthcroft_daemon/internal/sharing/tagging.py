"""Tags coordination messages with their kind.

A batch holds messages of several classes; the kind selects the class that a
receiver reads a message as.
"""

from typing import Any

from attrs import frozen
from jacinthcroft_decisions.coordination import MESSAGE_KINDS, kind_of

from jacinthcroft_daemon.internal.peers import (
    structure_message,
    unstructure_message,
)


@frozen
class TaggedMessage:
    """A message's kind and its fields as JSON values."""

    kind: str
    fields: dict[str, Any]


def tag_message(message: object) -> TaggedMessage:
    """Returns the message tagged with its registered kind."""
    return TaggedMessage(kind_of(message), unstructure_message(message))


def untag_message(tagged: TaggedMessage) -> Any:
    """Returns the message, or None if this version lacks its kind."""
    message_type = MESSAGE_KINDS.get(tagged.kind)
    if message_type is None:
        return None
    return structure_message(tagged.fields, message_type)
