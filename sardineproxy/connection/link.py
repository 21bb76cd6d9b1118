"""A link that carries messages to and from another entry VM."""

import asyncio
import contextlib
from typing import Awaitable, Callable

import result

from sardineproxy import clock, logs
from sardineproxy.connection import codec, messages

#: Unsent bytes above which a link is closed, as the peer reads too slowly.
MAX_UNSENT_BYTES = 1_048_576

#: Timeout for the peer's greeting, in seconds.
GREETING_TIMEOUT_S = 0.5

#: Timeout for sending queued messages, in seconds.
FLUSH_TIMEOUT_S = 0.3

Connect = Callable[
    [str, int],
    Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
]

_LOG = logs.get_logger('link')


class Link:
    """Sends and receives messages, and records when it last did."""

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
        self._frame_reader = codec.FrameReader(
            codec=messages.CODEC, reader=reader
        )
        self._writer = writer
        self.dialed = dialed
        self.opened_at = clock.now()
        self.last_received_at = self.opened_at
        self.last_heartbeat_at = self.opened_at

        #: Time of the last message other than a heartbeat, in either
        #: direction.
        self.last_used_at = self.opened_at

        #: True if it was closed because nothing was received.
        self.timed_out = False

        #: Identity of the peer, set by ``handshake``.
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
            return result.Err('no greeting before the timeout')
        if isinstance(received, result.Err):
            return received
        if not isinstance(received.ok_value, messages.Greeting):
            return result.Err('first message is not a greeting')
        self.peer = received.ok_value
        return result.Ok(received.ok_value)

    async def receive(self) -> result.Result[messages.Message, str]:
        """Wait for a message."""
        received = await self._frame_reader.read()
        if isinstance(received, result.Err):
            return received
        message = received.ok_value.message
        self.last_received_at = self._clock.now()
        if not isinstance(message, messages.Heartbeat):
            self.last_used_at = self.last_received_at
        return result.Ok(message)

    def send(self, message: messages.Message) -> bool:
        """Queue a message; False if it cannot be sent."""
        if self._writer.is_closing():
            return False
        encoded = messages.CODEC.encode(message, header=0)
        if isinstance(encoded, result.Err):
            _LOG.error('Message dropped: %s.', encoded.err_value)
            return False
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return False
        self._writer.write(encoded.ok_value)
        if isinstance(message, messages.Heartbeat):
            self.last_heartbeat_at = self._clock.now()
        else:
            self.last_used_at = self._clock.now()
        return True

    async def flush(self) -> None:
        """Wait until most of the queued bytes are sent, or the timeout."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._writer.drain()

    def is_closing(self) -> bool:
        """Return whether the link no longer accepts messages."""
        return self._writer.is_closing()

    def abort(self) -> None:
        """Close without sending queued messages; pending reads end."""
        self._writer.transport.abort()


def is_clean_close(cause: str) -> bool:
    """Return whether a link was closed between two messages."""
    return cause == codec.STREAM_CLOSED
