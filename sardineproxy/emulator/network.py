"""Network between emulated VMs: connections that can be cut and delayed.

A silent path holds all bytes until it is open again, as TCP does that sends
them again. A refused path resets its connections.
"""

import asyncio
import collections
import enum
import functools
from typing import Any

from sardineproxy import deployment, ids
from sardineproxy.emulator import virtual_loop
from sardineproxy.process.membership import links

#: Time in which a dialing VM gives up by itself, in seconds.
_FOREVER_S = 3600


class PathState(enum.Enum):
    """What happens to bytes between two VMs."""

    OPEN = 'open'
    SILENT = 'silent'
    REFUSED = 'refused'


#: The two VMs of a path.
Path = frozenset[ids.VmId]


class Network:
    """Paths between VMs, and the connections on them."""

    def __init__(self, *, latency_s: float) -> None:
        """Create a network without listeners; ``latency_s`` is one way."""
        self.latency_s = latency_s
        self._listeners: dict[deployment.Address, 'Interface'] = {}
        self._states: dict[Path, PathState] = {}
        self._streams: dict[Path, set['_Stream']] = {}

    def state(self, path: Path) -> PathState:
        """Return the state of the path between two VMs."""
        return self._states.get(path, PathState.OPEN)

    def set_state(self, path: Path, state: PathState) -> None:
        """Set the state of the path between two VMs."""
        self._states[path] = state
        for stream in list(self._streams.get(path, ())):
            if state is PathState.REFUSED:
                stream.reset()
            else:
                stream.deliver_due()

    def listen(
        self, address: deployment.Address, interface: 'Interface'
    ) -> None:
        """Let a VM accept connections at an address."""
        self._listeners[address] = interface

    def find_listener(self, address: deployment.Address) -> 'Interface | None':
        """Return the running process that listens at an address."""
        listener = self._listeners.get(address)
        if listener is None or listener.process.is_killed:
            return None
        return listener

    def connect(self, client: 'Interface', server: 'Interface') -> '_Stream':
        """Open a connection; return the client's end."""
        path = frozenset((client.vm, server.vm))
        near = _Stream(network=self, path=path, process=client.process)
        far = _Stream(network=self, path=path, process=server.process)
        near.peer = far
        far.peer = near
        self._streams.setdefault(path, set()).update((near, far))
        server.accept(far)
        return near

    def discard(self, stream: '_Stream') -> None:
        """Forget a closed connection."""
        self._streams[stream.path].discard(stream)

    def disconnect(self, process: virtual_loop.Process) -> None:
        """Close all connections of a killed process."""
        for streams in self._streams.values():
            for stream in list(streams):
                if stream.process is process:
                    stream.abort()


class Interface:
    """Access of one process to the network."""

    def __init__(
        self, *, network: Network, vm: ids.VmId, process: virtual_loop.Process
    ) -> None:
        """Create an interface that accepts no connections."""
        self.vm = vm
        self.process = process
        self._network = network
        self._accept: links.Accept | None = None

    async def connect(
        self, host: str, port: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, like ``asyncio.open_connection``."""
        await asyncio.sleep(2 * self._network.latency_s)
        address = deployment.Address(host=host, port=port)
        listener = self._network.find_listener(address)
        if listener is None:
            raise ConnectionRefusedError(str(address))
        match self._network.state(frozenset((self.vm, listener.vm))):
            case PathState.REFUSED:
                raise ConnectionRefusedError(str(address))
            case PathState.SILENT:
                await asyncio.sleep(_FOREVER_S)
        stream = self._network.connect(self, listener)
        return stream.reader, stream.writer

    async def listen(
        self, accept: links.Accept, host: str, port: int
    ) -> asyncio.Server:
        """Accept connections, like ``asyncio.start_server``."""
        self._accept = accept
        self._network.listen(deployment.Address(host=host, port=port), self)
        server: Any = _Server()
        return server

    def accept(self, stream: '_Stream') -> None:
        """Pass a new connection to the process."""
        self.process.call(lambda: self._start_accepting(stream))

    def _start_accepting(self, stream: '_Stream') -> None:
        assert self._accept is not None
        asyncio.ensure_future(self._accept(stream.reader, stream.writer))


class _Server:
    def close(self) -> None:
        """Close the listener; a killed process accepts nothing anyway."""


class _Stream:
    """One end of a connection: what the peer has sent, and the writer."""

    peer: '_Stream'

    def __init__(
        self, *, network: Network, path: Path, process: virtual_loop.Process
    ) -> None:
        self.path = path
        self.process = process
        self.reader = asyncio.StreamReader()
        self.writer: Any = _Writer(self)
        self.is_closed = False
        self._network = network

        #: Bytes to deliver here, and when; None is the end of the stream.
        self._incoming: collections.deque[tuple[float, bytes | None]] = (
            collections.deque()
        )

    @property
    def undelivered_bytes(self) -> int:
        return sum(len(chunk or b'') for _, chunk in self._incoming)

    def send(self, chunk: bytes | None) -> None:
        """Send bytes to the peer."""
        self.peer.enqueue(chunk)

    def enqueue(self, chunk: bytes | None) -> None:
        """Deliver what the peer sends after the latency of the path."""
        loop = asyncio.get_running_loop()
        latency_s = self._network.latency_s
        self._incoming.append((loop.time() + latency_s, chunk))
        virtual_loop.call_outside(latency_s, self.deliver_due)

    def deliver_due(self) -> None:
        """Deliver what has arrived, unless the path is silent."""
        if self._network.state(self.path) is not PathState.OPEN:
            return
        now = asyncio.get_running_loop().time()
        while self._incoming and self._incoming[0][0] <= now:
            _, chunk = self._incoming.popleft()
            self.process.call(functools.partial(self._receive, chunk))

    def abort(self) -> None:
        """Close the connection at this end; the peer learns of it later."""
        if self.is_closed:
            return
        self._close()
        self._network.discard(self)
        self.send(None)

    def reset(self) -> None:
        """Let the process find the connection reset."""
        self._incoming.clear()
        self._network.discard(self)
        self.process.call(self._close)

    def _receive(self, chunk: bytes | None) -> None:
        if self.is_closed:
            return
        if chunk is None:
            self._close()
            self._network.discard(self)
        else:
            self.reader.feed_data(chunk)

    def _close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.reader.feed_eof()


class _Writer:
    """The methods of a stream writer and its transport that links use."""

    def __init__(self, stream: _Stream) -> None:
        self._stream = stream
        self.transport = self

    def write(self, chunk: bytes) -> None:
        if not self._stream.is_closed:
            self._stream.send(chunk)

    def is_closing(self) -> bool:
        return self._stream.is_closed

    def abort(self) -> None:
        self._stream.abort()

    def get_write_buffer_size(self) -> int:
        return self._stream.peer.undelivered_bytes

    async def drain(self) -> None:
        """Return at once: nothing is buffered at this end."""
