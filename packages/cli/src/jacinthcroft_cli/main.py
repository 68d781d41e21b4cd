"""The operators' command line: `jacinthcroft COMMAND`.

Each command has its own module, which registers the command on import.
"""

import argparse
import sys
from collections.abc import Sequence

from jacinthcroft_cli.internal import (
    bundle,
    check,
    explain,
    key,
    settings,
    status,
)
from jacinthcroft_cli.internal.registry import Command, list_commands

COMMAND_MODULES = (bundle, check, explain, key, settings, status)

_DESCRIPTION = 'Checks and publishes service files, and asks a fleet of VMs.'
_EPILOG = """\
exit codes:
  0  done, nothing wrong
  1  the answer is no: for instance, no VM knows the request
  2  bad input: a fault in a file or an argument
  3  at least one VM could not be reached

a first round:
  jacinthcroft key new                      make a key for a team
  jacinthcroft settings --service-file      what a service file may say
  jacinthcroft check transfers.toml         is the file right?
  jacinthcroft bundle services --out out    make the values to publish
  jacinthcroft status 127.0.0.1:7003        what is a VM doing?
"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Parses the arguments and runs the command; returns its exit code."""
    parsed = build_parser().parse_args(arguments)
    command: Command = parsed.command.from_arguments(parsed)
    return int(command.run())


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of all registered commands."""
    parser = argparse.ArgumentParser(
        prog='jacinthcroft',
        description=_DESCRIPTION,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(metavar='COMMAND', required=True)
    for entry in list_commands():
        subparser = commands.add_parser(
            entry.name,
            help=entry.summary,
            description=entry.summary,
        )
        entry.command.add_arguments(subparser)
        subparser.set_defaults(command=entry.command)
    return parser


if __name__ == '__main__':
    sys.exit(main())
