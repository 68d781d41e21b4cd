"""Holds back repeats of the same log event."""

from collections import OrderedDict
from typing import Self

from attrs import define, frozen

from jacinthcroft_daemon.internal.telemetry.events import Level, log_event


@frozen
class Admission:
    """Whether an event is written now.

    `suppressed` counts its repeats that were not, since it last was.
    """

    is_admitted: bool
    suppressed: int = 0


@frozen
class Suppression:
    """Repeats of an event that were held back and never mentioned."""

    event: str
    subject: str
    count: int


@define
class _Repeats:
    """When an event was last written, and what was held back since."""

    written_at: float
    suppressed: int = 0


class RepeatLimiter:
    """Admits each pair of event and subject once an interval."""

    def __init__(self, interval: float, capacity: int) -> None:
        """Remembers the latest `capacity` pairs; `interval` is in seconds."""
        self._interval = interval
        self._capacity = capacity
        self._repeats: OrderedDict[tuple[str, str], _Repeats] = OrderedDict()

    @classmethod
    def from_interval(cls, interval: float, capacity: int = 1024) -> Self:
        """Makes a limiter with an interval in seconds."""
        return cls(interval, capacity)

    def admit(self, event: str, subject: str, now: float) -> Admission:
        """Decides whether an event about a subject is written at a time."""
        pair = (event, subject)
        repeats = self._repeats.get(pair)
        if repeats is None:
            self._remember(pair, now)
            return Admission(is_admitted=True)
        if now < repeats.written_at + self._interval:
            repeats.suppressed += 1
            return Admission(is_admitted=False)
        suppressed = repeats.suppressed
        repeats.written_at = now
        repeats.suppressed = 0
        self._repeats.move_to_end(pair)
        return Admission(is_admitted=True, suppressed=suppressed)

    def take_overdue(self, now: float) -> tuple[Suppression, ...]:
        """Returns what was held back by intervals that have passed.

        An event that never comes again would not be mentioned otherwise.
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
    """Logs events, each pair of event and subject once an interval."""

    def __init__(self, limiter: RepeatLimiter) -> None:
        """Asks a limiter about every event."""
        self._limiter = limiter

    @classmethod
    def from_interval(cls, interval: float) -> Self:
        """Makes a log that repeats itself once in some seconds."""
        return cls(RepeatLimiter.from_interval(interval))

    def log(
        self,
        level: Level,
        event: str,
        subject: str,
        now: float,
        **fields: object,
    ) -> None:
        """Logs an event about a subject unless it was just logged."""
        admission = self._limiter.admit(event, subject, now)
        if not admission.is_admitted:
            return
        if admission.suppressed:
            fields['suppressed'] = admission.suppressed
        log_event(level, event, subject=subject, **fields)

    def log_overdue(self, now: float) -> None:
        """Logs how often events that came no more were held back."""
        for overdue in self._limiter.take_overdue(now):
            log_event(
                'info',
                'suppressed',
                of=overdue.event,
                subject=overdue.subject,
                count=overdue.count,
            )
