"""The published form of all service files: an index and its parts.

A part is the text of one service file. The index holds the SHA-256 of each
service's part, so a VM that has the index can verify every part.
"""

import hashlib
import json
from collections.abc import Mapping

from attrs import frozen

from jacinthcroft_config.internal.checkers import (
    Checker,
    Name,
    Problem,
    format_value,
)
from jacinthcroft_config.internal.configurations import (
    ServiceFile,
    load_configuration,
)
from jacinthcroft_config.internal.documents import parse_json, report_size
from jacinthcroft_config.internal.faults import FaultCollector, Faults
from jacinthcroft_config.internal.models import Configuration
from jacinthcroft_config.internal.tables import join_key, require_table

INDEX_NAME = 'bundle'

_DIGEST_LENGTH = 64
_HEX_DIGITS = frozenset('0123456789abcdef')


@frozen
class BundlePart:
    """One service's entry in the index."""

    service: str
    digest: str

    @property
    def value_name(self) -> str:
        """Name under which the platform publishes the part."""
        return f'part-{self.digest}'


@frozen
class BundleIndex:
    """The parts of a bundle, sorted by service."""

    parts: tuple[BundlePart, ...]

    def to_json(self) -> str:
        """Returns the published text of the index."""
        services = {part.service: part.digest for part in self.parts}
        return json.dumps({'services': services}, indent=2)


@frozen
class Bundle:
    """An index, and the texts of its parts by digest."""

    index: BundleIndex
    texts: Mapping[str, str]


def make_bundle(files: tuple[ServiceFile, ...]) -> Bundle | Faults:
    """Returns the bundle of all files, or every fault in them."""
    configuration = load_configuration(0, files)
    if isinstance(configuration, Faults):
        return configuration
    texts = {digest_of(file.text): file.text for file in files}
    names = [service.name for service in configuration.services]
    index = BundleIndex(
        tuple(
            BundlePart(name, digest)
            for name, digest in sorted(zip(names, texts, strict=True))
        ),
    )
    collector = FaultCollector(INDEX_NAME)
    report_size(collector, index.to_json())
    return Bundle(index, texts) if collector.is_empty else collector.faults


def load_bundle_index(text: str, source: str) -> BundleIndex | Faults:
    """Returns a published index, or every fault in it."""
    collector = FaultCollector(source)
    document = parse_json(collector, text)
    if not collector.is_empty:
        return collector.faults
    top = require_table(collector, '', document)
    services = require_table(collector, 'services', top.get('services'))
    parts = [
        _read_part(collector, service, digest)
        for service, digest in sorted(services.items())
    ]
    return BundleIndex(tuple(parts)) if collector.is_empty else collector.faults


def load_bundle(
    revision: int,
    index: BundleIndex,
    texts: Mapping[str, str],
) -> Configuration | Faults:
    """Loads the configuration of an index from its parts by digest.

    A part is a fault if it is missing, does not match its digest or holds
    another service: a VM must not serve an incomplete revision.
    """
    collector = FaultCollector(INDEX_NAME)
    for part in index.parts:
        text = texts.get(part.digest)
        if text is None or digest_of(text) != part.digest:
            collector.report(
                join_key('services', part.service),
                'its part is missing or another text',
                'publish all parts of the bundle again',
            )
    if not collector.is_empty:
        return collector.faults
    configuration = load_configuration(
        revision,
        tuple(
            ServiceFile(entry.value_name, texts[entry.digest])
            for entry in index.parts
        ),
    )
    if isinstance(configuration, Faults):
        return configuration
    _check_services(collector, index, configuration)
    return configuration if collector.is_empty else collector.faults


def _check_services(
    collector: FaultCollector,
    index: BundleIndex,
    configuration: Configuration,
) -> None:
    for part, service in zip(index.parts, configuration.services, strict=True):
        if part.service != service.name:
            collector.report(
                join_key('services', part.service),
                f'its part is of the service {service.name!r}',
                'publish what `jacinthcroft bundle` wrote',
            )


def digest_of(text: str) -> str:
    """Returns the lower-case hexadecimal SHA-256 of a part's text."""
    return hashlib.sha256(text.encode('utf-8', 'surrogatepass')).hexdigest()


@frozen
class _Digest(Checker):
    """A SHA-256 in hexadecimal digits."""

    @property
    def expected(self) -> str:
        """Describes the accepted values."""
        return f'{_DIGEST_LENGTH} lower-case hexadecimal digits'

    def check(self, raw: object) -> object:
        """Returns the digits, or a `Problem`."""
        if not isinstance(raw, str) or len(raw) != _DIGEST_LENGTH:
            return Problem(f'{format_value(raw)} is not accepted')
        if not _HEX_DIGITS.issuperset(raw):
            return Problem(f'{format_value(raw)} is not accepted')
        return raw


def _read_part(
    collector: FaultCollector, service: str, digest: object
) -> BundlePart:
    for checker, raw in ((Name(), service), (_Digest(), digest)):
        checked = checker.check(raw)
        if isinstance(checked, Problem):
            collector.report(
                join_key('services', service),
                checked.text,
                f'publish {checker.expected}',
            )
    return BundlePart(service, str(digest))
