"""Reads the platform's values over HTTP with JSON."""

import json
import reprlib
from urllib.parse import quote

from jacinthcroft_config import Address
from jacinthcroft_http import (
    Answer,
    ConnectionPool,
    Headers,
    OutgoingRequest,
    PoolLimits,
)

from jacinthcroft_daemon.internal.platform.adapter import (
    NoNewerValue,
    PlatformUnavailable,
    PlatformValue,
    ReadOutcome,
    platform_adapter,
)

_NOT_MODIFIED = 304
_OK = 200
# Published values hold up to a megabyte; JSON escapes may double that.
_MAX_VALUE_BYTES = 2_500_000
# The time that the platform may take beyond the requested wait.
_REPLY_GRACE_SECONDS = 2.0


@platform_adapter('http')
class HttpPlatform:
    """Reads values by the read-and-watch protocol of docs/DESIGN.md."""

    def __init__(self, address: Address, reader: str) -> None:
        """Creates an adapter that reads from `address` as VM `reader`."""
        self._address = address
        self._reader = reader
        self._pool = ConnectionPool.from_limits(PoolLimits())

    async def read(
        self,
        name: str,
        after: int,
        wait_seconds: float,
    ) -> ReadOutcome:
        """Returns a value newer than `after`; waits up to `wait_seconds`."""
        query = f'reader={self._reader}&after={after}&wait={wait_seconds}'
        request = OutgoingRequest(
            host=self._address.host,
            port=self._address.port,
            method='GET',
            target=f'/v1/values/{quote(name)}?{query}',
            headers=Headers((('host', str(self._address)),)),
            body=None,
        )
        outcome = await self._pool.send(
            request, wait_seconds + _REPLY_GRACE_SECONDS
        )
        if not isinstance(outcome, Answer):
            return PlatformUnavailable(outcome.detail)
        return await _interpret_answer(name, outcome)


async def _interpret_answer(name: str, answer: Answer) -> ReadOutcome:
    body = await answer.read(_MAX_VALUE_BYTES)
    if not isinstance(body, bytes):
        return PlatformUnavailable(
            f'{name}: the answer was cut off or too large'
        )
    if answer.status == _NOT_MODIFIED:
        return NoNewerValue()
    if answer.status != _OK:
        return PlatformUnavailable(f'{name}: status {answer.status}')
    return _decode_value(name, body)


def _decode_value(
    name: str, body: bytes
) -> PlatformValue | PlatformUnavailable:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return PlatformUnavailable(f'{name}: unreadable answer: {error!r}')
    fields = document if isinstance(document, dict) else {}
    revision = fields.get('revision')
    content = fields.get('value')
    is_text = isinstance(content, str)
    if isinstance(revision, int) and not isinstance(revision, bool) and is_text:
        return PlatformValue(name, revision, str(content))
    found = reprlib.repr(document)
    return PlatformUnavailable(
        f'{name}: expected a revision and a value, got {found}'
    )
