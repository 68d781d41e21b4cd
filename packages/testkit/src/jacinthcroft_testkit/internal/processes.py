"""Processes that one test started, ended by their ids and nobody else's."""

import asyncio
import pathlib
import signal
import sys
from collections.abc import Mapping, Sequence

from attrs import define, field

READY_TIMEOUT_SECONDS = 20.0
_LOG_TAIL_CHARACTERS = 2000


class ProcessError(Exception):
    """A process did not start, or ended before its time."""


@define(eq=False)
class ManagedProcess:
    """One process; what it writes to stderr goes to a log file."""

    name: str
    process: asyncio.subprocess.Process
    log_path: pathlib.Path

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended and been waited for."""
        return self.process.returncode is not None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if not self.has_ended:
            self.process.send_signal(number)

    async def wait(self, timeout: float = READY_TIMEOUT_SECONDS) -> int:
        """Waits for the end and returns the exit code.

        Raises:
            ProcessError: If the process runs on.
        """
        try:
            async with asyncio.timeout(timeout):
                return await self.process.wait()
        except TimeoutError:
            raise ProcessError(f'{self.name} runs on') from None

    async def read_ready_line(self) -> str:
        """Returns what follows `ready` on stdout.

        Raises:
            ProcessError: If no such line comes.
        """
        assert self.process.stdout is not None, 'started without a pipe'
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                line = await self.process.stdout.readline()
        except TimeoutError:
            line = b''
        word, _, address = line.decode().strip().partition(' ')
        if word != 'ready':
            raise ProcessError(f'{self.name} not ready: {self.log_tail()}')
        return address

    def log_tail(self) -> str:
        """Returns the end of the log."""
        return self.log_path.read_text()[-_LOG_TAIL_CHARACTERS:]


@define(eq=False)
class ProcessGroup:
    """All processes of one test."""

    folder: pathlib.Path
    _processes: list[ManagedProcess] = field(factory=list, init=False)

    async def start(
        self,
        name: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
        *,
        has_ready_line: bool,
    ) -> ManagedProcess:
        """Starts this Python with the arguments; the log is appended to."""
        log_path = self.folder / f'{name}.log'
        pipe = asyncio.subprocess.PIPE
        with log_path.open('a') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=pipe if has_ready_line else log,
                stderr=log,
                env=environment,
            )
        managed = ManagedProcess(name, process, log_path)
        self._processes.append(managed)
        return managed

    async def end_all(self) -> None:
        """Kills every process that still runs and waits for its end."""
        for process in self._processes:
            process.signal(signal.SIGKILL)
        for process in self._processes:
            await process.wait()
