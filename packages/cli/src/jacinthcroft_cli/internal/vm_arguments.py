"""Arguments shared by the commands that query VMs."""

import argparse

from jacinthcroft_config import Address, Problem, parse_address

DEFAULT_TIMEOUT_SECONDS = 3.0
MAX_TIMEOUT_SECONDS = 600.0


def add_vm_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the VMs to query and the timeout."""
    parser.add_argument(
        'addresses',
        metavar='ADDRESS',
        nargs='+',
        type=parse_address_argument,
        help='operator port of a VM, such as 127.0.0.1:7003',
    )
    parser.add_argument(
        '--timeout',
        metavar='SECONDS',
        type=parse_timeout_argument,
        default=DEFAULT_TIMEOUT_SECONDS,
        help='longest wait for a VM (default: %(default)s)',
    )


def parse_address_argument(text: str) -> Address:
    """Returns the address that an argument holds.

    Raises:
        ArgumentTypeError: The text is not an IP address with a port.
    """
    address = parse_address(text)
    if isinstance(address, Problem):
        raise argparse.ArgumentTypeError(address.text)
    return address


def parse_timeout_argument(text: str) -> float:
    """Returns the timeout in seconds that an argument holds.

    Raises:
        ArgumentTypeError: The text is not a number above 0 and up to
            `MAX_TIMEOUT_SECONDS`.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0
    # The comparison also rejects NaN.
    if 0 < seconds <= MAX_TIMEOUT_SECONDS:
        return seconds
    raise argparse.ArgumentTypeError(f'{text!r} is no time to wait')
