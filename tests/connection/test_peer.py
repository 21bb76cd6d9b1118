"""Streams: a peer that breaks the rules is cut off."""

import asyncio
import contextlib
import functools
from typing import AsyncIterator, Callable, Coroutine

import testtools
from testtools import matchers

from sardineproxy import clock, ids
from sardineproxy.connection import frames, peer
from sardineproxy.process import metrics

HOST = '127.0.0.1'
HELLO = frames.Hello(
    vm=ids.VmId('a'),
    incarnation=ids.Incarnation('1'),
    zone=ids.ZoneId('z'),
    version=3,
    revision=4,
)
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


class Raw:
    """The far end of a stream, as bytes."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer


class StreamTest(testtools.TestCase):
    """Streams of one process and a far end that the test controls."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = clock.ManualClock(start=100)
        self.metrics = metrics.Metrics()

    @contextlib.asynccontextmanager
    async def connect(self) -> AsyncIterator[tuple[peer.Stream, Raw]]:
        accepted: asyncio.Queue[Raw] = asyncio.Queue()

        async def accept(*ends) -> None:
            await accepted.put(Raw(*ends))

        server = await asyncio.start_server(accept, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        stream = peer.Stream(
            ctx=peer.Context(
                clock=self.clock,
                metrics=self.metrics,
                hello=lambda: HELLO,
                free=lambda: 7,
            ),
            reader=reader,
            writer=writer,
            dialed=True,
        )
        raw = await accepted.get()
        async with asyncio.timeout(TIMEOUT_S):
            yield stream, raw
        stream.abort('end of test')
        raw.writer.close()
        server.close()

    async def refuse(self, sent: bytes) -> str:
        async with self.connect() as (stream, raw):
            raw.writer.write(_encode(HELLO) + sent)
            raw.writer.write_eof()
            self.assertTrue((await stream.handshake()).is_ok())
            return (await stream.receive()).unwrap_err()

    @asynchronous
    async def test_hellos_go_both_ways(self) -> None:
        async with self.connect() as (stream, raw):
            raw.writer.write(_encode(HELLO))
            self.assertEqual(HELLO, (await stream.handshake()).unwrap())
            received = (await frames.read(raw.reader)).unwrap()
            self.assertEqual(frames.Envelope(frame=HELLO, free=7), received)
            self.assertEqual((3, 4), (stream.version, stream.revision))

    def test_refuses_what_breaks_the_rules(self) -> None:
        heartbeat = _encode(frames.Heartbeat(version=1, revision=1))
        for sent, why in (
            (b'GET / HTTP/1.1\r\n\r\n', 'too large'),
            (b'\x00\x00\x00\x03abc', 'not'),
            (b'\x00\x00\x00\x03\x92\x63\x00', 'unknown'),
            (heartbeat[:-1], 'truncated'),
            (b'', frames.CLOSED),
        ):
            error = asyncio.run(self.refuse(sent))
            self.assertThat(error, matchers.Contains(why))

    @asynchronous
    async def test_first_frame_must_be_a_hello(self) -> None:
        async with self.connect() as (stream, raw):
            raw.writer.write(_encode(frames.Goodbye()))
            self.assertThat(
                (await stream.handshake()).unwrap_err(),
                matchers.Contains('not a Hello'),
            )

    @asynchronous
    async def test_silent_connection_gets_no_stream(self) -> None:
        """A port that accepts and says nothing must not hold up a peer."""
        async with self.connect() as (stream, _):
            self.assertThat(
                (await stream.handshake()).unwrap_err(),
                matchers.Contains('in time'),
            )

    @asynchronous
    async def test_notes_what_rides_on_frames(self) -> None:
        async with self.connect() as (stream, raw):
            heartbeat = frames.Heartbeat(version=9, revision=2)
            raw.writer.write(frames.encode(heartbeat, free=5).unwrap())
            self.clock.advance(1)
            self.assertEqual(heartbeat, (await stream.receive()).unwrap())
            self.assertEqual((5, 9), (stream.free, stream.version))
            self.assertEqual((101, 100), (stream.heard_at, stream.used_at))

    @asynchronous
    async def test_gives_up_on_a_peer_that_does_not_read(self) -> None:
        """Unsent frames must not fill this process's memory."""
        async with self.connect() as (stream, _):
            large = frames.Forward(number=1, payload=bytes(4_000_000))
            sent = [stream.send(large) for _ in range(20)]
            self.assertIn(False, sent)
            self.assertFalse(stream.send(frames.Goodbye()))
            self.assertThat(
                sent.count(True) * len(large.payload),
                matchers.LessThan(2 * peer.MAX_UNSENT_BYTES),
            )
