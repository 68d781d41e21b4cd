"""Authenticates peer messages with the fleet's secret and rejects replays.

The signature covers direction, kind, both VMs, nonce, time and body, so that
a message cannot be replayed to another VM, as another kind or as the reply to
another message. Times are of the wall clock. VMs whose clocks differ by more
than the window reject each other's messages. This shows in their logs rather
than as stale state.
"""

import hashlib
import hmac
from collections import OrderedDict
from typing import Final

from attrs import frozen

REPLAY_WINDOW_SECONDS: Final = 30.0
# Enough for the messages of one window at several thousand a second.
_MAX_REMEMBERED_NONCES: Final = 200_000


@frozen
class Envelope:
    """What a signature covers besides the body; `sent_at` is Unix time."""

    direction: str
    kind: str
    sender: str
    recipient: str
    nonce: str
    sent_at: float


class Signer:
    """Signs and verifies messages with one secret."""

    def __init__(self, secret: bytes) -> None:
        """Creates a signer with a secret, which is never logged."""
        self._secret = secret
        self._seen_nonces: OrderedDict[str, float] = OrderedDict()

    def sign(self, envelope: Envelope, body: bytes) -> str:
        """Returns the hexadecimal signature."""
        signed_text = '\n'.join(
            (
                envelope.direction,
                envelope.kind,
                envelope.sender,
                envelope.recipient,
                envelope.nonce,
                repr(envelope.sent_at),
            )
        )
        digest = hmac.new(self._secret, signed_text.encode(), hashlib.sha256)
        digest.update(b'\n')
        digest.update(body)
        return digest.hexdigest()

    def is_authentic(
        self,
        envelope: Envelope,
        body: bytes,
        signature: str,
    ) -> bool:
        """Whether the signature is that of this envelope and body."""
        return hmac.compare_digest(self.sign(envelope, body), signature)

    def accept_nonce(self, envelope: Envelope, wall_now: float) -> bool:
        """Whether the message is recent and no replay; records its nonce."""
        self._remove_nonces_before(wall_now - 2 * REPLAY_WINDOW_SECONDS)
        is_recent = abs(wall_now - envelope.sent_at) <= REPLAY_WINDOW_SECONDS
        is_new = envelope.nonce not in self._seen_nonces
        if is_recent and is_new:
            self._seen_nonces[envelope.nonce] = wall_now
        return is_recent and is_new

    def _remove_nonces_before(self, oldest_seen_at: float) -> None:
        while self._seen_nonces:
            nonce, seen_at = next(iter(self._seen_nonces.items()))
            is_full = len(self._seen_nonces) > _MAX_REMEMBERED_NONCES
            if seen_at >= oldest_seen_at and not is_full:
                return
            self._seen_nonces.pop(nonce)
