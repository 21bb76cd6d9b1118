"""Reset of a TCP connection."""

import asyncio
import socket
import struct

#: ``struct linger`` with which close discards unsent data and sends a reset.
_NO_LINGER = struct.pack('ii', 1, 0)


def reset(transport: asyncio.BaseTransport | None) -> None:
    """Reset the connection unless it is closed or closing."""
    if not isinstance(transport, asyncio.Transport) or transport.is_closing():
        return
    transport.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
    )
    transport.abort()
