"""Runs one VM of a fleet that finds itself through seeds.

A platform's adapter builds the settings and a `Deployment` and calls
`run_vm`; everything else is the product's.
"""

import asyncio
import contextlib
import random
import signal
from collections.abc import Callable
from typing import Final

from jacinthcroft_daemon.internal.seeded.deployment import (
    Deployment,
    HeaderNames,
    ReadFailure,
    ReadResult,
    SeededSettings,
    Store,
    Translator,
)
from jacinthcroft_daemon.internal.seeded.vm import SeededVm
from jacinthcroft_daemon.internal.telemetry.events import log_event
from jacinthcroft_daemon.internal.telemetry.stdout_lines import log_to_stdout

__all__ = (
    'Deployment',
    'HeaderNames',
    'ReadFailure',
    'ReadResult',
    'SeededSettings',
    'Store',
    'Translator',
    'log_event',
    'run_vm',
)


# Seconds between looks at the settings, which may change without a signal.
RELOAD_SECONDS: Final = 2.0

ReadSettings = Callable[[], SeededSettings]


def run_vm(
    settings: SeededSettings,
    read_settings: ReadSettings,
    connect: Callable[[], Deployment],
) -> None:
    """Runs a VM until a signal stops it.

    `read_settings` is called again when they may have changed, and raises
    OSError or ValueError when they are no use; the last ones stay then.
    `connect` is called inside the event loop.
    """
    log_to_stdout(settings.name)
    asyncio.run(_serve(settings, read_settings, connect))


async def _serve(
    settings: SeededSettings,
    read_settings: ReadSettings,
    connect: Callable[[], Deployment],
) -> None:
    stopping = asyncio.Event()
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    vm = SeededVm.from_config(settings, connect(), random.Random())
    reloading = asyncio.create_task(
        _reload(vm, settings, read_settings, changed),
    )
    try:
        await vm.run(stopping)
    finally:
        reloading.cancel()


async def _reload(
    vm: SeededVm,
    settings: SeededSettings,
    read_settings: ReadSettings,
    changed: asyncio.Event,
) -> None:
    """Hands changed settings to the VM."""
    last_fault = ''
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), RELOAD_SECONDS)
        changed.clear()
        try:
            found = read_settings()
        except (OSError, ValueError) as error:
            if str(error) != last_fault:
                log_event('error', 'settings-unreadable', detail=str(error))
            last_fault = str(error)
            continue
        last_fault = ''
        if found != settings:
            settings = found
            vm.reload(found)
