"""Runs one VM of a fleet whose VMs find each other through seeds.

A platform's adapter builds the settings and a `Deployment` and calls `run_vm`.
"""

import asyncio
import contextlib
import random
import signal
from collections.abc import Callable
from typing import Final

from jacinthcroft_daemon.internal.seeded.deployment import (
    DEFAULT_RESPONSE_BUFFER_BYTES,
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
    'DEFAULT_RESPONSE_BUFFER_BYTES',
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


# The settings are read this often, since they may change without a signal.
RELOAD_INTERVAL_SECONDS: Final = 2.0

SettingsReader = Callable[[], SeededSettings]


def run_vm(
    settings: SeededSettings,
    read_settings: SettingsReader,
    connect: Callable[[], Deployment],
) -> None:
    """Runs a VM until SIGTERM or SIGINT; SIGHUP reloads the settings.

    Args:
        settings: The settings to start with.
        read_settings: Reads the current settings. If it raises OSError or
            ValueError, the last valid settings stay in force.
        connect: Builds the deployment; called inside the event loop.
    """
    log_to_stdout(settings.name)
    asyncio.run(_serve(settings, read_settings, connect))


async def _serve(
    settings: SeededSettings,
    read_settings: SettingsReader,
    connect: Callable[[], Deployment],
) -> None:
    stopping = asyncio.Event()
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    vm = SeededVm.from_config(settings, connect(), random.Random())
    reload_task = asyncio.create_task(
        _reload_settings(vm, settings, read_settings, reload_requested),
    )
    try:
        await vm.run(stopping)
    finally:
        reload_task.cancel()


async def _reload_settings(
    vm: SeededVm,
    settings: SeededSettings,
    read_settings: SettingsReader,
    reload_requested: asyncio.Event,
) -> None:
    """Reads the settings at intervals and passes changed ones to the VM."""
    last_error = ''
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                reload_requested.wait(), RELOAD_INTERVAL_SECONDS
            )
        reload_requested.clear()
        try:
            new_settings = read_settings()
        except (OSError, ValueError) as error:
            if str(error) != last_error:
                log_event('error', 'settings-unreadable', detail=str(error))
            last_error = str(error)
            continue
        last_error = ''
        if new_settings != settings:
            settings = new_settings
            vm.reload(new_settings)
