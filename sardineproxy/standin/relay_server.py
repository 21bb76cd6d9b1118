"""Relay of TCP connections to one target address."""

import asyncio
import contextlib

from sardineproxy.standin import endpoint_reset, relay_link, relay_modes

#: Time limit for a connection to the target.
CONNECT_TIMEOUT_S = 10

#: Limit of connections that wait to be accepted.
BACKLOG = 1024


class Relay:
    """Accepts connections and relays each to the target."""

    def __init__(self, *, host: str, port: int) -> None:
        """Relay to ``host`` and ``port``, in the mode ``pass``."""
        self._host = host
        self._port = port
        self._links: set[relay_link.Link] = set()
        self._setting = relay_modes.Setting()
        self._accepted = 0
        self._forwarded_bytes = 0

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections; return the port."""
        server = await asyncio.start_server(
            self._serve, host, port, backlog=BACKLOG
        )
        return server.sockets[0].getsockname()[1]

    def apply(self, setting: relay_modes.Setting) -> None:
        """Apply a setting to open connections and, per its scope, later ones."""
        if setting.scope is relay_modes.Scope.ALL:
            self._setting = setting
        for link in self._links.copy():
            link.apply(setting)

    def dump(self) -> dict[str, object]:
        """Return the current setting and counts."""
        open_bytes = sum(link.forwarded_bytes for link in self._links)
        return {
            'setting': self._setting.model_dump(mode='json'),
            'open': len(self._links),
            'accepted': self._accepted,
            'forwarded_bytes': self._forwarded_bytes + open_bytes,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted += 1
        if self._setting.mode is relay_modes.Mode.CUT:
            endpoint_reset.reset(writer.transport)
            return
        try:
            target = await asyncio.wait_for(
                asyncio.open_connection(self._host, self._port),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, TimeoutError):
            endpoint_reset.reset(writer.transport)
            return
        link = relay_link.Link(
            client=(reader, writer), target=target, setting=self._setting
        )
        self._links.add(link)
        with contextlib.suppress(OSError):
            await link.run()
        self._links.discard(link)
        self._forwarded_bytes += link.forwarded_bytes
