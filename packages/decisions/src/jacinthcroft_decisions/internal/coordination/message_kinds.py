"""The registry of message kinds, by which the daemon tags its JSON."""

from collections.abc import Callable
from typing import TypeVar

MESSAGE_KINDS: dict[str, type] = {}

_Message = TypeVar('_Message', bound=type)


def message_kind(kind: str) -> Callable[[_Message], _Message]:
    """Registers a message class under its kind.

    Raises:
        ValueError: the kind is taken by another class.
    """

    def decorator(cls: _Message) -> _Message:
        if kind in MESSAGE_KINDS:
            raise ValueError(f'message kind {kind} is taken')
        MESSAGE_KINDS[kind] = cls
        return cls

    return decorator


def kind_of(message: object) -> str:
    """Returns the kind under which a message's class is registered.

    Raises:
        KeyError: the class is no registered message.
    """
    name = type(message).__name__
    for kind, message_class in MESSAGE_KINDS.items():
        if message_class.__name__ == name:
            return kind
    raise KeyError(name)
