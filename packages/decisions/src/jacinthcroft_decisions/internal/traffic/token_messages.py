"""Messages about tokens between VMs and the holder of a team.

The holder of a team is the VM that has the lease for it and issues its tokens.
A VM spends one token for each attempt to send a request of the team.
"""

from attrs import frozen


@frozen
class TokenReturn:
    """Tokens of one grant that expired unspent or will not be spent.

    `tokens` counts all such tokens of the grant so far, including those of
    earlier messages, so that a duplicated message has no effect.
    """

    grant_id: str
    tokens: int


@frozen
class TokenRequest:
    """A VM's request for tokens of one team.

    `demand` is the VM's recent demand in requests per second. `unused` lists
    earlier grants with unspent tokens. `waiting` is how many of the wanted
    tokens callers' requests are waiting for; None means all of them.
    """

    team_key: str
    vm: str
    wanted: int
    demand: float
    unused: tuple[TokenReturn, ...] = ()
    waiting: int | None = None


@frozen
class TokenGrant:
    """Tokens that may be spent within `lifetime` seconds of their request.

    `retry_after` is in how many seconds to ask again; it is zero if any tokens
    were granted.
    """

    tokens: int
    lifetime: float
    retry_after: float
    grant_id: str = ''
