"""Minimal HTTP/1.1 server and client for the stand-ins (JSON bodies)."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


class HttpServer:
    """Serves ``handle(method, path, query, headers, document)``.

    The handler returns ``(status, document)``, or None to send no response.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None

    async def listen(self, host, port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            return  # The run ends.
        finally:
            writer.close()

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            name, colon, text = line.partition(':')
            if colon:
                headers[name.lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        url = urlsplit(target)
        reply = await self._handle(
            method,
            url.path,
            dict(parse_qsl(url.query, keep_blank_values=True)),
            headers,
            json.loads(body) if body else {},
        )
        if reply is None:
            return False
        status, document = reply
        payload = json.dumps(document).encode()
        writer.write(
            b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (status, len(payload), payload)
        )
        await writer.drain()
        return True


async def request(address, method, path, *, headers=None, document=None,
                  timeout_s=5.0):
    """Send one request; return (status, document), or (None, cause)."""
    body = b'' if document is None else json.dumps(document).encode()
    lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(body)}']
    if document is not None:
        lines.append('Content-Type: application/json')
    lines.extend(f'{name}: {text}' for name, text in (headers or {}).items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            status = int(head.split(' ')[1])
            length = 0
            for line in head.split('\r\n')[1:]:
                name, _, text = line.partition(':')
                if name.lower() == 'content-length':
                    length = int(text)
            payload = await reader.readexactly(length)
            return status, json.loads(payload) if payload else {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        return None, {'cause': repr(exc)}
    finally:
        if writer is not None:
            writer.close()
