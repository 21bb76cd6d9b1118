"""HTTP/1.1 server for small requests and responses.

Importing aiohttp takes 0.25 s of processor time, which delays each start of a
process on a small VM; docs/platform.md has the figures.
"""

import asyncio

from sardineproxy import deployment
from sardineproxy.connection import (
    client_guard,
    client_limits,
    http_connection,
    http_messages,
)
from sardineproxy.process import metrics

Request = http_messages.Request
Response = http_messages.Response
ServerConfig = http_messages.ServerConfig
Handler = http_messages.Handler

#: Limit of a server that has no guard, in bytes.
DEFAULT_HELD_BYTES = 40_000_000


class HttpServer:
    """Passes requests to a handler; the client's disconnect cancels it."""

    def __init__(
        self,
        *,
        handler: Handler,
        cfg: ServerConfig,
        guard: client_guard.ClientGuard | None = None,
    ) -> None:
        """Create a server; ``start`` opens the listener.

        Servers of one process share ``guard``.
        """
        self._handler = handler
        self._cfg = cfg
        self._guard = guard or _default_guard(cfg)
        self._connections: set[http_connection.Connection] = set()
        self._server: asyncio.AbstractServer | None = None

    async def start(self, address: deployment.Address) -> None:
        """Open the listener; raises OSError if that is not possible."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection,
            address.host,
            address.port,
            backlog=self._cfg.backlog,
        )

    async def close(self) -> None:
        """Close the listener and all connections, and cancel all requests."""
        if self._server is not None:
            self._server.close()
        for conn in list(self._connections):
            conn.close()

    def _make_connection(self) -> asyncio.Protocol:
        return http_connection.Connection(
            handler=self._handler,
            cfg=self._cfg,
            guard=self._guard,
            connections=self._connections,
        )


def _default_guard(cfg: ServerConfig) -> client_guard.ClientGuard:
    return client_guard.ClientGuard(
        limits=client_limits.Limits(
            held_bytes=DEFAULT_HELD_BYTES,
            connections=cfg.max_connections,
            backlog=cfg.backlog,
        ),
        metrics=metrics.Metrics(),
    )
