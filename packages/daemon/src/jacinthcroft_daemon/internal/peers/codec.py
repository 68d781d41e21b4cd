"""Encodes typed messages as JSON and decodes them."""

import json
from typing import Any, TypeVar

from cattrs.errors import BaseValidationError
from cattrs.preconf.json import make_converter

_CONVERTER = make_converter()

Message = TypeVar('Message')


def encode_message(message: object) -> bytes:
    """Returns the JSON text of an attrs message."""
    return json.dumps(_CONVERTER.unstructure(message)).encode()


def decode_message(body: bytes, message_type: type[Message]) -> Message | None:
    """Returns the message in `body`, or None if it is not valid."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return structure_message(fields, message_type)


def unstructure_message(message: object) -> Any:
    """Returns a message's fields as values that JSON can represent."""
    return _CONVERTER.unstructure(message)


def structure_message(
    fields: Any, message_type: type[Message]
) -> Message | None:
    """Returns the message with these fields, or None if they do not fit."""
    try:
        return _CONVERTER.structure(fields, message_type)
    except (ValueError, TypeError, BaseValidationError):
        return None
