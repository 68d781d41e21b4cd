"""The arguments of every command that asks VMs."""

import argparse

from jacinthcroft_config import Address, Problem, parse_address

TIMEOUT_SECONDS = 3.0


def add_vm_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the VMs to ask and how long to wait."""
    parser.add_argument(
        'addresses',
        metavar='ADDRESS',
        nargs='+',
        type=read_address,
        help='operator port of a VM, such as 127.0.0.1:7003',
    )
    parser.add_argument(
        '--timeout',
        metavar='SECONDS',
        type=float,
        default=TIMEOUT_SECONDS,
        help='longest wait for a VM (default: %(default)s)',
    )


def read_address(text: str) -> Address:
    """Returns the address of an argument.

    Raises:
        ArgumentTypeError: The text is no IP number with a port.
    """
    address = parse_address(text)
    if isinstance(address, Problem):
        raise argparse.ArgumentTypeError(address.text)
    return address
