"""What the platform stand-in has published, revision by revision.

A `Publisher` numbers everything it publishes with one rising revision. A
reader sees the newest value, or the newest up to the revision that it is
pinned to, which is how a stale or reverted platform is played.
"""

import fnmatch
import hashlib
import json
from collections.abc import Mapping

from attrs import define, field, frozen

VALUE_LIMIT_BYTES = 1_000_000
_BUNDLE = 'bundle'
_VM_LIST = 'vms'
_PART_PREFIX = 'part-'


@frozen
class Published:
    """A value at one revision."""

    revision: int
    value: str


@define
class Publisher:
    """Everything published so far and each reader's pin."""

    _histories: dict[str, list[Published]] = field(factory=dict, init=False)
    _revision: int = field(default=0, init=False)
    _pins: dict[str, int] = field(factory=dict, init=False)

    @property
    def revision(self) -> int:
        """The newest revision of all."""
        return self._revision

    def publish_services(self, texts: Mapping[str, str]) -> int:
        """Publishes the whole set of service files, by service name.

        Returns:
            The configuration's revision.
        """
        digests = {name: _digest(text) for name, text in texts.items()}
        for name, text in texts.items():
            self._put(_PART_PREFIX + digests[name], text)
        return self._put(_BUNDLE, json.dumps({'services': digests}))

    def publish_vms(self, vm_list: str) -> int:
        """Publishes the VM list, already JSON, and returns its revision."""
        return self._put(_VM_LIST, vm_list)

    def pin(self, readers: str, revision: int | None) -> None:
        """Freezes the readers of a pattern at a revision; None frees them."""
        if revision is None:
            self._pins.pop(readers, None)
        else:
            self._pins[readers] = revision

    def read(self, name: str, reader: str) -> Published | None:
        """Returns what a reader sees of a value, None if nothing."""
        limit = self._limit_of(reader)
        return next(
            (
                published
                for published in reversed(self._histories.get(name, []))
                if published.revision <= limit
            ),
            None,
        )

    def _limit_of(self, reader: str) -> int:
        pins = (
            revision
            for pattern, revision in self._pins.items()
            if fnmatch.fnmatch(reader, pattern)
        )
        return min(pins, default=self._revision)

    def _put(self, name: str, value: str) -> int:
        if len(value.encode()) >= VALUE_LIMIT_BYTES:
            raise ValueError(f'value {name} exceeds the limit')
        self._revision += 1
        history = self._histories.setdefault(name, [])
        history.append(Published(self._revision, value))
        return self._revision


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
