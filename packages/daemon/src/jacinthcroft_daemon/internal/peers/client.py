"""Sends typed messages to other VMs and returns their typed replies."""

import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

from jacinthcroft_config import Address
from jacinthcroft_http import Answer, ConnectionPool, Headers, OutgoingRequest

from jacinthcroft_daemon.internal.peers.codec import (
    decode_message,
    encode_message,
)
from jacinthcroft_daemon.internal.peers.signing import Envelope, Signer

_OK: Final = 200
_NONCE_BYTES: Final = 12
MAX_REPLY_BYTES: Final = 4_000_000

Reply = TypeVar('Reply')
FindAddress = Callable[[str], Address | None]


@dataclass(frozen=True)
class NoPeerReply:
    """The VM gave no valid reply; it may still have received the message."""

    vm: str
    detail: str


class PeerClient:
    """Signs messages, sends them and verifies the replies."""

    def __init__(
        self,
        vm: str,
        signer: Signer,
        pool: ConnectionPool,
        find_address: FindAddress,
    ) -> None:
        """Sends as `vm`; `find_address` finds a VM in the VM list."""
        self._vm = vm
        self._signer = signer
        self._pool = pool
        self._find_address = find_address

    async def send_request(
        self,
        to_vm: str,
        kind: str,
        message: object,
        reply_type: type[Reply],
        timeout: float,
    ) -> Reply | NoPeerReply:
        """Sends a message to a VM of the VM list and returns its reply."""
        address = self._find_address(to_vm)
        if address is None:
            return NoPeerReply(to_vm, 'the VM is not in the VM list')
        return await self.send_request_to(
            address,
            to_vm,
            kind,
            message,
            reply_type,
            timeout,
        )

    async def send_request_to(
        self,
        address: Address,
        to_vm: str,
        kind: str,
        message: object,
        reply_type: type[Reply],
        timeout: float,
    ) -> Reply | NoPeerReply:
        """Sends a message to an address; needs no VM list."""
        body = encode_message(message)
        envelope = Envelope(
            direction='ask',
            kind=kind,
            sender=self._vm,
            recipient=to_vm,
            nonce=secrets.token_hex(_NONCE_BYTES),
            sent_at=time.time(),
        )
        request = self._build_request(address, envelope, body)
        outcome = await self._pool.send(request, timeout)
        if not isinstance(outcome, Answer):
            return NoPeerReply(to_vm, f'{outcome.reason}: {outcome.detail}')
        return await self._verify_reply(outcome, envelope, reply_type)

    def _build_request(
        self,
        address: Address,
        envelope: Envelope,
        body: bytes,
    ) -> OutgoingRequest:
        return OutgoingRequest(
            host=address.host,
            port=address.port,
            method='POST',
            target=f'/peer/{envelope.kind}',
            headers=Headers(
                (
                    ('host', str(address)),
                    ('content-length', str(len(body))),
                    ('x-peer-sender', envelope.sender),
                    ('x-peer-recipient', envelope.recipient),
                    ('x-peer-nonce', envelope.nonce),
                    ('x-peer-time', repr(envelope.sent_at)),
                    ('x-peer-signature', self._signer.sign(envelope, body)),
                )
            ),
            body=body,
        )

    async def _verify_reply(
        self,
        answer: Answer,
        request_envelope: Envelope,
        reply_type: type[Reply],
    ) -> Reply | NoPeerReply:
        body = await answer.read(MAX_REPLY_BYTES)
        if not isinstance(body, bytes):
            return NoPeerReply(
                request_envelope.recipient, 'the reply was cut off or too large'
            )
        if answer.status != _OK:
            return NoPeerReply(
                request_envelope.recipient,
                f'the reply has status {answer.status}',
            )
        signature = answer.headers.get('x-peer-signature') or ''
        if not self._signer.is_authentic(
            make_reply_envelope(request_envelope), body, signature
        ):
            return NoPeerReply(
                request_envelope.recipient, 'the reply has an invalid signature'
            )
        reply = decode_message(body, reply_type)
        if reply is None:
            return NoPeerReply(
                request_envelope.recipient, 'the reply is not a valid message'
            )
        return reply


def make_reply_envelope(request_envelope: Envelope) -> Envelope:
    """Returns the envelope of the reply to the message in an envelope."""
    return Envelope(
        direction='reply',
        kind=request_envelope.kind,
        sender=request_envelope.recipient,
        recipient=request_envelope.sender,
        nonce=request_envelope.nonce,
        sent_at=request_envelope.sent_at,
    )
