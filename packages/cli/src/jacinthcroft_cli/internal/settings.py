"""`jacinthcroft settings`: prints what the files may say."""

import argparse

from attrs import frozen
from jacinthcroft_config import describe_service_file, describe_settings

from jacinthcroft_cli.internal.registry import Command, ExitCode, register


@register('settings', 'Print what settings and service files may say.')
@frozen
class SettingsCommand(Command):
    """Prints keys, bounds, defaults and meanings as Markdown."""

    is_service_file: bool

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares which file to describe."""
        parser.add_argument(
            '--service-file',
            action='store_true',
            help='describe service files instead of the settings of a VM',
        )

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'SettingsCommand':
        """Reads the command from parsed arguments."""
        return cls(arguments.service_file)

    def run(self) -> ExitCode:
        """Prints the description."""
        describe = (
            describe_service_file if self.is_service_file else describe_settings
        )
        print(describe())
        return ExitCode.OK
