"""Servers and callers in threads of their own.

Only the processor time of the thread that is measured counts, so that the
other end of a connection may live in the same process.
"""

import asyncio
import re
import threading
from typing import Any, Callable, Mapping, Self

HOST = '127.0.0.1'
START_LIMIT_S = 60

_HEAD_END = b'\r\n\r\n'
_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
_MAX_ANSWER = 16_777_216


def render(body: bytes, *, status: str = '200 OK') -> bytes:
    """Return a whole HTTP answer."""
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class LoopThread:
    """An event loop in a thread."""

    def __init__(self) -> None:
        """Prepare; the loop runs inside ``with``."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )

    def __enter__(self) -> Self:
        """Start the thread."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def begin(self, work: Any) -> 'asyncio.Future[Any]':
        """Run a coroutine there; the caller may await the result here."""
        return asyncio.wrap_future(
            asyncio.run_coroutine_threadsafe(work, self._loop)
        )

    def run(self, work: Any) -> Any:
        """Run a coroutine there and wait for its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(
            START_LIMIT_S
        )


class FixedServer(LoopThread):
    """Sends a fixed answer for each path, and counts bytes."""

    def __init__(self, answers: dict[bytes, bytes]) -> None:
        """Answer by the first path in ``answers`` that a path starts with."""
        super().__init__()
        self.answers = answers
        self.received = 0
        self.sent = 0
        self.port = 0

    def __enter__(self) -> Self:
        """Start to listen."""
        super().__enter__()
        self.port = self.run(self._listen())
        return self

    async def _listen(self) -> int:
        listener = await asyncio.get_running_loop().create_server(
            lambda: _Exchange(self), HOST, 0
        )
        return listener.sockets[0].getsockname()[1]


class _Exchange(asyncio.Protocol):
    """One connection to the fixed server."""

    def __init__(self, server: FixedServer) -> None:
        """Answer as ``server`` says."""
        self._server = server
        self._buffer = b''
        self._transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each whole request."""
        self._buffer += data
        self._server.received += len(data)
        end = self._find_end()
        while end is not None:
            path = self._buffer.split(b' ', 2)[1]
            self._buffer = self._buffer[end:]
            answer = next(
                text
                for prefix, text in self._server.answers.items()
                if path.startswith(prefix)
            )
            self._server.sent += len(answer)
            self._transport.write(answer)
            end = self._find_end()

    def _find_end(self) -> int | None:
        head = self._buffer.find(_HEAD_END)
        if head < 0:
            return None
        found = _LENGTH.search(self._buffer, 0, head)
        size = int(found[1]) if found else 0
        end = head + len(_HEAD_END) + size
        return end if len(self._buffer) >= end else None


async def call_many(
    port: int, requests: list[bytes], *, at_once: int
) -> list[bytes]:
    """Send requests over some connections and return the bodies."""
    waiting = iter(requests)
    bodies: list[bytes] = []
    await asyncio.gather(
        *(_call_each(port, waiting, bodies.append) for _ in range(at_once))
    )
    return bodies


async def _call_each(
    port: int, waiting: Any, keep: Callable[[bytes], object]
) -> None:
    reader, writer = await asyncio.open_connection(
        HOST, port, limit=_MAX_ANSWER
    )
    for request in waiting:
        writer.write(request)
        head = await reader.readuntil(_HEAD_END)
        found = _LENGTH.search(head)
        assert found is not None, head
        body = await reader.readexactly(int(found[1]))
        assert b' 200 ' in head[:20], head + body
        keep(body)
    writer.close()


def request(
    path: str, body: bytes, *, headers: Mapping[str, str] | None = None
) -> bytes:
    """Return a POST request as a caller sends it."""
    fields = {
        'Host': HOST,
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    lines = [f'{name}: {text}' for name, text in fields.items()]
    head = '\r\n'.join((f'POST {path} HTTP/1.1', *lines, '', ''))
    return head.encode() + body
