"""Tests of streams, with malformed, silent and slow peers."""

import asyncio
import contextlib
import functools
from typing import AsyncIterator, Callable, Coroutine

import testtools
from testtools import matchers

from sardineproxy import clock
from sardineproxy.connection import frames, peer
from sardineproxy.process import metrics

HOST = '127.0.0.1'
HELLO = frames.Hello(vm='a', incarnation='1', zone='z', version=3, revision=4)
TIMEOUT_S = 30


def _encode(frame: frames.Frame) -> bytes:
    return frames.encode(frame).unwrap()


def asynchronous(
    test: Callable[..., Coroutine[None, None, None]],
) -> Callable[..., None]:
    """Run a coroutine as a test."""

    @functools.wraps(test)
    def run(*args: object) -> None:
        asyncio.run(test(*args))

    return run


class StreamTest(testtools.TestCase):
    """Tests a stream whose remote end the test controls."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = clock.ManualClock(start=100)

    @contextlib.asynccontextmanager
    async def connect(self) -> AsyncIterator[tuple]:
        accepted: asyncio.Queue = asyncio.Queue()

        async def accept(*remote) -> None:
            await accepted.put(remote)

        server = await asyncio.start_server(accept, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        local_end = await asyncio.open_connection(HOST, port)
        ctx = peer.StreamContext(
            clock=self.clock,
            metrics=metrics.Metrics(),
            make_hello=lambda: HELLO,
            count_free_slots=lambda: 7,
        )
        stream = peer.Stream(
            ctx=ctx, reader=local_end[0], writer=local_end[1], dialed=True
        )
        reader, writer = await accepted.get()
        async with asyncio.timeout(TIMEOUT_S):
            yield stream, reader, writer
        stream.abort('end of test')
        writer.close()
        server.close()

    async def receive_error(self, sent: bytes) -> str:
        async with self.connect() as (stream, reader, writer):
            writer.write(_encode(HELLO) + sent)
            writer.write_eof()
            self.assertTrue((await stream.handshake()).is_ok())
            return (await stream.receive()).unwrap_err()

    @asynchronous
    async def test_both_ends_send_a_hello(self) -> None:
        async with self.connect() as (stream, reader, writer):
            writer.write(_encode(HELLO))
            self.assertEqual(HELLO, (await stream.handshake()).unwrap())
            received = (await frames.Reader(reader=reader).read()).unwrap()
            self.assertEqual(
                frames.Envelope(frame=HELLO, free_slots=7), received
            )
            self.assertEqual((3, 4), (stream.version, stream.revision))

    def test_rejects_malformed_frames(self) -> None:
        heartbeat = _encode(frames.Heartbeat(version=1, revision=1))
        for sent, expected in (
            (b'GET / HTTP/1.1\r\n\r\n', 'too large'),
            (b'\x00\x00\x00\x03abc', 'not'),
            (b'\x00\x00\x00\x03\x92\x63\x00', 'unknown'),
            (heartbeat[:-1], 'truncated'),
            (b'', frames.STREAM_CLOSED),
        ):
            error = asyncio.run(self.receive_error(sent))
            self.assertThat(error, matchers.Contains(expected))

    @asynchronous
    async def test_first_frame_must_be_a_hello(self) -> None:
        async with self.connect() as (stream, reader, writer):
            writer.write(_encode(frames.Goodbye()))
            error = (await stream.handshake()).unwrap_err()
            self.assertThat(error, matchers.Contains('not a Hello'))

    @asynchronous
    async def test_handshake_times_out_without_a_hello(self) -> None:
        """Guards against waiting forever on a port that sends nothing."""
        async with self.connect() as ends:
            stream = ends[0]
            error = (await stream.handshake()).unwrap_err()
            self.assertThat(error, matchers.Contains('before the timeout'))

    @asynchronous
    async def test_records_the_peer_state_in_frames(self) -> None:
        async with self.connect() as (stream, reader, writer):
            heartbeat = frames.Heartbeat(version=9, revision=2)
            writer.write(frames.encode(heartbeat, free_slots=5).unwrap())
            self.clock.advance(1)
            self.assertEqual(heartbeat, (await stream.receive()).unwrap())
            self.assertEqual((5, 9), (stream.free_slots, stream.version))
            self.assertEqual(
                (101, 100), (stream.last_received_at, stream.last_used_at)
            )

    @asynchronous
    async def test_aborts_if_the_peer_does_not_read(self) -> None:
        """Guards against unsent frames that fill the process's memory."""
        async with self.connect() as ends:
            stream = ends[0]
            large = frames.Forward(number=1, payload=bytes(4_000_000))
            sent = [stream.send(large) for _ in range(20)]
            self.assertIn(False, sent)
            self.assertFalse(stream.send(frames.Goodbye()))
            self.assertThat(
                sent.count(True) * len(large.payload),
                matchers.LessThan(2 * peer.MAX_UNSENT_BYTES),
            )
