"""Small HTTP/1.1 server and client for the stand-ins, without libraries."""

import asyncio
import contextlib
import json
from urllib.parse import parse_qsl, unquote

REASONS = {200: 'OK', 400: 'Bad Request', 404: 'Not Found', 409: 'Conflict',
           410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected Request',
           503: 'Service Unavailable'}


class Request:
    """A request with its whole body."""

    def __init__(self, method, target, headers, body):
        path, _, query = target.partition('?')
        self.method = method
        self.path = unquote(path)
        self.query = dict(parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def read_head(reader):
    """Return the first line and the headers, None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return lines[0], headers


class Gate:
    """A partition on the way to a server.

    While it is closed, nothing passes: what is under way arrives afterwards,
    unless the client has closed its connection by then, and a connection that
    was opened meanwhile never works (its client has to open a new one).
    """

    def __init__(self):
        self.is_closed = False
        self._opened = asyncio.Event()

    def close(self):
        self.is_closed = True

    def open(self):
        self.is_closed = False
        self._opened.set()
        self._opened = asyncio.Event()

    async def wait(self):
        while self.is_closed:
            opened = self._opened
            await opened.wait()


async def serve(handler, host, port=0, gate=None):
    """Serve ``handler``, which returns a status and a JSON document.

    A handler that returns None closes the connection without a response.
    """
    gate = gate or Gate()

    async def run(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            if gate.is_closed:
                await reader.read()
                writer.transport.abort()
                return
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(' ')
                length = int(head[1].get('content-length', 0))
                body = await reader.readexactly(length) if length else b''
                await gate.wait()
                if reader.at_eof() or writer.is_closing():
                    break
                answer = await handler(Request(method, target, head[1], body))
                await gate.wait()
                if answer is None:
                    writer.transport.abort()
                    break
                status, document = answer
                content = b'' if document is None else json.dumps(
                    document).encode()
                writer.write(
                    f'HTTP/1.1 {status} {REASONS.get(status, "x")}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'.encode()
                    + content)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(run, host, port, backlog=512)


async def call(host, port, method, path, *, headers, document=None,
               timeout_s):
    """Return status and decoded body; (None, cause) without a response."""
    content = b'' if document is None else json.dumps(document).encode()
    lines = [f'{method} {path} HTTP/1.1',
             *(f'{name}: {text}' for name, text in headers.items()),
             f'Content-Length: {len(content)}']
    if content:
        lines.append('Content-Type: application/json')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + content)
            head = await read_head(reader)
            if head is None:
                return None, 'connection closed'
            status = int(head[0].split(' ')[1])
            length = int(head[1].get('content-length', 0))
            body = await reader.readexactly(length) if length else b''
            return status, json.loads(body) if body else {}
    except TimeoutError:
        return None, 'no response in time'
    except (OSError, asyncio.IncompleteReadError) as exc:
        return None, repr(exc)
    finally:
        if writer is not None:
            writer.close()
