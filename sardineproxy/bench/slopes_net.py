"""HTTP servers and callers in separate threads.

Only the CPU time of the measured thread is counted, so the other end of a
connection can run in the same process.
"""

import asyncio
import re
import threading
from typing import Any, Callable, Mapping, Self

HOST = '127.0.0.1'
RESULT_TIMEOUT_S = 60

_HEAD_END = b'\r\n\r\n'
_CONTENT_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
_MAX_RESPONSE_BYTES = 16_777_216


def render_response(body: bytes, *, status: str = '200 OK') -> bytes:
    """Return a complete HTTP response."""
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class LoopThread:
    """Event loop in a thread of its own."""

    def __init__(self) -> None:
        """Create the loop; it runs inside ``with``."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )

    def __enter__(self) -> Self:
        """Start the thread."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the loop and wait until the thread ends."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def submit(self, coroutine: Any) -> 'asyncio.Future[Any]':
        """Run a coroutine in the thread; return a future of the calling loop."""
        return asyncio.wrap_future(
            asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        )

    def run(self, coroutine: Any) -> Any:
        """Run a coroutine in the thread and block until it returns."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            RESULT_TIMEOUT_S
        )


class FixedServer(LoopThread):
    """HTTP server with a fixed response for each path; counts bytes."""

    def __init__(self, responses: dict[bytes, bytes]) -> None:
        """Use the first response whose key is a prefix of the path."""
        super().__init__()
        self.responses = responses
        self.received_bytes = 0
        self.sent_bytes = 0
        self.port = 0

    def __enter__(self) -> Self:
        """Start the thread and listen."""
        super().__enter__()
        self.port = self.run(self._listen())
        return self

    async def _listen(self) -> int:
        listener = await asyncio.get_running_loop().create_server(
            lambda: _FixedServerConnection(self), HOST, 0
        )
        return listener.sockets[0].getsockname()[1]


class _FixedServerConnection(asyncio.Protocol):
    """One connection to the fixed server."""

    def __init__(self, server: FixedServer) -> None:
        """Send the responses of ``server``."""
        self._server = server
        self._buffer = b''
        self._transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Send a response for each complete request."""
        self._buffer += data
        self._server.received_bytes += len(data)
        request_end = self._find_end()
        while request_end is not None:
            path = self._buffer.split(b' ', 2)[1]
            self._buffer = self._buffer[request_end:]
            response = next(
                candidate
                for prefix, candidate in self._server.responses.items()
                if path.startswith(prefix)
            )
            self._server.sent_bytes += len(response)
            self._transport.write(response)
            request_end = self._find_end()

    def _find_end(self) -> int | None:
        head_end = self._buffer.find(_HEAD_END)
        if head_end < 0:
            return None
        match = _CONTENT_LENGTH.search(self._buffer, 0, head_end)
        body_bytes = int(match[1]) if match else 0
        request_end = head_end + len(_HEAD_END) + body_bytes
        return request_end if len(self._buffer) >= request_end else None


async def send_requests(
    port: int, requests: list[bytes], *, concurrency: int
) -> list[bytes]:
    """Send requests over concurrent connections and return the bodies."""
    remaining_requests = iter(requests)
    bodies: list[bytes] = []
    await asyncio.gather(
        *(
            _send_over_connection(port, remaining_requests, bodies.append)
            for _ in range(concurrency)
        )
    )
    return bodies


async def _send_over_connection(
    port: int, remaining_requests: Any, on_body: Callable[[bytes], object]
) -> None:
    reader, writer = await asyncio.open_connection(
        HOST, port, limit=_MAX_RESPONSE_BYTES
    )
    for request in remaining_requests:
        writer.write(request)
        head = await reader.readuntil(_HEAD_END)
        match = _CONTENT_LENGTH.search(head)
        assert match is not None, head
        body = await reader.readexactly(int(match[1]))
        assert b' 200 ' in head[:20], head + body
        on_body(body)
    writer.close()


def render_request(
    path: str, body: bytes, *, headers: Mapping[str, str] | None = None
) -> bytes:
    """Return a complete POST request."""
    fields = {
        'Host': HOST,
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    lines = [f'{name}: {text}' for name, text in fields.items()]
    head = '\r\n'.join((f'POST {path} HTTP/1.1', *lines, '', ''))
    return head.encode() + body
