"""Shares processor time between connections that wait to be parsed.

The load pattern: thousands of clients send bodies in chunks of one byte. To
parse 256 KiB of them, the most that a socket is read at once, takes 10 ms, so
that ordinary requests and the heartbeats of links would wait for seconds.
"""

import asyncio
import collections
import time
from typing import Callable, Hashable, Protocol

#: Received bytes that are parsed at once, without a turn. Ordinary requests
#: have a few hundred bytes.
AT_ONCE_BYTES = 4096

#: Largest number of bytes that a connection parses in a turn.
TURN_BYTES = 16_384

#: Processor time of turns in one iteration of the event loop, in seconds.
ITERATION_S = 0.005


class Connection(Hashable, Protocol):
    """A connection with received bytes that are not parsed."""

    def take_turn(self) -> None:
        """Parse at most ``TURN_BYTES``, and ask for another turn if needed."""


class Turns:
    """Gives turns to the connections of a process, one after the other."""

    def __init__(self, *, now: Callable[[], float] = time.monotonic) -> None:
        """Start without connections."""
        self._now = now

        #: Connections in the order of their turns; the values are not used.
        self._waiting: collections.OrderedDict[Connection, None] = (
            collections.OrderedDict()
        )
        self._handle: asyncio.Handle | None = None

    def add(self, conn: Connection) -> None:
        """Give a connection a turn, if it does not wait for one already."""
        self._waiting.setdefault(conn, None)
        if self._handle is None:
            self._handle = asyncio.get_running_loop().call_soon(self._run)

    def discard(self, conn: Connection) -> None:
        """Forget a connection."""
        self._waiting.pop(conn, None)

    def _run(self) -> None:
        self._handle = None
        end_at = self._now() + ITERATION_S
        try:
            while self._waiting and self._now() < end_at:
                conn, _ = self._waiting.popitem(last=False)
                conn.take_turn()
        finally:
            # Also if a connection fails, so that the others go on.
            if self._waiting and self._handle is None:
                loop = asyncio.get_running_loop()
                self._handle = loop.call_soon(self._run)
