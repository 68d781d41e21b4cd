"""A minimal HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
import socket
import struct

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Message:
    """A request or response: its start line, headers and body."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start_line.split(' ')[1])

    @property
    def method(self):
        return self.start_line.split(' ')[0]

    @property
    def target(self):
        return self.start_line.split(' ')[1]


async def read_message(reader):
    """Returns the next message, or None at a clean end of the stream.

    Raises EOFError if the stream ends within a message.
    """
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field.endswith(b'\n'):
            raise EOFError('the head is incomplete')
        if field in (b'\r\n', b'\n'):
            break
        name, _, value = field.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await _read_body(reader, headers)
    return Message(line.decode('latin-1').rstrip('\r\n'), headers, body)


async def _read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        chunks = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if not size:
                return b''.join(chunks)
            chunks.append(chunk)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def encode_response(status, headers, body=b''):
    """Returns the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def encode_request(method, target, headers, body=b''):
    """Returns the bytes of a request; a body gets a length."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method in ('POST', 'PUT'):
        lines.append(f'Content-Length: {len(body)}')
    lines += ['', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def reset(writer):
    """Closes a connection by a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
