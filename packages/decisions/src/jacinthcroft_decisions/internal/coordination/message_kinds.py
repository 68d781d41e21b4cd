"""The registry of message kinds, which the daemon sends as type tags."""

from collections.abc import Callable
from typing import TypeVar

MESSAGE_KINDS: dict[str, type] = {}

_Message = TypeVar('_Message', bound=type)


def message_kind(kind: str) -> Callable[[_Message], _Message]:
    """Registers the decorated message class under a kind.

    Raises:
        ValueError: the kind is already registered.
    """

    def decorator(cls: _Message) -> _Message:
        if kind in MESSAGE_KINDS:
            raise ValueError(f'message kind {kind} is already registered')
        MESSAGE_KINDS[kind] = cls
        return cls

    return decorator


def kind_of(message: object) -> str:
    """Returns the kind under which a message's class is registered.

    Raises:
        KeyError: the message's class is not registered.
    """
    class_name = type(message).__name__
    for kind, message_class in MESSAGE_KINDS.items():
        if message_class.__name__ == class_name:
            return kind
    raise KeyError(class_name)
