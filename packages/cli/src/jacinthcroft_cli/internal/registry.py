"""The commands of `jacinthcroft`, filled in by the modules that hold them."""

import argparse
import enum
from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import TypeVar

from attrs import frozen


class ExitCode(enum.IntEnum):
    """What the command line tells a script."""

    OK = 0
    NEGATIVE = 1
    BAD_INPUT = 2
    UNREACHABLE = 3


class Command(ABC):
    """One command with its arguments already read."""

    @classmethod
    @abstractmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the command's arguments."""

    @classmethod
    @abstractmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'Command':
        """Reads the command from parsed arguments."""

    @abstractmethod
    def run(self) -> ExitCode:
        """Carries the command out and prints its result."""


@frozen
class CommandEntry:
    """A command as the command line offers it."""

    name: str
    summary: str
    command: type[Command]


_COMMANDS: dict[str, CommandEntry] = {}

CommandT = TypeVar('CommandT', bound=type[Command])


@frozen
class Registration:
    """Decorator that offers a class as a command."""

    name: str
    summary: str

    def __call__(self, command: CommandT) -> CommandT:
        """Adds the class to the registry and returns it unchanged."""
        _COMMANDS[self.name] = CommandEntry(self.name, self.summary, command)
        return command


def register(name: str, summary: str) -> Registration:
    """Returns the decorator that offers a class as the command `name`."""
    return Registration(name, summary)


def registered_commands() -> Iterator[CommandEntry]:
    """Yields every command, sorted by name."""
    for name in sorted(_COMMANDS):
        yield _COMMANDS[name]
