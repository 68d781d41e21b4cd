"""Authenticates peer messages with the fleet's secret and refuses replays.

The signature covers direction, kind, both VMs, nonce, time and body, so that
no message can be sent again elsewhere, as another kind or as an answer to
another question. Times are wall clock; VMs further apart than the window
refuse each other, which shows in their logs rather than as stale state.
"""

import hashlib
import hmac
from collections import OrderedDict
from typing import Final

from attrs import frozen

REPLAY_WINDOW_SECONDS: Final = 30.0
# Room for the window at several thousand messages a second.
_MAX_REMEMBERED_NONCES: Final = 200_000


@frozen
class Envelope:
    """What a signature speaks of, besides the body; `sent_at` is unix time."""

    direction: str
    kind: str
    sender: str
    recipient: str
    nonce: str
    sent_at: float


class Signer:
    """Signs and verifies with one secret."""

    def __init__(self, secret: bytes) -> None:
        """Keeps the secret; it is never logged."""
        self._secret = secret
        self._seen: OrderedDict[str, float] = OrderedDict()

    def sign(self, envelope: Envelope, body: bytes) -> str:
        """Returns the hexadecimal signature."""
        described = '\n'.join(
            (
                envelope.direction,
                envelope.kind,
                envelope.sender,
                envelope.recipient,
                envelope.nonce,
                repr(envelope.sent_at),
            )
        )
        digest = hmac.new(self._secret, described.encode(), hashlib.sha256)
        digest.update(b'\n')
        digest.update(body)
        return digest.hexdigest()

    def is_authentic(
        self,
        envelope: Envelope,
        body: bytes,
        signature: str,
    ) -> bool:
        """Whether the signature belongs to exactly this message."""
        return hmac.compare_digest(self.sign(envelope, body), signature)

    def accept_once(self, envelope: Envelope, wall: float) -> bool:
        """Whether a question is recent and was not asked before."""
        self._forget_before(wall - 2 * REPLAY_WINDOW_SECONDS)
        is_recent = abs(wall - envelope.sent_at) <= REPLAY_WINDOW_SECONDS
        is_new = envelope.nonce not in self._seen
        if is_recent and is_new:
            self._seen[envelope.nonce] = wall
        return is_recent and is_new

    def _forget_before(self, wall: float) -> None:
        while self._seen:
            nonce, seen_at = next(iter(self._seen.items()))
            is_full = len(self._seen) > _MAX_REMEMBERED_NONCES
            if seen_at >= wall and not is_full:
                return
            self._seen.pop(nonce)
