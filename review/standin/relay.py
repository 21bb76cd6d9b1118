"""A relay before the control listener of one entry VM.

While a VM is cut off, bytes between it and the VM behind the relay are held,
as in a partition without resets; they are passed on when it has healed, unless
a side has closed the connection by then. A connection that is opened meanwhile
never works, so that its caller has to open a new one.
"""

import asyncio
import contextlib


class Relay:
    """Passes the connections of other VMs on to one VM."""

    def __init__(self, vm, names):
        self.vm = vm
        self.names = [name for name in names if name != vm.name]
        self.port = 0
        self._cut = set()
        self._healed = asyncio.Event()

    async def listen(self, host):
        server = await asyncio.start_server(self._accept, host, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    def cut(self, name):
        self._cut.add(name)

    def heal(self, name):
        self._cut.discard(name)
        self._healed.set()
        self._healed = asyncio.Event()

    async def _accept(self, reader, writer):
        try:
            first = await reader.read(65536)
        except ConnectionError:
            first = b''
        caller = next((name for name in self.names
                       if name.encode() in first), None)
        if not first or caller is None:
            writer.transport.abort()
            return
        if caller in self._cut or self.vm.name in self._cut:
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.transport.abort()
            return
        try:
            target_reader, target = await asyncio.open_connection(
                self.vm.host, self.vm.control)
        except OSError:
            writer.transport.abort()
            return
        target.write(first)
        await asyncio.gather(
            self._pass(reader, target, caller),
            self._pass(target_reader, writer, caller))

    async def _pass(self, reader, writer, caller):
        with contextlib.suppress(ConnectionError):
            while True:
                chunk = await reader.read(65536)
                await self._wait_healed(caller)
                if not chunk:
                    break
                writer.write(chunk)
                await writer.drain()
        writer.transport.abort()

    async def _wait_healed(self, caller):
        while caller in self._cut or self.vm.name in self._cut:
            healed = self._healed
            await healed.wait()
