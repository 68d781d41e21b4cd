"""Faults that a check finds in a file, as values.

Every fault names the file, the key in it, what is wrong and what to write
instead, so that an operator can correct a file without reading this code.
"""

from dataclasses import dataclass


def replace_unprintable(text: str) -> str:
    """Returns a text with `?` for line breaks and control characters."""
    return ''.join(char if char.isprintable() else '?' for char in text)


@dataclass(frozen=True)
class Fault:
    """One thing wrong in one file; `key` is empty for the file as a whole."""

    file: str
    key: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Returns `file:key: what is wrong, what to write instead`."""
        location = f'{self.file}:{self.key}' if self.key else self.file
        return replace_unprintable(f'{location}: {self.problem}, {self.remedy}')


@dataclass(frozen=True)
class Faults:
    """All faults of one check, in the order in which they were found."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """Returns one line for each fault."""
        return '\n'.join(str(fault) for fault in self.faults)


class FaultCollector:
    """Collects the faults of one file while it is read."""

    def __init__(self, file_name: str) -> None:
        """Starts without faults."""
        self.file_name = file_name
        self._faults: list[Fault] = []

    @property
    def is_empty(self) -> bool:
        """Whether no fault was reported so far."""
        return not self._faults

    @property
    def faults(self) -> Faults:
        """All reported faults, in order."""
        return Faults(tuple(self._faults))

    def report(self, key: str, problem: str, remedy: str) -> None:
        """Adds a fault of this file."""
        self._faults.append(Fault(self.file_name, key, problem, remedy))
