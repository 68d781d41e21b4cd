"""Asks other VMs, one typed question at a time."""

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
REPLY_LIMIT_BYTES: Final = 4_000_000

Reply = TypeVar('Reply')
AddressBook = Callable[[str], Address | None]


@dataclass(frozen=True)
class NoPeerReply:
    """No usable reply: the question may or may not have arrived."""

    vm: str
    detail: str


class PeerClient:
    """Signs questions, sends them and verifies the replies."""

    def __init__(
        self,
        vm: str,
        signer: Signer,
        pool: ConnectionPool,
        addresses: AddressBook,
    ) -> None:
        """Asks in the name of `vm`, at the addresses of the VM list."""
        self._vm = vm
        self._signer = signer
        self._pool = pool
        self._addresses = addresses

    async def send_request(
        self,
        to_vm: str,
        kind: str,
        message: object,
        reply_type: type[Reply],
        timeout: float,
    ) -> Reply | NoPeerReply:
        """Returns the peer's reply, or that it stayed silent."""
        address = self._addresses(to_vm)
        if address is None:
            return NoPeerReply(to_vm, 'not in the VM list')
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
        """Asks at an address, for use before any VM list is known."""
        body = encode_message(message)
        envelope = Envelope(
            direction='ask',
            kind=kind,
            sender=self._vm,
            recipient=to_vm,
            nonce=secrets.token_hex(_NONCE_BYTES),
            sent_at=time.time(),
        )
        request = self._request(address, envelope, body)
        outcome = await self._pool.send(request, timeout)
        if not isinstance(outcome, Answer):
            return NoPeerReply(to_vm, f'{outcome.reason}: {outcome.detail}')
        return await self._verified(outcome, envelope, reply_type)

    def _request(
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

    async def _verified(
        self,
        answer: Answer,
        asked: Envelope,
        reply_type: type[Reply],
    ) -> Reply | NoPeerReply:
        body = await answer.read(REPLY_LIMIT_BYTES)
        if not isinstance(body, bytes):
            return NoPeerReply(asked.recipient, 'the reply was cut')
        if answer.status != _OK:
            return NoPeerReply(asked.recipient, f'status {answer.status}')
        signature = answer.headers.get('x-peer-signature') or ''
        if not self._signer.is_authentic(
            reply_envelope(asked), body, signature
        ):
            return NoPeerReply(asked.recipient, 'the reply is not authentic')
        reply = decode_message(body, reply_type)
        if reply is None:
            return NoPeerReply(asked.recipient, 'the reply is not readable')
        return reply


def reply_envelope(asked: Envelope) -> Envelope:
    """Returns the envelope that binds a reply to its question."""
    return Envelope(
        direction='reply',
        kind=asked.kind,
        sender=asked.recipient,
        recipient=asked.sender,
        nonce=asked.nonce,
        sent_at=asked.sent_at,
    )
