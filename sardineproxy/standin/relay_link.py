"""One relayed connection, with one pump for each direction."""

import asyncio
import contextlib

from sardineproxy.standin import endpoint_reset, relay_modes

CHUNK_BYTES = 65_536

#: Chunks that one direction queues before it stops reading.
MAX_QUEUED_CHUNKS = 64
MILLISECONDS_PER_SECOND = 1000


class _Pump:
    """Forwards one direction in order, each chunk after the set delay."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        destination: relay_modes.Side,
    ) -> None:
        """Forward from ``reader`` to ``writer`` on the ``destination`` side."""
        self._reader = reader
        self._writer = writer
        self._destination = destination
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAX_QUEUED_CHUNKS
        )
        self._setting_changed = asyncio.Event()
        self._setting = relay_modes.Setting()
        self._eof_sent = False
        self.forwarded_bytes = 0

    def apply(self, setting: relay_modes.Setting) -> None:
        """Apply a new setting to all later traffic."""
        self._setting = setting
        self._setting_changed.set()
        self._setting_changed = asyncio.Event()
        if setting.mode is relay_modes.Mode.HALF_CLOSE:
            if setting.towards is self._destination:
                self._send_eof()

    async def run(self) -> None:
        """Forward until end of file; raise ``OSError`` on a reset."""
        await asyncio.gather(self._read(), self._write())

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'\n'
        while chunk:
            chunk = await self._reader.read(CHUNK_BYTES)
            delay_s = self._setting.delay_ms / MILLISECONDS_PER_SECOND
            await self._queue.put((loop.time() + delay_s, chunk))

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'\n'
        while chunk:
            due_at, chunk = await self._queue.get()
            await asyncio.sleep(due_at - loop.time())
            while self._setting.mode is relay_modes.Mode.SILENT:
                await self._setting_changed.wait()
            await self._forward(chunk)

    async def _forward(self, chunk: bytes) -> None:
        if self._eof_sent:
            return
        if not chunk:
            self._send_eof()
            return
        self._writer.write(chunk)
        self.forwarded_bytes += len(chunk)
        await self._writer.drain()

    def _send_eof(self) -> None:
        self._eof_sent = True
        with contextlib.suppress(OSError):
            self._writer.write_eof()


class Link:
    """A client connection and its connection to the target."""

    def __init__(
        self,
        *,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        setting: relay_modes.Setting,
    ) -> None:
        """Prepare to relay between ``client`` and ``target``."""
        self._writers = (client[1], target[1])
        self._pumps = (
            _Pump(
                reader=client[0],
                writer=target[1],
                destination=relay_modes.Side.TARGET,
            ),
            _Pump(
                reader=target[0],
                writer=client[1],
                destination=relay_modes.Side.CLIENT,
            ),
        )
        self.apply(setting)

    @property
    def forwarded_bytes(self) -> int:
        """Return the bytes that were forwarded in both directions."""
        return sum(pump.forwarded_bytes for pump in self._pumps)

    def apply(self, setting: relay_modes.Setting) -> None:
        """Apply a new setting to all later traffic."""
        for pump in self._pumps:
            pump.apply(setting)
        if setting.mode is relay_modes.Mode.CUT:
            self.reset()

    def reset(self) -> None:
        """Reset both connections."""
        for writer in self._writers:
            endpoint_reset.reset(writer.transport)

    async def run(self) -> None:
        """Relay until both directions end or one side is reset."""
        pumps = [asyncio.create_task(pump.run()) for pump in self._pumps]
        try:
            await asyncio.gather(*pumps)
        except OSError:
            self.reset()
        finally:
            await self._close(pumps)

    async def _close(self, pumps: list[asyncio.Task[None]]) -> None:
        for task in pumps:
            task.cancel()
        for writer in self._writers:
            writer.close()
        await asyncio.gather(*pumps, return_exceptions=True)
