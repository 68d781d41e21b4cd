"""Starts the process of one VM: `jacinthcroftd --settings FILE`."""

import argparse
import asyncio
import pathlib
import signal
import sys

from jacinthcroft_config import Faults, Settings, load_settings

from jacinthcroft_daemon.internal.app import VmProcess
from jacinthcroft_daemon.internal.telemetry import set_up_logging

_EXIT_BAD_INPUT = 2


def main() -> int:
    """Runs the daemon; returns 0 after a graceful stop, 2 for bad input."""
    arguments = _parser().parse_args()
    settings = _read_settings(arguments.settings)
    if isinstance(settings, Faults):
        for fault in settings.faults:
            sys.stderr.write(f'{fault}\n')
        return _EXIT_BAD_INPUT
    secret = _read_secret(arguments.settings, settings)
    if secret is None:
        return _EXIT_BAD_INPUT
    set_up_logging(settings.vm.name, settings.log.level.value)
    asyncio.run(_serve(settings, secret))
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='jacinthcroftd',
        description='The process of one VM of the proxy fleet.',
        epilog='Exit codes: 0 graceful stop, 2 bad settings.',
    )
    parser.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help="the VM's settings (TOML); see `jacinthcroft settings`",
    )
    return parser


def _read_settings(file_name: str) -> Settings | Faults:
    try:
        text = pathlib.Path(file_name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return load_settings(f'# {error}', file_name)
    return load_settings(text, file_name)


def _read_secret(file_name: str, settings: Settings) -> bytes | None:
    try:
        secret = pathlib.Path(settings.fleet.secret_file).read_bytes().strip()
    except OSError as error:
        sys.stderr.write(
            f'{file_name}:fleet.secret_file: cannot be read '
            f'({error.strerror}), name a readable file\n',
        )
        return None
    if not secret:
        sys.stderr.write(
            f'{file_name}:fleet.secret_file: the file is empty, '
            'write the secret that all VMs share\n',
        )
        return None
    return secret


async def _serve(settings: Settings, secret: bytes) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await VmProcess(settings, secret).run(stopping)
