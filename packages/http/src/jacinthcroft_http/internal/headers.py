"""Header fields of a message, in the order received."""

from collections.abc import Iterable
from typing import Self

from attrs import frozen

Header = tuple[bytes, bytes]

# From RFC 9110, section 7.6.1, plus older names that are still in use.
HOP_BY_HOP_NAMES = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
_CHARSET = 'latin-1'


@frozen
class Headers:
    """Header fields as (lower-case name, value) pairs."""

    pairs: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_wire(cls, raw: Iterable[Header]) -> Self:
        """Decodes the (name, value) byte pairs of a received message."""
        return cls(
            tuple(
                [
                    (name.decode(_CHARSET).lower(), value.decode(_CHARSET))
                    for name, value in raw
                ]
            ),
        )

    def get(self, name: str) -> str | None:
        """Returns the first value under a lower-case name, or None."""
        for key, value in self.pairs:
            if key == name:
                return value
        return None

    def get_all(self, name: str) -> tuple[str, ...]:
        """Returns all values under a lower-case name."""
        return tuple(value for key, value in self.pairs if key == name)

    def without(self, *names: str) -> 'Headers':
        """Returns the headers except those with the given names."""
        return Headers(
            tuple(pair for pair in self.pairs if pair[0] not in names),
        )

    def with_added(self, *pairs: tuple[str, str]) -> 'Headers':
        """Returns the headers with the pairs appended."""
        return Headers(self.pairs + pairs)

    def to_wire(self) -> list[Header]:
        """Encodes the pairs as h11 expects them.

        Raises:
            UnicodeEncodeError: If a field has characters outside Latin-1.
        """
        return [
            (name.encode(_CHARSET), value.encode(_CHARSET))
            for name, value in self.pairs
        ]


def as_headers(pairs: Headers | Iterable[tuple[str, str]]) -> Headers:
    """Converts (name, value) pairs; names become lower case."""
    if isinstance(pairs, Headers):
        return pairs
    return Headers(tuple((name.lower(), value) for name, value in pairs))


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Removes the header fields that apply to a single connection.

    This includes the fields that a `Connection` header lists.
    """
    listed_names = {
        token.strip().lower()
        for value in headers.get_all('connection')
        for token in value.split(',')
    }
    removed_names = HOP_BY_HOP_NAMES | listed_names
    return Headers(
        tuple(pair for pair in headers.pairs if pair[0] not in removed_names),
    )
