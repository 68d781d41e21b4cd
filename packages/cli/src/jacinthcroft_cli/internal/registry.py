"""The registry of the commands of `jacinthcroft`."""

import argparse
import enum
from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import TypeVar

from attrs import frozen


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    OK = 0
    NEGATIVE = 1
    BAD_INPUT = 2
    UNREACHABLE = 3


class Command(ABC):
    """One command with its parsed arguments."""

    @classmethod
    @abstractmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the command's arguments."""

    @classmethod
    @abstractmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'Command':
        """Returns the command for parsed arguments."""

    @abstractmethod
    def run(self) -> ExitCode:
        """Runs the command and prints its result."""


@frozen
class CommandEntry:
    """A registered command with its name and its summary."""

    name: str
    summary: str
    command: type[Command]


_COMMANDS: dict[str, CommandEntry] = {}

CommandT = TypeVar('CommandT', bound=type[Command])


@frozen
class Registration:
    """Decorator that registers a class as a command."""

    name: str
    summary: str

    def __call__(self, command: CommandT) -> CommandT:
        """Adds the class to the registry and returns it unchanged."""
        _COMMANDS[self.name] = CommandEntry(self.name, self.summary, command)
        return command


def register(name: str, summary: str) -> Registration:
    """Returns a decorator that registers a class as the command `name`."""
    return Registration(name, summary)


def list_commands() -> Iterator[CommandEntry]:
    """Yields every command, sorted by name."""
    for name in sorted(_COMMANDS):
        yield _COMMANDS[name]
