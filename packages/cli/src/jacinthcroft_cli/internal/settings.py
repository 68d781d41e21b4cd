"""`jacinthcroft settings`: documents the keys of each kind of file."""

import argparse

from attrs import frozen
from jacinthcroft_config import describe_service_file, describe_settings

from jacinthcroft_cli.internal.registry import Command, ExitCode, register


@register('settings', 'Print what settings and service files may say.')
@frozen
class SettingsCommand(Command):
    """Prints keys, accepted values, defaults and meanings as Markdown."""

    describes_service_file: bool

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares which kind of file to describe."""
        parser.add_argument(
            '--service-file',
            action='store_true',
            help='describe service files instead of the settings of a VM',
        )

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'SettingsCommand':
        """Returns the command for parsed arguments."""
        return cls(arguments.service_file)

    def run(self) -> ExitCode:
        """Prints the description of every key."""
        describe = (
            describe_service_file
            if self.describes_service_file
            else describe_settings
        )
        print(describe())
        return ExitCode.OK
