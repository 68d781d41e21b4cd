"""Messages about tokens between VMs and the holder of a team.

The holder of a team is the VM that has the lease for it and issues its tokens.
"""

from attrs import frozen


@frozen
class TokenReturn:
    """Tokens of one grant that expired unspent or will not be spent.

    `tokens` is the total of the grant so far, including earlier returns, so
    that a duplicated return has no effect.
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
    """Tokens that may be spent within `lifetime` seconds of the request.

    `retry_after` is in seconds, and zero if any tokens were granted.
    """

    tokens: int
    lifetime: float
    retry_after: float
    grant_id: str = ''
