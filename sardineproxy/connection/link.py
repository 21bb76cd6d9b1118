"""One link to another entry VM of the deployment."""

import asyncio
import contextlib
from typing import Awaitable, Callable

import result

from sardineproxy import clock, logs
from sardineproxy.connection import codec, messages

#: Unsent bytes at which a link is given up; the other end reads too slowly.
MAX_UNSENT_BYTES = 1_048_576

#: Longest wait for the other end's greeting, in seconds.
GREETING_TIMEOUT_S = 0.5

#: Longest wait for what is queued to leave, in seconds.
FLUSH_TIMEOUT_S = 0.3

Connect = Callable[
    [str, int],
    Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
]

_LOG = logs.get_logger('link')


class Link:
    """Sends and receives messages; notes when the peer was last heard."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialed: bool,
    ) -> None:
        """Use an open connection; ``dialed`` if this process opened it."""
        self._clock = clock
        self._frames = codec.FrameReader(codec=messages.CODEC, reader=reader)
        self._writer = writer
        self.dialed = dialed
        self.opened_at = clock.now()
        self.last_received_at = self.opened_at
        self.last_sent_at = self.last_received_at

        #: Who is at the other end, set by ``handshake``.
        self.peer: messages.Greeting

    async def handshake(
        self, greeting: messages.Greeting
    ) -> result.Result[messages.Greeting, str]:
        """Exchange greetings and return the peer's."""
        self.send(greeting)
        try:
            async with asyncio.timeout(GREETING_TIMEOUT_S):
                received = await self.receive()
        except TimeoutError:
            return result.Err('no greeting in time')
        if isinstance(received, result.Err):
            return received
        if not isinstance(received.ok_value, messages.Greeting):
            return result.Err('first message is not a greeting')
        self.peer = received.ok_value
        return result.Ok(received.ok_value)

    async def receive(self) -> result.Result[messages.Message, str]:
        """Wait for a message."""
        received = await self._frames.read()
        if isinstance(received, result.Err):
            return received
        self.last_received_at = self._clock.now()
        return result.Ok(received.ok_value.message)

    def send(self, message: messages.Message) -> bool:
        """Queue a message; False if it cannot be sent."""
        if self._writer.is_closing():
            return False
        encoded = messages.CODEC.encode(message, header=0)
        if isinstance(encoded, result.Err):
            _LOG.error('message not sent: %s', encoded.err_value)
            return False
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return False
        self._writer.write(encoded.ok_value)
        self.last_sent_at = self._clock.now()
        return True

    async def flush(self) -> None:
        """Wait until most of what was queued is sent."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._writer.drain()

    def is_closing(self) -> bool:
        """Tell whether nothing can be sent any more."""
        return self._writer.is_closing()

    def abort(self) -> None:
        """Close at once; the reading task ends."""
        self._writer.transport.abort()


def is_clean_close(why: str) -> bool:
    """Tell whether a link ended between two messages."""
    return why == codec.STREAM_CLOSED
