"""Slopes of a peer stream over loopback: memory, heartbeats and views."""

import asyncio
import gc
import time
import tracemalloc

from sardineproxy import ids
from sardineproxy.bench import slopes_fit, slopes_net, slopes_samples
from sardineproxy.connection import frames, peer
from sardineproxy.process import metrics

STREAMS = (8, 32, 64)
HEARTBEATS = (200, 800)
MEMBERS = (4, 16, 64)
TIMES = 50


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure_async(
            'peer.memory', 'B/stream', _weigh_streams, STREAMS, repeats=2
        )
    )
    out.add(
        slopes_fit.measure_async(
            'peer.heartbeat.cpu',
            'us/heartbeat sent and received',
            _time_heartbeats,
            HEARTBEATS,
        )
    )
    heartbeat = frames.Heartbeat(version=3_000_000, revision=3_000_000)
    out.add_figure(
        'peer.heartbeat.bytes', _size(heartbeat), 'B/heartbeat', 'frame'
    )
    out.add(
        slopes_fit.measure(
            'peer.view.bytes',
            'B/member',
            lambda members: _size(_view(members)),
            MEMBERS,
            repeats=1,
        )
    )
    out.add(
        slopes_fit.measure(
            'peer.view.cpu',
            'us/member, encoded and decoded',
            _time_view,
            MEMBERS,
        )
    )


class _Pairs:
    """Streams whose two ends are both in this process."""

    def __init__(self) -> None:
        """Start without streams."""
        self.dialed: list[peer.Stream] = []
        self.received = 0
        self._accepted: list[peer.Stream] = []
        self._ctx = peer.StreamContext(
            clock=slopes_samples.system_clock(),
            metrics=metrics.Metrics(),
            make_hello=_hello,
            count_free_slots=int,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def open(self, count: int) -> None:
        """Open so many streams and read them to their end."""
        self._server = await asyncio.start_server(
            self._accept, slopes_net.HOST, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        for _ in range(count):
            reader, writer = await asyncio.open_connection(
                slopes_net.HOST, port
            )
            self.dialed.append(self._run(reader, writer, dialed=True))
        while len(self._accepted) < count:
            await asyncio.sleep(0)
        # The Hellos arrive.
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
        self._accepted.append(self._run(reader, writer, dialed=False))

    def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        dialed: bool,
    ) -> peer.Stream:
        stream = peer.Stream(
            ctx=self._ctx, reader=reader, writer=writer, dialed=dialed
        )
        self._tasks.add(asyncio.create_task(self._read(stream)))
        return stream

    async def _read(self, stream: peer.Stream) -> None:
        await stream.handshake()
        while (await stream.receive()).is_ok():
            self.received += 1


async def _weigh_streams(count: int) -> float:
    """Return the memory of one end of each of so many streams."""
    pairs = _Pairs()
    await pairs.open(1)
    await pairs.close()
    gc.collect()
    pairs = _Pairs()
    tracemalloc.start()
    await pairs.open(count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await pairs.close()
    return size / 2


async def _time_heartbeats(count: int) -> float:
    """Return the cost of heartbeats, each a wake-up of its own."""
    pairs = _Pairs()
    await pairs.open(1)
    heartbeat = frames.Heartbeat(version=1, revision=1)
    began_s = time.process_time()
    for number in range(1, count + 1):
        pairs.dialed[0].send(heartbeat)
        while pairs.received < number:
            await asyncio.sleep(0)
    took_us = (time.process_time() - began_s) * slopes_fit.US_PER_S
    await pairs.close()
    return took_us


def _hello() -> frames.Hello:
    return frames.Hello(
        vm=ids.VmId('entry-00000'),
        incarnation=ids.Incarnation('0' * 16),
        zone=ids.ZoneId(slopes_samples.ZONE),
        version=1,
        revision=1,
    )


def _time_view(members: int) -> float:
    view = _view(members)
    return slopes_fit.cpu_us(lambda: _pass_through(view), times=TIMES)


def _view(members: int) -> frames.View:
    return frames.View(
        members=tuple(
            (ids.VmId(f'entry-{number:05d}'), ids.Incarnation(f'{number:016x}'))
            for number in range(members)
        ),
        digest='0' * 64,
        epoch=1000,
        acknowledged_epoch=1000,
        settled=True,
    )


def _size(frame: frames.Frame) -> float:
    return len(frames.encode(frame).unwrap())


def _pass_through(frame: frames.Frame) -> None:
    frames.decode(frames.encode(frame).unwrap()[4:]).unwrap()
