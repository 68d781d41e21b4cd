"""The stand-in processes as a test steers them."""

from collections.abc import Mapping, Sequence
from typing import ClassVar, Self, TypeVar

from attrs import define
from jacinthcroft_config import Address, Problem, parse_address
from jacinthcroft_http import ConnectionPool

from jacinthcroft_testkit.internal.control import Count, Done, ask
from jacinthcroft_testkit.internal.link_messages import (
    AddLinks,
    LinkPorts,
    ReadTraffic,
    SetLinks,
    Traffic,
)
from jacinthcroft_testkit.internal.links import (
    BOTH_DIRECTIONS,
    Direction,
    Setting,
)
from jacinthcroft_testkit.internal.platform_messages import (
    Availability,
    Calls,
    CountCalls,
    Pin,
    PublishServices,
    PublishVms,
    Revision,
    Treat,
)
from jacinthcroft_testkit.internal.processes import ProcessGroup
from jacinthcroft_testkit.internal.target_messages import (
    AddTargets,
    Faults,
    Journal,
    ReadJournal,
    Restart,
    SetFaults,
    TargetPorts,
    Traits,
    TurnCold,
)

_Reply = TypeVar('_Reply')


@define(eq=False)
class StandIn:
    """A running stand-in and its control port."""

    MODULE: ClassVar[str] = ''

    address: Address
    _pool: ConnectionPool

    @classmethod
    async def start(
        cls,
        processes: ProcessGroup,
        pool: ConnectionPool,
        name: str = '',
    ) -> Self:
        """Starts the stand-in's process and waits for its ready line."""
        process = await processes.start(
            name or cls.MODULE,
            ('-m', f'jacinthcroft_testkit.{cls.MODULE}'),
            has_ready_line=True,
        )
        address = parse_address(await process.read_ready_line())
        assert not isinstance(address, Problem), address
        return cls(address, pool)

    async def _ask(self, message: object, reply: type[_Reply]) -> _Reply:
        return await ask(self._pool, self.address, message, reply)


class PlatformStandIn(StandIn):
    """The platform's configuration service."""

    MODULE = 'platform'

    async def publish_services(self, texts: Mapping[str, str]) -> int:
        """Publishes all service files and returns the revision."""
        reply = await self._ask(PublishServices(dict(texts)), Revision)
        return reply.revision

    async def publish_vms(self, vm_list: str) -> int:
        """Publishes the VM list (JSON) and returns the revision."""
        reply = await self._ask(PublishVms(vm_list), Revision)
        return reply.revision

    async def pin(self, readers: str, revision: int | None) -> None:
        """Freezes readers at a revision; None frees them."""
        await self._ask(Pin(readers, revision), Done)

    async def treat(
        self,
        readers: str,
        availability: Availability,
        delay_ms: int = 0,
    ) -> None:
        """Sets how the readers of a pattern are treated from now on."""
        await self._ask(Treat(readers, availability, delay_ms), Done)

    async def count_calls(self) -> tuple[int, ...]:
        """Returns the calls of each second since the first one."""
        return (await self._ask(CountCalls(), Calls)).per_second


class TargetStandIns(StandIn):
    """A process of targets."""

    MODULE = 'target'

    async def add(
        self,
        names: Sequence[str],
        traits: Traits,
        seed: int = 0,
    ) -> dict[str, str]:
        """Creates targets and returns `host:port` by name."""
        message = AddTargets(tuple(names), traits, seed)
        return (await self._ask(message, TargetPorts)).ports

    async def set_faults(self, pattern: str, faults: Faults) -> int:
        """Sets what is wrong with targets; returns how many fitted."""
        return (await self._ask(SetFaults(pattern, faults), Count)).count

    async def turn_cold(self, pattern: str) -> int:
        """Makes targets cold without a sign; returns how many fitted."""
        return (await self._ask(TurnCold(pattern), Count)).count

    async def restart(self, pattern: str) -> int:
        """Crashes targets, which come back; returns how many fitted."""
        return (await self._ask(Restart(pattern), Count)).count

    async def read_journal(self, pattern: str = '*') -> Journal:
        """Returns what ran."""
        return await self._ask(ReadJournal(pattern), Journal)


class FaultProxyStandIn(StandIn):
    """The faulty network."""

    MODULE = 'faultproxy'

    async def add(self, destinations: Mapping[str, str]) -> dict[str, str]:
        """Creates links and returns `host:port` by name."""
        return (await self._ask(AddLinks(dict(destinations)), LinkPorts)).ports

    async def set(
        self,
        pattern: str,
        setting: Setting,
        directions: Sequence[Direction] = BOTH_DIRECTIONS,
    ) -> int:
        """Changes links; returns how many fitted the pattern."""
        message = SetLinks(pattern, setting, tuple(directions))
        return (await self._ask(message, Count)).count

    async def read_traffic(self, pattern: str = '*') -> dict[str, int]:
        """Returns the bytes that went through each link."""
        reply = await self._ask(ReadTraffic(pattern), Traffic)
        return reply.passed_bytes
