"""Puts published parts together into a configuration.

Parts are named by the SHA-256 digest of their text, so a part that is
already held is never read again, and a part from a peer is as good as one
from the platform.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from jacinthcroft_config import (
    INDEX_NAME,
    BundleIndex,
    BundlePart,
    Configuration,
    Faults,
    Service,
    digest_of,
    join_services,
    load_bundle_index,
    load_service,
)

from jacinthcroft_daemon.internal.fleet.list_history import PublishedText


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
        digest = digest_of(text)
        self._texts[digest] = text
        return digest

    def texts(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Returns the parts that are held, of those asked for."""
        found = (self._texts.get(digest) for digest in digests)
        return tuple(text for text in found if text is not None)

    def assemble(self, bundle: PublishedText) -> AssemblyOutcome:
        """Returns the configuration, or what stands in its way."""
        index = load_bundle_index(bundle.text, INDEX_NAME)
        if isinstance(index, Faults):
            return UnusableBundle(str(index.faults[0]))
        missing = tuple(
            part.digest
            for part in index.parts
            if part.digest not in self._texts
        )
        if missing:
            return MissingParts(missing)
        return self._join(bundle.revision, index)

    def keep_only(self, bundle: PublishedText) -> None:
        """Drops the parts that the bundle in force does not name."""
        index = load_bundle_index(bundle.text, INDEX_NAME)
        assert not isinstance(index, Faults), 'only kept once in force'
        named = {part.digest for part in index.parts}
        for digest in set(self._texts) - named:
            self._texts.pop(digest)
            self._services.pop(digest, None)

    def _join(
        self,
        revision: int,
        index: BundleIndex,
    ) -> Configuration | UnusableBundle:
        services: list[tuple[str, Service]] = []
        for part in index.parts:
            loaded = self._loaded(part)
            if isinstance(loaded, Faults):
                return UnusableBundle(str(loaded.faults[0]))
            services.append((part.service, loaded))
        joined = join_services(revision, services)
        if isinstance(joined, Faults):
            return UnusableBundle(str(joined.faults[0]))
        return joined

    def _loaded(self, part: BundlePart) -> Service | Faults:
        # Of 1,300 services one changes at a time; the others are not parsed
        # again.
        loaded = self._services.get(part.digest)
        if loaded is None:
            text = self._texts[part.digest]
            loaded = load_service(text, f'{part.service}.toml')
            self._services[part.digest] = loaded
        return loaded
