"""Header fields of a message, in the order in which they came."""

from collections.abc import Iterable
from typing import Self

from attrs import frozen

Header = tuple[bytes, bytes]

# RFC 9110, section 7.6.1, and the older names still in use.
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
_ENCODING = 'latin-1'


@frozen
class Headers:
    """Header fields as (lower-case name, value) pairs."""

    pairs: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_wire(cls, raw: Iterable[Header]) -> Self:
        """Makes headers of pairs as they came."""
        return cls(
            tuple(
                [
                    (name.decode(_ENCODING).lower(), text.decode(_ENCODING))
                    for name, text in raw
                ]
            ),
        )

    def get(self, name: str) -> str | None:
        """Returns the first value under a lower-case name, or None."""
        for key, text in self.pairs:
            if key == name:
                return text
        return None

    def get_all(self, name: str) -> tuple[str, ...]:
        """Returns all values under a lower-case name."""
        return tuple(text for key, text in self.pairs if key == name)

    def without(self, *names: str) -> 'Headers':
        """Returns these headers less those with the given names."""
        return Headers(
            tuple(pair for pair in self.pairs if pair[0] not in names),
        )

    def with_added(self, *pairs: tuple[str, str]) -> 'Headers':
        """Returns these headers with more of them at the end."""
        return Headers(self.pairs + pairs)

    def to_wire(self) -> list[Header]:
        """Returns the pairs as h11 sends them.

        Raises:
            UnicodeEncodeError: If a field holds text outside Latin-1.
        """
        return [
            (name.encode(_ENCODING), text.encode(_ENCODING))
            for name, text in self.pairs
        ]


def as_headers(pairs: Headers | Iterable[tuple[str, str]]) -> Headers:
    """Makes headers of any pairs, putting their names in lower case."""
    if isinstance(pairs, Headers):
        return pairs
    return Headers(tuple((name.lower(), text) for name, text in pairs))


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Removes the fields that are meant for one connection only.

    Fields that a `Connection` header nominates are removed too.
    """
    nominated = {
        token.strip().lower()
        for text in headers.get_all('connection')
        for token in text.split(',')
    }
    dropped = HOP_BY_HOP_NAMES | nominated
    return Headers(
        tuple(pair for pair in headers.pairs if pair[0] not in dropped),
    )
