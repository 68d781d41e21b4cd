"""Assembles the configuration from the published parts of a bundle.

A bundle names one part for each service by the SHA-256 digest of its text. A
part that this VM already has is not fetched again, and a part from a peer is
equal to one from the platform.
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
    """This VM lacks parts that the bundle names."""

    digests: tuple[str, ...]


@dataclass(frozen=True)
class InvalidBundle:
    """The bundle is refused as a whole; the one in force stays in force."""

    detail: str


AssemblyResult = Configuration | MissingParts | InvalidBundle


class PartStore:
    """The parts of the bundle in force and of the bundle being fetched."""

    def __init__(self) -> None:
        """Starts without parts."""
        self._texts: dict[str, str] = {}
        self._services: dict[str, Service | Faults] = {}

    def add(self, text: str) -> str:
        """Adds a part and returns its digest."""
        digest = digest_of(text)
        self._texts[digest] = text
        return digest

    def find_texts(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Returns the texts of those parts that this VM has."""
        texts = (self._texts.get(digest) for digest in digests)
        return tuple(text for text in texts if text is not None)

    def assemble(self, bundle: PublishedText) -> AssemblyResult:
        """Returns the configuration, or why it cannot be assembled."""
        index = load_bundle_index(bundle.text, INDEX_NAME)
        if isinstance(index, Faults):
            return InvalidBundle(str(index.faults[0]))
        missing = tuple(
            part.digest
            for part in index.parts
            if part.digest not in self._texts
        )
        if missing:
            return MissingParts(missing)
        return self._join_parts(bundle.revision, index)

    def discard_other_parts(self, bundle: PublishedText) -> None:
        """Discards the parts that the bundle in force does not name."""
        index = load_bundle_index(bundle.text, INDEX_NAME)
        assert not isinstance(index, Faults), 'the bundle in force is valid'
        named_digests = {part.digest for part in index.parts}
        for digest in set(self._texts) - named_digests:
            self._texts.pop(digest)
            self._services.pop(digest, None)

    def _join_parts(
        self,
        revision: int,
        index: BundleIndex,
    ) -> Configuration | InvalidBundle:
        services: list[tuple[str, Service]] = []
        for part in index.parts:
            service = self._load_service(part)
            if isinstance(service, Faults):
                return InvalidBundle(str(service.faults[0]))
            services.append((part.service, service))
        configuration = join_services(revision, services)
        if isinstance(configuration, Faults):
            return InvalidBundle(str(configuration.faults[0]))
        return configuration

    def _load_service(self, part: BundlePart) -> Service | Faults:
        # Of 1,300 services, usually only one changes at a time. The parsed
        # services are cached, so that the others are not parsed again.
        service = self._services.get(part.digest)
        if service is None:
            text = self._texts[part.digest]
            service = load_service(text, f'{part.service}.toml')
            self._services[part.digest] = service
        return service
