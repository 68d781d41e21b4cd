"""Passes the messages of peers to the handlers of their kinds."""

import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from attrs import frozen
from jacinthcroft_http import Headers, IncomingRequest, Response

from jacinthcroft_daemon.internal.peers.client import make_reply_envelope
from jacinthcroft_daemon.internal.peers.codec import (
    decode_message,
    encode_message,
)
from jacinthcroft_daemon.internal.peers.signing import Envelope, Signer

_PATH_PREFIX: Final = '/peer/'
MAX_MESSAGE_BYTES: Final = 4_000_000
_BAD_REQUEST: Final = 400
_FORBIDDEN: Final = 403
_NOT_FOUND: Final = 404
_OK: Final = 200

Message = TypeVar('Message')
MessageHandler = Callable[[str, Message], Awaitable[object]]


@frozen
class _Registration:
    message_type: type[Any]
    handler: MessageHandler[Any]


class PeerRouter:
    """Verifies messages of peers and signs the replies.

    Each kind of message has one handler. It takes the name of the sending VM
    and the typed message, and returns a typed reply.
    """

    def __init__(self, vm: str, signer: Signer) -> None:
        """Accepts messages addressed to `vm`."""
        self._vm = vm
        self._signer = signer
        self._registrations: dict[str, _Registration] = {}

    def register(
        self,
        kind: str,
        message_type: type[Message],
        handler: MessageHandler[Message],
    ) -> None:
        """Registers the handler of all messages of one kind."""
        self._registrations[kind] = _Registration(message_type, handler)

    async def handle(self, request: IncomingRequest) -> Response:
        """Verifies one message and returns the signed reply."""
        body = await request.read_body(MAX_MESSAGE_BYTES)
        envelope = _read_envelope(request)
        if not isinstance(body, bytes) or envelope is None:
            return Response.text(_BAD_REQUEST, 'not a peer message')
        if not self._accept_message(request, envelope, body):
            return Response.text(_FORBIDDEN, 'not authentic')
        registration = self._registrations.get(envelope.kind)
        if registration is None:
            return Response.text(_NOT_FOUND, 'unknown kind')
        message = decode_message(body, registration.message_type)
        if message is None:
            return Response.text(_BAD_REQUEST, 'unreadable message')
        reply = await registration.handler(envelope.sender, message)
        return self._sign_reply(envelope, encode_message(reply))

    def _accept_message(
        self,
        request: IncomingRequest,
        envelope: Envelope,
        body: bytes,
    ) -> bool:
        signature = request.headers.get('x-peer-signature') or ''
        return (
            envelope.recipient == self._vm
            and self._signer.is_authentic(envelope, body, signature)
            and self._signer.accept_nonce(envelope, time.time())
        )

    def _sign_reply(self, request_envelope: Envelope, body: bytes) -> Response:
        signature = self._signer.sign(
            make_reply_envelope(request_envelope), body
        )
        return Response(
            status=_OK,
            headers=Headers(
                (
                    ('content-type', 'application/json'),
                    ('x-peer-signature', signature),
                )
            ),
            body=body,
        )


def _read_envelope(request: IncomingRequest) -> Envelope | None:
    if not request.path.startswith(_PATH_PREFIX):
        return None
    try:
        sent_at = float(request.headers.get('x-peer-time') or '')
    except ValueError:
        return None
    return Envelope(
        direction='ask',
        kind=request.path.removeprefix(_PATH_PREFIX),
        sender=request.headers.get('x-peer-sender') or '',
        recipient=request.headers.get('x-peer-recipient') or '',
        nonce=request.headers.get('x-peer-nonce') or '',
        sent_at=sent_at,
    )
