"""Turns typed messages into JSON and back."""

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
    """Returns the message in `body`, or None where it is not one."""
    try:
        fields = json.loads(body)
    except ValueError:
        return None
    return structure(fields, message_type)


def unstructure(message: object) -> Any:
    """Returns a message's fields as JSON has them."""
    return _CONVERTER.unstructure(message)


def structure(fields: Any, message_type: type[Message]) -> Message | None:
    """Returns the message of these fields, or None where it is not one."""
    try:
        return _CONVERTER.structure(fields, message_type)
    except (ValueError, TypeError, BaseValidationError):
        return None
