"""Puts published parts together into a configuration.

Parts are named by the SHA-256 digest of their text, so a part that is
already held is never read again, and a part from a peer is as good as one
from the platform.
"""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass

from jacinthcroft_config import (
    Configuration,
    Faults,
    Service,
    join_services,
    load_service,
)

from jacinthcroft_daemon.internal.fleet.view import PublishedText


@dataclass(frozen=True)
class MissingParts:
    """The bundle names parts that are not held yet."""

    digests: tuple[str, ...]


@dataclass(frozen=True)
class UnusableBundle:
    """The bundle is refused as a whole; the one in force stays."""

    detail: str


AssemblyOutcome = Configuration | MissingParts | UnusableBundle


class PartStore:
    """The parts of the bundle in force and of the one being fetched."""

    def __init__(self) -> None:
        """Starts empty."""
        self._texts: dict[str, str] = {}
        self._services: dict[str, Service | Faults] = {}

    def add(self, text: str) -> str:
        """Keeps a part under its own digest, which it returns."""
        digest = hashlib.sha256(text.encode()).hexdigest()
        self._texts[digest] = text
        return digest

    def texts(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Returns the parts that are held, of those asked for."""
        found = (self._texts.get(digest) for digest in digests)
        return tuple(text for text in found if text is not None)

    def assemble(self, bundle: PublishedText) -> AssemblyOutcome:
        """Returns the configuration, or what stands in its way."""
        index = _read_index(bundle.text)
        if index is None:
            return UnusableBundle('bundle:services: not a table of digests')
        missing = tuple(
            digest for digest in index.values() if digest not in self._texts
        )
        if missing:
            return MissingParts(missing)
        return self._join(bundle.revision, index)

    def keep_only(self, bundle: PublishedText) -> None:
        """Drops the parts that the bundle in force does not name."""
        digests = set((_read_index(bundle.text) or {}).values())
        for digest in set(self._texts) - digests:
            self._texts.pop(digest)
            self._services.pop(digest, None)

    def _join(
        self,
        revision: int,
        index: dict[str, str],
    ) -> Configuration | UnusableBundle:
        services: list[tuple[str, Service]] = []
        for name, digest in index.items():
            loaded = self._loaded(name, digest)
            if isinstance(loaded, Faults):
                return UnusableBundle(str(loaded.faults[0]))
            services.append((name, loaded))
        joined = join_services(revision, services)
        if isinstance(joined, Faults):
            return UnusableBundle(str(joined.faults[0]))
        return joined

    def _loaded(self, name: str, digest: str) -> Service | Faults:
        # Of 1,300 services one changes at a time; the others are not parsed
        # again.
        loaded = self._services.get(digest)
        if loaded is None:
            loaded = load_service(self._texts[digest], f'{name}.toml')
            self._services[digest] = loaded
        return loaded


def _read_index(text: str) -> dict[str, str] | None:
    try:
        services = json.loads(text)['services']
    except (ValueError, KeyError, TypeError):
        return None
    if not isinstance(services, dict):
        return None
    if not all(isinstance(digest, str) for digest in services.values()):
        return None
    return services
