"""A stream that carries frames to and from another entry process."""

import asyncio
import contextlib
import dataclasses
from typing import Awaitable, Callable

import result

from sardineproxy import clock, logs
from sardineproxy.connection import frames
from sardineproxy.process import metrics

#: Unsent bytes above which a stream is closed, as the peer reads too slowly.
MAX_UNSENT_BYTES = 4 * frames.MAX_FRAME_BYTES

#: Timeout for the peer's Hello, in seconds.
HELLO_TIMEOUT_S = 2

#: Timeout for sending queued frames, in seconds.
FLUSH_TIMEOUT_S = 1

Connect = Callable[
    [str, int],
    Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
]

_LOG = logs.get_logger('peer')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamContext:
    """Dependencies that all streams of a process share."""

    clock: clock.Clock
    metrics: metrics.Metrics

    #: Returns the current Hello of this process.
    make_hello: Callable[[], frames.Hello]

    #: Returns the number of slots that this process could lend now.
    count_free_slots: Callable[[], int]


class Stream:
    """Sends and receives frames, and records the peer's latest state."""

    def __init__(
        self,
        *,
        ctx: StreamContext,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialed: bool,
    ) -> None:
        """Use an open connection; ``dialed`` if this process opened it."""
        self._ctx = ctx
        self._reader = frames.Reader(reader=reader)
        self._writer = writer
        self.dialed = dialed
        self.opened_at = ctx.clock.now()
        self.last_received_at = self.opened_at
        self.last_sent_at = self.opened_at

        #: Time of the last use: a sent frame other than a heartbeat, or a
        #: received frame that does not report the peer's version and revision.
        self.last_used_at = self.opened_at
        self.free_slots = 0
        self.version = 0
        self.revision = 0
        self.hello: frames.Hello

    async def handshake(self) -> result.Result[frames.Hello, str]:
        """Exchange Hello frames and return the peer's."""
        self.send(self._ctx.make_hello())
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                received = await self.receive()
        except TimeoutError:
            return result.Err('no Hello before the timeout')
        if isinstance(received, result.Err):
            return received
        frame = received.ok_value
        if not isinstance(frame, frames.Hello):
            return result.Err('first frame is not a Hello')
        self.hello = frame
        return result.Ok(frame)

    async def receive(self) -> result.Result[frames.Frame, str]:
        """Wait for a frame and record the peer state that it carries."""
        received = await self._reader.read()
        if isinstance(received, result.Err):
            return received
        envelope = received.ok_value
        self.last_received_at = self._ctx.clock.now()
        self.free_slots = envelope.free_slots
        match envelope.frame:
            case (
                frames.Hello(version=version, revision=revision)
                | frames.Heartbeat(version=version, revision=revision)
                | frames.ConfigAnnounce(version=version, revision=revision)
                | frames.ConfigFetch(version=version, revision=revision)
            ):
                self.version = max(self.version, version)
                self.revision = max(self.revision, revision)
            case _:
                self.last_used_at = self.last_received_at
        return result.Ok(envelope.frame)

    def send(self, frame: frames.Frame) -> bool:
        """Queue a frame; False if it cannot be sent."""
        if self._writer.is_closing():
            return False
        frame_type = type(frame).__name__
        encoded = frames.encode(frame, free_slots=self._ctx.count_free_slots())
        if isinstance(encoded, result.Err):
            _LOG.error('Frame dropped: %s.', encoded.err_value)
            return False
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort('peer reads too slowly')
            return False
        self._writer.write(encoded.ok_value)
        self._ctx.metrics.count('peer_frames_total', kind=frame_type)
        self.last_sent_at = self._ctx.clock.now()
        if not isinstance(frame, frames.Heartbeat):
            self.last_used_at = self.last_sent_at
        if isinstance(frame, frames.SlotReturn):
            self.free_slots += sum(count for _, _, count in frame.allocations)
        return True

    async def flush(self) -> None:
        """Wait until most of the queued bytes are sent, or the timeout."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._writer.drain()

    def abort(self, cause: str) -> None:
        """Close without sending queued frames; pending reads end."""
        if not self._writer.is_closing():
            _LOG.info('Peer stream closed: %s.', cause)
        self._writer.transport.abort()

    def close(self) -> None:
        """Close after the queued frames are sent."""
        self._writer.close()
