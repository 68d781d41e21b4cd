"""Control messages of the fault proxy."""

from attrs import field, frozen

from jacinthcroft_testkit.internal.links import (
    BOTH_DIRECTIONS,
    Direction,
    Setting,
)


@frozen
class AddLinks:
    """Creates links; `destinations` maps `source>destination` to `host:port`.

    The reply is `LinkPorts`.
    """

    destinations: dict[str, str]


@frozen
class LinkPorts:
    """Where new links listen, `host:port` by name."""

    ports: dict[str, str]


@frozen
class SetLinks:
    """Changes every link that fits a pattern such as `vm1>*`.

    The reply is the `Count` of links.
    """

    pattern: str
    setting: Setting = field(factory=Setting)
    directions: tuple[Direction, ...] = BOTH_DIRECTIONS


@frozen
class ReadTraffic:
    """Asks for the bytes of all links that fit; the reply is `Traffic`."""

    pattern: str = '*'


@frozen
class Traffic:
    """Bytes that went through each link, both directions together."""

    passed_bytes: dict[str, int]
