"""Streams to other entry processes: opening, accepting and closing."""

import asyncio
import functools
import dataclasses
import random
from typing import Awaitable, Callable, Coroutine, Iterable, Protocol

import result

from sardineproxy import ids, logs
from sardineproxy.connection import codec, frames, peer
from sardineproxy.process import neighbors

Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Listen = Callable[[Accept, str, int], Awaitable[asyncio.Server]]

#: Connections that are accepted in one turn of the event loop, before those
#: over the limit are closed. With the default of 100, a burst of connections
#: held three times as many descriptors as the limit allows.
ACCEPT_BACKLOG = 64

start_server: Listen = functools.partial(
    asyncio.start_server, backlog=ACCEPT_BACKLOG
)

#: Maximum time between the openings of two streams, one by each end, that
#: count as simultaneous, in seconds.
SIMULTANEOUS_OPEN_S = 1

#: Timeout of a connection attempt, in seconds.
CONNECT_TIMEOUT_S = 1

#: Timeout for sending queued frames on close, in seconds.
CLOSE_TIMEOUT_S = 1

#: Bounds of the exponential delay before a stream is reopened, in seconds.
BACK_OFF_MIN_S = 0.1
BACK_OFF_MAX_S = 2

_LOG = logs.get_logger('peer')


class StreamEvents(Protocol):
    """Receives the events of registered streams, not of replaced ones."""

    def stream_opened(self, stream: peer.Stream) -> None:
        """Handle a new stream."""

    def stream_closed(self, stream: peer.Stream) -> None:
        """Handle the end of a stream."""

    def frame_received(self, stream: peer.Stream, frame: frames.Frame) -> None:
        """Handle a frame."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Timing of streams, in seconds."""

    #: Time without outgoing frames after which a heartbeat is sent.
    heartbeat_s: float = 4

    #: Time without incoming frames after which a stream is closed.
    peer_silent_s: float = 10

    #: Delay before a VM connects if the other end is expected to connect.
    dial_wait_s: float = 0.5

    #: Idle time after which this VM closes a stream that it has opened to a VM
    #: that is not chosen.
    unused_s: float = 60


@dataclasses.dataclass(kw_only=True, slots=True)
class _Retry:
    """Delay before the next attempt to open a stream to a VM."""

    waiting_since: float
    backoff_s: float = 0
    failures: int = 0


class Streams:
    """Streams to connected peers, at most one per VM."""

    def __init__(
        self,
        *,
        cfg: Config,
        ctx: peer.StreamContext,
        rng: random.Random,
        vm: ids.VmId,
        connect: peer.Connect,
        listen: Listen,
        events: StreamEvents,
    ) -> None:
        """Create an instance without streams; ``start`` opens the listener."""
        self._cfg = cfg
        self._ctx = ctx
        self._rng = rng
        self._vm = vm
        self._connect = connect
        self._listen = listen
        self._events = events
        self._server: asyncio.Server | None = None

        #: Number of accepted connections without a Hello.
        self._unidentified = 0
        self._tasks: set[asyncio.Task[object]] = set()
        self._dialing: set[ids.VmId] = set()
        self._retries: dict[ids.VmId, _Retry] = {}
        self.neighbors = neighbors.Neighbors(listed={}, chosen={})
        self.by_vm: dict[ids.VmId, peer.Stream] = {}

    @property
    def port(self) -> int:
        """Return the port of the listener."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Open the listener."""
        self._server = await self._listen(self._accept, host, port)

    async def close(self) -> None:
        """Close the listener and all streams."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for stream in list(self.by_vm.values()):
            stream.close()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_neighbors(self, neighbors: neighbors.Neighbors) -> None:
        """Set the VMs to connect to."""
        self.neighbors = neighbors
        self._retries = {
            vm: retry
            for vm, retry in self._retries.items()
            if vm in neighbors.listed
        }

    def open_missing(self, requested: Iterable[ids.VmId], now: float) -> None:
        """Open missing streams to chosen VMs, and at once to ``requested``."""
        urgent = set(requested).intersection(self.neighbors.listed)
        missing = urgent.union(self.neighbors.chosen)
        missing -= self._dialing
        for vm in missing.difference(self.by_vm):
            at_once = vm in urgent or self.neighbors.chosen[vm]
            wait_s = 0 if at_once else self._cfg.dial_wait_s
            retry = self._retries.setdefault(vm, _Retry(waiting_since=now))
            if now >= retry.waiting_since + max(wait_s, retry.backoff_s):
                self._dialing.add(vm)
                self._spawn(self._dial(self.neighbors.listed[vm]))

    def check_liveness(self, now: float, heartbeat: frames.Heartbeat) -> None:
        """Close unresponsive and unused streams; send heartbeats on idle ones."""
        for vm, stream in list(self.by_vm.items()):
            if now - stream.last_received_at >= self._cfg.peer_silent_s:
                stream.abort('no frames from the peer before the timeout')
                self._unregister(stream)
            elif self._is_unused(vm, stream, now):
                stream.abort('idle stream to a VM that is not chosen')
                self._unregister(stream)
            elif now - stream.last_sent_at >= self._cfg.heartbeat_s:
                stream.send(heartbeat)

    def abort_all(self, cause: str) -> None:
        """Close all streams at once."""
        for stream in list(self.by_vm.values()):
            stream.abort(cause)
            self._unregister(stream)

    def _is_unused(self, vm: ids.VmId, stream: peer.Stream, now: float) -> bool:
        return (
            stream.dialed
            and vm not in self.neighbors.chosen
            and now - stream.last_used_at >= self._cfg.unused_s
        )

    def _spawn(self, work: Coroutine[None, None, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._unidentified >= codec.MAX_UNIDENTIFIED:
            writer.transport.abort()
            return
        self._unidentified += 1
        self._spawn(
            self._run_stream(
                peer.Stream(
                    ctx=self._ctx, reader=reader, writer=writer, dialed=False
                ),
                expected=None,
            )
        )

    async def _dial(self, neighbor: neighbors.Neighbor) -> None:
        """Open a stream and run it; schedule the next attempt on failure."""
        was_registered = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await self._connect(
                    neighbor.host, neighbor.port
                )
            stream = peer.Stream(
                ctx=self._ctx, reader=reader, writer=writer, dialed=True
            )
            was_registered = await self._run_stream(
                stream, expected=neighbor.vm
            )
        except (OSError, TimeoutError) as exc:
            _LOG.info(
                'Cannot connect to peer %s: %s.',
                neighbor.vm,
                type(exc).__name__,
            )
        finally:
            self._dialing.discard(neighbor.vm)
            if not was_registered:
                self._back_off(neighbor.vm)

    def _back_off(self, vm: ids.VmId) -> None:
        """Schedule the next attempt after an exponential delay with jitter."""
        failures = self._retries[vm].failures if vm in self._retries else 0
        max_wait_s = min(BACK_OFF_MIN_S * 2 ** min(failures, 9), BACK_OFF_MAX_S)
        wait_s = max_wait_s * self._rng.uniform(0.5, 1)
        self._retries[vm] = _Retry(
            waiting_since=self._ctx.clock.now(),
            backoff_s=wait_s,
            failures=failures + 1,
        )

    async def _run_stream(
        self, stream: peer.Stream, *, expected: ids.VmId | None
    ) -> bool:
        """Run a stream to its end; return whether it was registered."""
        try:
            if not await self._handshake(stream, expected):
                return False
            await self._receive_frames(stream)
            return True
        finally:
            stream.abort('end of stream')
            self._unregister(stream)

    async def _handshake(
        self, stream: peer.Stream, expected: ids.VmId | None
    ) -> bool:
        try:
            received = await stream.handshake()
        finally:
            if not stream.dialed:
                self._unidentified -= 1
        if isinstance(received, result.Err):
            self._reject(stream, received.err_value)
            return False
        hello = received.ok_value
        if hello.vm == self._vm or expected not in {None, hello.vm}:
            self._reject(stream, f'unexpected VM {hello.vm}')
            return False
        return self._register(stream)

    async def _receive_frames(self, stream: peer.Stream) -> None:
        while True:
            received = await stream.receive()
            if self.by_vm.get(stream.hello.vm) is not stream:
                return
            if isinstance(received, result.Err):
                if received.err_value != frames.STREAM_CLOSED:
                    self._reject(stream, received.err_value)
                return
            if isinstance(received.ok_value, frames.Hello):
                self._reject(stream, 'unexpected second Hello')
                return
            self._events.frame_received(stream, received.ok_value)

    def _reject(self, stream: peer.Stream, cause: str) -> None:
        self._ctx.metrics.count('peer_streams_rejected_total')
        _LOG.warning('Peer stream rejected: %s.', cause)
        stream.abort(cause)

    def _register(self, stream: peer.Stream) -> bool:
        """Register a stream, except for a duplicate of a simultaneous open."""
        hello = stream.hello
        old = self.by_vm.get(hello.vm)
        if old is not None:
            if self._is_simultaneous_open(old, stream):
                return False
            old.abort('replaced by a newer stream')
            self._unregister(old)
        self.by_vm[hello.vm] = stream
        _LOG.info('Stream to peer %s opened.', hello.vm)
        self._events.stream_opened(stream)
        return True

    def _is_simultaneous_open(self, old: peer.Stream, new: peer.Stream) -> bool:
        """Return whether the VM with the smaller id has just opened ``old``.

        Both ends come to the same result, so that exactly one stream remains.
        """
        smaller_dials = self._vm < new.hello.vm
        return (
            old.hello.incarnation == new.hello.incarnation
            and old.dialed == smaller_dials
            and new.dialed != smaller_dials
            and self._ctx.clock.now() - old.opened_at < SIMULTANEOUS_OPEN_S
        )

    def _unregister(self, stream: peer.Stream) -> None:
        hello = getattr(stream, 'hello', None)
        if hello is None or self.by_vm.get(hello.vm) is not stream:
            return
        self.by_vm.pop(hello.vm)
        # Only a stream that has lasted resets the number of failures.
        if self._ctx.clock.now() - stream.opened_at >= BACK_OFF_MAX_S:
            self._retries.pop(hello.vm, None)
        self._back_off(hello.vm)
        self._events.stream_closed(stream)
