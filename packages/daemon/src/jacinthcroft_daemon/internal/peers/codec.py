"""Turns typed messages into JSON and back."""

import json
from typing import TypeVar

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
        return _CONVERTER.structure(json.loads(body), message_type)
    except (ValueError, TypeError, KeyError, BaseValidationError):
        return None
