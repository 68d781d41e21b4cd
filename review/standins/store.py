"""A stand-in for the platform's store: range, key and watch calls."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from http1 import encode_response, read_message

PAGE_ITEMS = 500


class Store:
    """Items by key under one revision counter; the caller writes directly."""

    def __init__(self, record):
        self._record = record
        self._items = {}
        self._revision = 10
        self._changed = asyncio.Condition()
        self._server = None
        self.port = 0

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    async def put(self, key, value):
        """Writes a document, or bytes as they are; returns the revision."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        created = self._items.get(key, {}).get('CreatedRev', self._revision)
        self._items[key] = {
            'Key': key,
            'Value': base64.b64encode(content).decode(),
            'Rev': self._revision,
            'CreatedRev': created,
            'Lease': 0,
        }
        await self._notify()
        return self._revision

    async def delete(self, key):
        """Removes a key."""
        self._revision += 1
        self._items[key] = {'Key': key, 'Rev': self._revision, 'Tombstone': True}
        await self._notify()

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                url = urlsplit(request.target)
                query = {name: found[0] for name, found in parse_qs(url.query).items()}
                status, document = await self._answer(url.path, query)
                body = json.dumps(document).encode()
                pairs = [('Content-Type', 'application/json')]
                writer.write(encode_response(status, pairs, body))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        prefix = query.get('Prefix', '')
        if path == '/-/kv-range':
            found = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(prefix)
                and key > query.get('after', '')
                and 'Tombstone' not in item
            ]
            page = found[:PAGE_ITEMS]
            return 200, {
                'items': page,
                'Truncated': len(found) > len(page),
                'At': self._revision,
            }
        if path == '/-/kv-watch':
            return await self._watch(prefix, int(query['after']), int(query['WaitMs']))
        if path == '/-/kv-key':
            item = self._items.get(query.get('Key', ''))
            if item is None or 'Tombstone' in item:
                return 404, {'At': self._revision}
            return 200, {**item, 'At': self._revision}
        return 404, {}

    async def _watch(self, prefix, after, wait_ms):
        def changes():
            return sorted(
                (
                    item
                    for key, item in self._items.items()
                    if key.startswith(prefix) and item['Rev'] > after
                ),
                key=lambda item: item['Rev'],
            )

        async with self._changed:
            try:
                async with asyncio.timeout(min(30_000, wait_ms) / 1000):
                    await self._changed.wait_for(changes)
            except TimeoutError:
                pass
            return 200, {'events': changes(), 'At': self._revision}
