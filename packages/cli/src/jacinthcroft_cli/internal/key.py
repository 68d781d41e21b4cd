"""`jacinthcroft key`: creates a key, or hashes one for a service file."""

import argparse
import secrets
import sys

from attrs import frozen
from jacinthcroft_config import hash_key

from jacinthcroft_cli.internal.registry import Command, ExitCode, register

KEY_LENGTH_BYTES = 32


@register('key', 'Make a new key, or hash one for a service file.')
@frozen
class KeyCommand(Command):
    """Prints the line of a service file that accepts a caller's key."""

    action: str

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Declares the choice between a new key and a hash."""
        parser.add_argument(
            'action',
            choices=('new', 'hash'),
            help='new: make a key, print it and its hash; hash: read a key '
            'from standard input and print its hash',
        )

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> 'KeyCommand':
        """Returns the command for parsed arguments."""
        return cls(arguments.action)

    def run(self) -> ExitCode:
        """Prints the hash of the key, and the key itself if it is new."""
        if self.action == 'new':
            key = secrets.token_urlsafe(KEY_LENGTH_BYTES)
            print(f'key for the caller, shown only here: {key}')
        else:
            key = sys.stdin.readline().strip()
        if not key:
            print('no key on standard input', file=sys.stderr)
            return ExitCode.BAD_INPUT
        print(f'keys = ["sha256:{hash_key(key)}"]')
        return ExitCode.OK
