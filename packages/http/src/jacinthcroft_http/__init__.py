"""HTTP/1.1 over asyncio, by h11 on both sides.

`Server` reads requests and hands them to one handler; `ConnectionPool` sends
requests and tells apart what never left this process from what may have.
Both move bodies in bounded pieces, so that a slow reader slows the writer
down instead of filling memory.
"""

from jacinthcroft_http.internal.answer import Answer
from jacinthcroft_http.internal.clock import now
from jacinthcroft_http.internal.connection import ServerLimits
from jacinthcroft_http.internal.conversation import (
    BadRequestAnswer,
    Handler,
)
from jacinthcroft_http.internal.exchange import SendOutcome
from jacinthcroft_http.internal.headers import (
    Header,
    Headers,
    strip_hop_by_hop,
)
from jacinthcroft_http.internal.messages import (
    IncomingRequest,
    OutgoingRequest,
    Response,
)
from jacinthcroft_http.internal.outcomes import (
    BadRequest,
    BadRequestReason,
    BodyCut,
    BodyTooLarge,
    Interrupted,
    InterruptedReason,
    NothingSent,
    NothingSentReason,
)
from jacinthcroft_http.internal.pool import ConnectionPool, PoolLimits
from jacinthcroft_http.internal.server import Server

__all__ = (
    'Answer',
    'BadRequest',
    'BadRequestAnswer',
    'BadRequestReason',
    'BodyCut',
    'BodyTooLarge',
    'ConnectionPool',
    'Handler',
    'Header',
    'Headers',
    'IncomingRequest',
    'Interrupted',
    'InterruptedReason',
    'NothingSent',
    'NothingSentReason',
    'OutgoingRequest',
    'PoolLimits',
    'Response',
    'SendOutcome',
    'Server',
    'ServerLimits',
    'now',
    'strip_hop_by_hop',
)
