"""End a connection with a reset instead of an orderly close."""

import asyncio
import socket
import struct

#: ``struct linger`` that makes a close discard data and send a reset.
_NO_LINGER = struct.pack('ii', 1, 0)


def reset(transport: asyncio.BaseTransport | None) -> None:
    """Reset the connection; one that is lost already is left alone."""
    if not isinstance(transport, asyncio.Transport) or transport.is_closing():
        return
    transport.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
    )
    transport.abort()
