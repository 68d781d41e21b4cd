"""A stand-in for the platform's store that speaks its HTTP protocol."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs

from jacinthcroft_http import (
    BadRequest,
    IncomingRequest,
    Response,
    Server,
    ServerLimits,
)


class StoreStandIn:
    """Items with one revision counter, which are read by pages or watched."""

    def __init__(self) -> None:
        """Makes an empty store."""
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 10
        self.calls = 0
        self.is_down = False
        self.oldest_revision = 0
        self._changed = asyncio.Condition()
        self._server = Server.from_limits(
            ServerLimits(),
            self._answer,
            _refuse,
        )

    async def start(self) -> int:
        """Opens a free port and returns its number."""
        return await self._server.start('127.0.0.1', 0)

    async def stop(self) -> None:
        """Closes the port."""
        await self._server.drain(0.1)

    async def put(self, key: str, document: Any) -> None:
        """Writes a document, or raw bytes, under a key."""
        published = document
        if not isinstance(document, bytes):
            published = json.dumps(document).encode()
        self.revision += 1
        self.items[key] = {
            'Key': key,
            'Value': base64.b64encode(published).decode(),
            'Rev': self.revision,
            'Lease': 0,
        }
        await self._notify_watchers()

    async def delete(self, key: str) -> None:
        """Deletes a key."""
        self.revision += 1
        self.items[key] = {
            'Key': key,
            'Rev': self.revision,
            'Tombstone': True,
        }
        await self._notify_watchers()

    async def _notify_watchers(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _answer(self, request: IncomingRequest) -> Response:
        self.calls += 1
        if self.is_down:
            return Response(503)
        query = {
            name: found[0] for name, found in _parse_query(request).items()
        }
        if request.path == '/-/kv-range':
            return self._read_page(query.get('after', ''))
        after = int(query['after'])
        if after < self.oldest_revision:
            return Response(410)
        return await self._watch(after, int(query['WaitMs']) / 1000)

    def _read_page(self, after: str) -> Response:
        live = [
            item
            for key, item in sorted(self.items.items())
            if key > after and 'Tombstone' not in item
        ]
        page = {
            'items': live[:2],
            'Truncated': len(live) > 2,
            'At': self.revision,
        }
        return Response.json(200, page)

    async def _watch(self, after: int, seconds: float) -> Response:
        async with self._changed:
            try:
                async with asyncio.timeout(seconds):
                    await self._changed.wait_for(
                        lambda: self._changes_since(after),
                    )
            except TimeoutError:
                return self._make_changes_response([])
        return self._make_changes_response(self._changes_since(after))

    def _changes_since(self, after: int) -> list[dict[str, Any]]:
        return [item for item in self.items.values() if item['Rev'] > after]

    def _make_changes_response(self, events: list[dict[str, Any]]) -> Response:
        found = {'events': events, 'At': self.revision}
        return Response.json(200, found)


def _parse_query(request: IncomingRequest) -> dict[str, list[str]]:
    return parse_qs(request.query)


def _refuse(_: BadRequest) -> Response:
    return Response(400)
