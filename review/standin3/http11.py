"""HTTP/1.1 on loopback with bodies of JSON, for the stand-ins."""

import asyncio
import json
import urllib.parse


class Reply(Exception):
    """Answers a request with a status and a document."""

    def __init__(self, status, document=None):
        super().__init__(status)
        self.status = status
        self.document = document


class Server:
    """A listener and its connections."""

    def __init__(self, listener, writers):
        self._listener = listener
        self._writers = writers
        self.port = listener.sockets[0].getsockname()[1]

    def close(self):
        """Close the listener and reset all connections."""
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def serve(handle, host, port=0):
    """Serve ``handle(method, path, query, headers, document)``.

    The handler returns a document or raises ``Reply``.
    """
    writers = set()

    async def run(reader, writer):
        writers.add(writer)
        try:
            while True:
                request = await _read_message(reader)
                if request is None:
                    break
                line, headers, body = request
                method, target, _ = line.split(' ', 2)
                path, _, query = target.partition('?')
                status, document = 200, None
                try:
                    document = await handle(
                        method,
                        path,
                        _parse_query(query),
                        headers,
                        json.loads(body) if body else {},
                    )
                except Reply as reply:
                    status, document = reply.status, reply.document
                answer = b'' if document is None else json.dumps(document).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%s' % (status, len(answer), answer)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    listener = await asyncio.start_server(run, host, port, limit=2**22, backlog=512)
    return Server(listener, writers)


async def call(address, method, path, *, headers=None, document=None, timeout_s=3.0):
    """Send a request; return status and document, or a text that says why not."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**22)
            body = b'' if document is None else json.dumps(document).encode()
            head = [f'{method} {path} HTTP/1.1']
            lines = {'Host': address, **(headers or {})}
            head.extend(f'{name}: {text}' for name, text in lines.items())
            if document is not None:
                head.append('Content-Type: application/json')
            head.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(head).encode() + b'\r\n\r\n' + body)
            answer = await _read_message(reader)
            if answer is None:
                return 'connection closed', None
            line, _, received = answer
            return int(line.split(' ')[1]), json.loads(received) if received else {}
    except TimeoutError:
        return 'no answer', None
    except (OSError, asyncio.IncompleteReadError) as exc:
        return f'broken: {type(exc).__name__}', None
    finally:
        if writer is not None:
            writer.close()


async def _read_message(reader):
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode('latin-1').strip()
        if not header:
            break
        name, _, text = header.partition(':')
        headers[name.strip().lower()] = text.strip()
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size) if size else b''
    return line.decode('latin-1').strip(), headers, body


def _parse_query(query):
    return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
