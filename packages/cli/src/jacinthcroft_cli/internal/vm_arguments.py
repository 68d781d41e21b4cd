"""The arguments of every command that asks VMs."""

import argparse

from jacinthcroft_config import Address, Problem, parse_address

TIMEOUT_SECONDS = 3.0
MAX_TIMEOUT_SECONDS = 600.0


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
        type=read_timeout,
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


def read_timeout(text: str) -> float:
    """Returns the seconds of an argument.

    Raises:
        ArgumentTypeError: The text is no number above 0 and in bounds.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0
    # A NaN fails this comparison as well.
    if 0 < seconds <= MAX_TIMEOUT_SECONDS:
        return seconds
    raise argparse.ArgumentTypeError(f'{text!r} is no time to wait')
