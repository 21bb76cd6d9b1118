"""Proxies in front of the entry VMs' listeners for each other.

The address of a VM that its row in the store names is replaced by that of its
proxy. A proxy reads the first frame of a connection, which names the VM that
opened it, and forwards both directions unless the two VMs are partitioned.
"""

import asyncio
import base64
import contextlib
import json

_MEMBER = 'member/'


class LinkProxies:
    """The proxies of all VMs."""

    def __init__(self):
        self.addresses = {}
        self._names = []
        self._cut = set()
        self._healed = asyncio.Event()

    async def listen(self, vms):
        """Open a proxy for each VM."""
        self._names = [entry.name for entry in vms]
        for entry in vms:
            server = await asyncio.start_server(self._make_serve(entry), '127.0.0.1', 0)
            self.addresses[entry.name] = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def rewrite(self, table, key, value):
        """Replace the address in the row of a VM."""
        name = key.removeprefix(_MEMBER)
        if table != 'sardineproxy' or name not in self.addresses:
            return value
        document = json.loads(base64.b64decode(value))
        host, _, port = self.addresses[name].rpartition(':')
        document.update(host=host, port=int(port))
        return base64.b64encode(json.dumps(document).encode()).decode()

    def cut_off(self, entry, others):
        """Drop everything between a VM and others until ``heal``."""
        self._healed.clear()
        self._cut.update(frozenset((entry.name, other.name)) for other in others)

    def heal(self):
        """End all partitions."""
        self._cut.clear()
        self._healed.set()

    def _make_serve(self, target):
        async def serve(reader, writer):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self._run(target, reader, writer)
            writer.close()

        return serve

    async def _run(self, target, reader, writer):
        first = await reader.read(65_536)
        dialer = next((name for name in self._names if name.encode() in first), '')
        pair = frozenset((target.name, dialer))
        await self._wait_for_path(pair)
        host, _, port = target.control.rpartition(':')
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        target_writer.write(first)
        there = asyncio.create_task(self._forward(pair, reader, target_writer))
        back = asyncio.create_task(self._forward(pair, target_reader, writer))
        await asyncio.wait((there, back), return_when=asyncio.FIRST_COMPLETED)
        for task in (there, back):
            task.cancel()
        target_writer.close()

    async def _forward(self, pair, reader, writer):
        with contextlib.suppress(OSError):
            while True:
                received = await reader.read(65_536)
                await self._wait_for_path(pair)
                if not received:
                    return
                writer.write(received)
                await writer.drain()

    async def _wait_for_path(self, pair):
        while pair in self._cut:
            await self._healed.wait()
