"""Receives peers' questions and hands them to whoever answers that kind."""

import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from attrs import frozen
from jacinthcroft_http import Headers, IncomingRequest, Response

from jacinthcroft_daemon.internal.peers.client import reply_envelope
from jacinthcroft_daemon.internal.peers.codec import (
    decode_message,
    encode_message,
)
from jacinthcroft_daemon.internal.peers.signing import Envelope, Signer

_PREFIX: Final = '/peer/'
QUESTION_LIMIT_BYTES: Final = 4_000_000
_BAD_REQUEST: Final = 400
_FORBIDDEN: Final = 403
_NOT_FOUND: Final = 404
_OK: Final = 200

Question = TypeVar('Question')
Answerer = Callable[[str, Question], Awaitable[object]]


@frozen
class _Registration:
    question_type: type[Any]
    answerer: Answerer[Any]


class PeerRouter:
    """The server side of the peers' port.

    Answerers register by kind; each takes the asking VM's name and the typed
    question and returns a typed reply.
    """

    def __init__(self, vm: str, signer: Signer) -> None:
        """Answers in the name of `vm`."""
        self._vm = vm
        self._signer = signer
        self._registrations: dict[str, _Registration] = {}

    def register(
        self,
        kind: str,
        question_type: type[Question],
        answerer: Answerer[Question],
    ) -> None:
        """Lets `answerer` answer all questions of one kind."""
        self._registrations[kind] = _Registration(question_type, answerer)

    async def answer(self, request: IncomingRequest) -> Response:
        """Verifies one question and returns the signed reply."""
        body = await request.read_body(QUESTION_LIMIT_BYTES)
        envelope = _envelope_of(request)
        if not isinstance(body, bytes) or envelope is None:
            return Response.text(_BAD_REQUEST, 'not a peer message')
        if not self._is_welcome(request, envelope, body):
            return Response.text(_FORBIDDEN, 'not authentic')
        registration = self._registrations.get(envelope.kind)
        if registration is None:
            return Response.text(_NOT_FOUND, 'unknown kind')
        question = decode_message(body, registration.question_type)
        if question is None:
            return Response.text(_BAD_REQUEST, 'unreadable message')
        reply = await registration.answerer(envelope.sender, question)
        return self._signed(envelope, encode_message(reply))

    def _is_welcome(
        self,
        request: IncomingRequest,
        envelope: Envelope,
        body: bytes,
    ) -> bool:
        signature = request.headers.get('x-peer-signature') or ''
        return (
            envelope.recipient == self._vm
            and self._signer.is_authentic(envelope, body, signature)
            and self._signer.accept_once(envelope, time.time())
        )

    def _signed(self, asked: Envelope, body: bytes) -> Response:
        signature = self._signer.sign(reply_envelope(asked), body)
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


def _envelope_of(request: IncomingRequest) -> Envelope | None:
    if not request.path.startswith(_PREFIX):
        return None
    try:
        sent_at = float(request.headers.get('x-peer-time') or '')
    except ValueError:
        return None
    return Envelope(
        direction='ask',
        kind=request.path.removeprefix(_PREFIX),
        sender=request.headers.get('x-peer-sender') or '',
        recipient=request.headers.get('x-peer-recipient') or '',
        nonce=request.headers.get('x-peer-nonce') or '',
        sent_at=sent_at,
    )
