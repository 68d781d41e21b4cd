"""What a VM and the holder of a team tell each other about tokens."""

from attrs import frozen


@frozen
class TokenReturn:
    """Tokens of one grant that expired unspent or will not be spent.

    `tokens` counts all of the grant so far, those of earlier returns too,
    so that a doubled return gives nothing.
    """

    grant_id: str
    tokens: int


@frozen
class TokenRequest:
    """A VM's question for tokens of one team.

    `demand` is the VM's recent demand in requests per second. `unused`
    names earlier grants of which tokens were never spent. Of the wanted
    tokens, requests wait for `waiting` already; by default for all of them.
    """

    team_key: str
    vm: str
    wanted: int
    demand: float
    unused: tuple[TokenReturn, ...] = ()
    waiting: int | None = None


@frozen
class TokenGrant:
    """Tokens that may be spent within `lifetime` seconds of the question.

    `retry_after` is in seconds, and zero when something was granted.
    """

    tokens: int
    lifetime: float
    retry_after: float
    grant_id: str = ''
