"""Stand-in for back ends: `python -m jacinthcroft_testkit.target`.

One process holds any number of targets, each on its own port. It prints
`ready host:port` of its control port, which takes the messages of
`internal.target_messages`.
"""

import asyncio
import fnmatch
import random

from jacinthcroft_http import now

from jacinthcroft_testkit.internal.control import (
    ControlDesk,
    Count,
    serve_until_stopped,
)
from jacinthcroft_testkit.internal.target_messages import (
    AddTargets,
    Journal,
    ReadJournal,
    Restart,
    SetFaults,
    TargetPorts,
    TurnCold,
)
from jacinthcroft_testkit.internal.target_server import TargetServer
from jacinthcroft_testkit.internal.target_state import TargetState


class TargetHost:
    """Answers the control messages of a process of targets."""

    def __init__(self) -> None:
        """Starts without targets."""
        self._targets: dict[str, TargetServer] = {}
        self.desk = ControlDesk()
        self.desk.register(AddTargets, self._add)
        self.desk.register(SetFaults, self._set_faults)
        self.desk.register(TurnCold, self._turn_cold)
        self.desk.register(Restart, self._restart)
        self.desk.register(ReadJournal, self._read_journal)

    async def _add(self, message: AddTargets) -> TargetPorts:
        ports = {}
        for name in message.names:
            state = TargetState(
                name,
                message.traits,
                random.Random(f'{message.seed} {name}'),
            )
            if message.traits.is_cold_at_start:
                state.turn_cold(now())
            self._targets[name] = TargetServer(state)
            ports[name] = await self._targets[name].start()
        return TargetPorts(ports)

    async def _set_faults(self, message: SetFaults) -> Count:
        fitting = self._fitting(message.pattern)
        for target in fitting:
            target.state.faults = message.faults
        return Count(len(fitting))

    async def _turn_cold(self, message: TurnCold) -> Count:
        fitting = self._fitting(message.pattern)
        for target in fitting:
            target.state.turn_cold(now())
        return Count(len(fitting))

    async def _restart(self, message: Restart) -> Count:
        fitting = self._fitting(message.pattern)
        for target in fitting:
            target.crash()
        return Count(len(fitting))

    async def _read_journal(self, message: ReadJournal) -> Journal:
        states = [target.state for target in self._fitting(message.pattern)]
        return Journal(
            tuple(run for state in states for run in state.runs),
            {state.name: state.sheds for state in states},
            {state.name: state.probes for state in states},
        )

    def _fitting(self, pattern: str) -> list[TargetServer]:
        names = fnmatch.filter(self._targets, pattern)
        return [self._targets[name] for name in names]


def main() -> None:
    """Runs targets until SIGTERM."""
    asyncio.run(_serve())


async def _serve() -> None:
    await serve_until_stopped(TargetHost().desk.handle)


if __name__ == '__main__':
    main()
