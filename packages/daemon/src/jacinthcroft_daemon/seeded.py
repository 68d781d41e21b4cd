"""Runs one VM of a fleet that finds itself through seeds.

A platform's adapter builds the settings and a `Deployment` and calls
`run_vm`; everything else is the product's.
"""

import asyncio
import random
import signal
from collections.abc import Callable

from jacinthcroft_daemon.internal.seeded.deployment import (
    Deployment,
    Dialect,
    ReadFailure,
    Reading,
    SeededSettings,
    Store,
    Translator,
)
from jacinthcroft_daemon.internal.seeded.vm import SeededVm
from jacinthcroft_daemon.internal.telemetry.events import log_event
from jacinthcroft_daemon.internal.telemetry.stdout_lines import log_to_stdout

__all__ = (
    'Deployment',
    'Dialect',
    'ReadFailure',
    'Reading',
    'SeededSettings',
    'Store',
    'Translator',
    'log_event',
    'run_vm',
)


def run_vm(
    settings: SeededSettings,
    connect: Callable[[], Deployment],
) -> None:
    """Runs a VM until a signal stops it.

    `connect` is called inside the event loop.
    """
    log_to_stdout(settings.name)
    asyncio.run(_serve(settings, connect))


async def _serve(
    settings: SeededSettings,
    connect: Callable[[], Deployment],
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    source = random.Random()
    await SeededVm.from_config(settings, connect(), source).run(stopping)
