"""HTTP/1.1 server and client over asyncio, with h11 as the parser.

`Server` passes each request to one handler. `ConnectionPool` sends requests;
its outcomes distinguish requests of which no byte was sent from requests
that may have been sent. Both stream bodies through bounded buffers, so that
a slow reader slows the writer down instead of filling memory.
"""

from jacinthcroft_http.internal.answer import Answer
from jacinthcroft_http.internal.buffer_budget import (
    FREE_BODY_BYTES,
    BodyReservation,
    BufferBudget,
)
from jacinthcroft_http.internal.clock import now
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
    NoBufferRoom,
    NothingSent,
    NothingSentReason,
)
from jacinthcroft_http.internal.pool import ConnectionPool, PoolLimits
from jacinthcroft_http.internal.request_loop import (
    BadRequestAnswer,
    Handler,
)
from jacinthcroft_http.internal.server import Server
from jacinthcroft_http.internal.server_connection import ServerLimits

__all__ = (
    'FREE_BODY_BYTES',
    'Answer',
    'BadRequest',
    'BadRequestAnswer',
    'BadRequestReason',
    'BodyCut',
    'BodyReservation',
    'BodyTooLarge',
    'BufferBudget',
    'ConnectionPool',
    'Handler',
    'Header',
    'Headers',
    'IncomingRequest',
    'Interrupted',
    'InterruptedReason',
    'NoBufferRoom',
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
