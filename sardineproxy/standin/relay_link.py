"""One relayed connection: two pumps that obey the present mode."""

import asyncio
import contextlib

from sardineproxy.standin import endpoint_reset, relay_modes

CHUNK_BYTES = 65_536

#: Chunks that one direction holds before it stops reading.
MAX_HELD_CHUNKS = 64
MILLISECONDS_PER_SECOND = 1000


class _Pump:
    """Forwards one direction in order, each chunk when it is due."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        side: relay_modes.Side,
    ) -> None:
        """Forward from ``reader`` to ``writer``, which leads to ``side``."""
        self._reader = reader
        self._writer = writer
        self._side = side
        self._held: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAX_HELD_CHUNKS
        )
        self._changed = asyncio.Event()
        self._setting = relay_modes.Setting()
        self._ended = False
        self.forwarded_bytes = 0

    def apply(self, setting: relay_modes.Setting) -> None:
        """Obey a new setting from now on."""
        self._setting = setting
        self._changed.set()
        self._changed = asyncio.Event()
        if setting.mode is relay_modes.Mode.HALF_CLOSE:
            if setting.towards is self._side:
                self._end()

    async def run(self) -> None:
        """Forward until the end of the direction; raise on a reset."""
        await asyncio.gather(self._read(), self._write())

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'\n'
        while chunk:
            chunk = await self._reader.read(CHUNK_BYTES)
            delay_s = self._setting.delay_ms / MILLISECONDS_PER_SECOND
            await self._held.put((loop.time() + delay_s, chunk))

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'\n'
        while chunk:
            due, chunk = await self._held.get()
            await asyncio.sleep(due - loop.time())
            while self._setting.mode is relay_modes.Mode.SILENT:
                await self._changed.wait()
            await self._forward(chunk)

    async def _forward(self, chunk: bytes) -> None:
        if self._ended:
            return
        if not chunk:
            self._end()
            return
        self._writer.write(chunk)
        self.forwarded_bytes += len(chunk)
        await self._writer.drain()

    def _end(self) -> None:
        self._ended = True
        with contextlib.suppress(OSError):
            self._writer.write_eof()


class Link:
    """A client's connection and the one that was made for it."""

    def __init__(
        self,
        *,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        setting: relay_modes.Setting,
    ) -> None:
        """Prepare to relay between the two."""
        self._writers = (client[1], target[1])
        self._pumps = (
            _Pump(
                reader=client[0],
                writer=target[1],
                side=relay_modes.Side.TARGET,
            ),
            _Pump(
                reader=target[0],
                writer=client[1],
                side=relay_modes.Side.CLIENT,
            ),
        )
        self.apply(setting)

    @property
    def forwarded_bytes(self) -> int:
        """Return the bytes that were forwarded both ways."""
        return sum(pump.forwarded_bytes for pump in self._pumps)

    def apply(self, setting: relay_modes.Setting) -> None:
        """Obey a new setting from now on."""
        for pump in self._pumps:
            pump.apply(setting)
        if setting.mode is relay_modes.Mode.CUT:
            self.reset()

    def reset(self) -> None:
        """Reset both connections."""
        for writer in self._writers:
            endpoint_reset.reset(writer.transport)

    async def run(self) -> None:
        """Relay until both directions ended or one side is reset."""
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
