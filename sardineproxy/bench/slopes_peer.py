"""Slopes of peer streams over loopback: memory, heartbeats and views."""

import asyncio
import gc
import time
import tracemalloc

from sardineproxy import ids
from sardineproxy.bench import slopes_fit, slopes_net, slopes_samples
from sardineproxy.connection import frames, peer
from sardineproxy.process import metrics

STREAM_COUNTS = (8, 32, 64)
HEARTBEAT_COUNTS = (200, 800)
MEMBER_COUNTS = (4, 16, 64)
REPETITIONS = 50


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure_slope_async(
            'peer.memory',
            'B/stream',
            _measure_stream_memory,
            STREAM_COUNTS,
            repeats=2,
        )
    )
    out.add(
        slopes_fit.measure_slope_async(
            'peer.heartbeat.cpu',
            'us/heartbeat sent and received',
            _time_heartbeats,
            HEARTBEAT_COUNTS,
        )
    )
    heartbeat = frames.Heartbeat(version=3_000_000, revision=3_000_000)
    out.add_figure(
        'peer.heartbeat.bytes',
        _encoded_bytes(heartbeat),
        'B/heartbeat',
        'frame',
    )
    out.add(
        slopes_fit.measure_slope(
            'peer.view.bytes',
            'B/member',
            lambda member_count: _encoded_bytes(_make_view(member_count)),
            MEMBER_COUNTS,
            repeats=1,
        )
    )
    out.add(
        slopes_fit.measure_slope(
            'peer.view.cpu',
            'us/member, encoded and decoded',
            _time_view,
            MEMBER_COUNTS,
        )
    )


class _StreamPairs:
    """Peer streams with both ends in this process."""

    def __init__(self) -> None:
        """Create the context that all streams share."""
        self.dialed: list[peer.Stream] = []
        self.received_count = 0
        self._accepted: list[peer.Stream] = []
        self._ctx = peer.StreamContext(
            clock=slopes_samples.make_clock(),
            metrics=metrics.Metrics(),
            make_hello=_make_hello,
            count_free_slots=int,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self, count: int) -> None:
        """Open ``count`` streams and read frames from both ends of each."""
        self._server = await asyncio.start_server(
            self._accept, slopes_net.HOST, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        for _ in range(count):
            reader, writer = await asyncio.open_connection(
                slopes_net.HOST, port
            )
            self.dialed.append(self._start_stream(reader, writer, dialed=True))
        while len(self._accepted) < count:
            await asyncio.sleep(0)
        # Allow time for the Hello frames to be received.
        await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Close all streams."""
        for stream in (*self.dialed, *self._accepted):
            stream.abort('the measurement ends')
        assert self._server is not None
        self._server.close()
        await asyncio.gather(*self._tasks)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted.append(self._start_stream(reader, writer, dialed=False))

    def _start_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        dialed: bool,
    ) -> peer.Stream:
        stream = peer.Stream(
            ctx=self._ctx, reader=reader, writer=writer, dialed=dialed
        )
        self._tasks.add(asyncio.create_task(self._read_frames(stream)))
        return stream

    async def _read_frames(self, stream: peer.Stream) -> None:
        await stream.handshake()
        while (await stream.receive()).is_ok():
            self.received_count += 1


async def _measure_stream_memory(count: int) -> float:
    """Return the memory of one end of ``count`` streams."""
    stream_pairs = _StreamPairs()
    await stream_pairs.open(1)
    await stream_pairs.close()
    gc.collect()
    stream_pairs = _StreamPairs()
    tracemalloc.start()
    await stream_pairs.open(count)
    gc.collect()
    heap_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await stream_pairs.close()
    return heap_bytes / 2


async def _time_heartbeats(count: int) -> float:
    """Return the CPU time of heartbeats; each wakes up the event loop."""
    stream_pairs = _StreamPairs()
    await stream_pairs.open(1)
    heartbeat = frames.Heartbeat(version=1, revision=1)
    started_s = time.process_time()
    for number in range(1, count + 1):
        stream_pairs.dialed[0].send(heartbeat)
        while stream_pairs.received_count < number:
            await asyncio.sleep(0)
    cpu_us = (time.process_time() - started_s) * slopes_fit.US_PER_S
    await stream_pairs.close()
    return cpu_us


def _make_hello() -> frames.Hello:
    return frames.Hello(
        vm=ids.VmId('entry-00000'),
        incarnation=ids.Incarnation('0' * 16),
        zone=ids.ZoneId(slopes_samples.ZONE),
        version=1,
        revision=1,
    )


def _time_view(member_count: int) -> float:
    view = _make_view(member_count)
    return slopes_fit.measure_cpu_us(
        lambda: _encode_and_decode(view), repetitions=REPETITIONS
    )


def _make_view(member_count: int) -> frames.View:
    return frames.View(
        members=tuple(
            (ids.VmId(f'entry-{number:05d}'), ids.Incarnation(f'{number:016x}'))
            for number in range(member_count)
        ),
        digest='0' * 64,
        epoch=1000,
        acknowledged_epoch=1000,
        settled=True,
    )


def _encoded_bytes(frame: frames.Frame) -> float:
    return len(frames.encode(frame).unwrap())


def _encode_and_decode(frame: frames.Frame) -> None:
    # The length prefix has 4 bytes.
    frames.decode(frames.encode(frame).unwrap()[4:]).unwrap()
