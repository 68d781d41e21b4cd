"""Limits how often the same log event is written."""

from collections import OrderedDict
from typing import Self

from attrs import define, frozen

from jacinthcroft_daemon.internal.telemetry.events import Level, log_event


@frozen
class LogDecision:
    """Whether an event is written now.

    `suppressed` is how many repeats were not written since it last was.
    """

    is_admitted: bool
    suppressed: int = 0


@frozen
class Suppression:
    """Repeats of an event that were not written or reported yet."""

    event: str
    subject: str
    count: int


@define
class _Repeats:
    """When an event was last written, and the repeats suppressed since."""

    written_at: float
    suppressed: int = 0


class RepeatLimiter:
    """Admits each pair of event and subject once per interval."""

    def __init__(self, interval: float, capacity: int) -> None:
        """Remembers the latest `capacity` pairs; `interval` is in seconds."""
        self._interval = interval
        self._capacity = capacity
        self._repeats: OrderedDict[tuple[str, str], _Repeats] = OrderedDict()

    @classmethod
    def from_interval(cls, interval: float, capacity: int = 1024) -> Self:
        """Creates a limiter with an interval in seconds."""
        return cls(interval, capacity)

    def admit(self, event: str, subject: str, now: float) -> LogDecision:
        """Decides whether an event about a subject is written now."""
        pair = (event, subject)
        repeats = self._repeats.get(pair)
        if repeats is None:
            self._remember(pair, now)
            return LogDecision(is_admitted=True)
        if now < repeats.written_at + self._interval:
            repeats.suppressed += 1
            return LogDecision(is_admitted=False)
        suppressed = repeats.suppressed
        repeats.written_at = now
        repeats.suppressed = 0
        self._repeats.move_to_end(pair)
        return LogDecision(is_admitted=True, suppressed=suppressed)

    def take_overdue(self, now: float) -> tuple[Suppression, ...]:
        """Returns and clears the repeats whose intervals have passed.

        The repeats of an event that does not occur again would not be
        reported otherwise.
        """
        overdue = []
        for pair, repeats in self._repeats.items():
            has_passed = now >= repeats.written_at + self._interval
            if has_passed and repeats.suppressed:
                overdue.append(Suppression(*pair, repeats.suppressed))
                repeats.suppressed = 0
        return tuple(overdue)

    def _remember(self, pair: tuple[str, str], now: float) -> None:
        self._repeats[pair] = _Repeats(now)
        if len(self._repeats) > self._capacity:
            self._repeats.popitem(last=False)


class RateLimitedLog:
    """Logs events, each pair of event and subject once per interval."""

    def __init__(self, limiter: RepeatLimiter) -> None:
        """Logs the events that `limiter` admits."""
        self._limiter = limiter

    @classmethod
    def from_interval(cls, interval: float) -> Self:
        """Creates a log with an interval in seconds."""
        return cls(RepeatLimiter.from_interval(interval))

    def log(
        self,
        level: Level,
        event: str,
        subject: str,
        now: float,
        **fields: object,
    ) -> None:
        """Logs an event about a subject, or counts it as suppressed."""
        decision = self._limiter.admit(event, subject, now)
        if not decision.is_admitted:
            return
        if decision.suppressed:
            fields['suppressed'] = decision.suppressed
        log_event(level, event, subject=subject, **fields)

    def log_overdue(self, now: float) -> None:
        """Logs the counts of suppressed events that did not occur again."""
        for overdue in self._limiter.take_overdue(now):
            log_event(
                'info',
                'suppressed',
                of=overdue.event,
                subject=overdue.subject,
                count=overdue.count,
            )
