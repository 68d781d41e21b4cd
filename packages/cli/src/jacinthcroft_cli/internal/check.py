"""`jacinthcroft check`: prints every fault of service files."""

import argparse
from pathlib import Path

from attrs import frozen
from jacinthcroft_config import Faults, load_configuration

from jacinthcroft_cli.internal.files import read_service_files
from jacinthcroft_cli.internal.registry import Command, ExitCode, register


@register('check', 'Check service files and tell every fault in them.')
@frozen
class CheckCommand(Command):
    """Checks each file, then all of them against each other."""

    files: tuple[Path, ...]

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the service files to check."""
        parser.add_argument(
            'files',
            metavar='FILE',
            nargs='+',
            type=Path,
            help='a service file (TOML)',
        )

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'CheckCommand':
        """Returns the command for parsed arguments."""
        return cls(tuple(arguments.files))

    def run(self) -> ExitCode:
        """Prints one line for each fault, or the number of valid services."""
        files = read_service_files(self.files)
        outcome = (
            files if isinstance(files, Faults) else load_configuration(0, files)
        )
        if isinstance(outcome, Faults):
            print(outcome)
            return ExitCode.BAD_INPUT
        print(f'{len(outcome.services)} services, no faults')
        return ExitCode.OK
