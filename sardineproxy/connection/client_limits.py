"""Decides which client connections to refuse or to close.

The load pattern: clients that are not under control open many connections,
send requests that never end, or do not read their replies. Each of them holds
little, but all together hold more memory or descriptors than the machine has.
The functions have no clock, input or output; ``now`` is in monotonic seconds.
"""

import dataclasses
import enum
from typing import Generic, Hashable, TypeVar

#: Part of the machine's memory that clients may make the process hold. The
#: process itself needs 40 to 60 MB of the 160 MB of the smallest machine, and
#: its heap up to a third more than the bytes that it holds.
HELD_DIVISOR = 4

#: Descriptors that are not used for clients: 200 for files, and 512 for links,
#: the store, workers and the listeners for checks and metrics (97 VMs and 350
#: workers are in use). At most half of all descriptors.
RESERVED_FDS = 712

#: Part of the descriptors for connections that are accepted in one iteration
#: of the event loop, before the first of them is refused.
BACKLOG_DIVISOR = 8
MAX_BACKLOG = 1024

#: Age in seconds from which an unfinished request or an unread reply is slow.
#: A request of the largest size arrives within milliseconds in a data center.
SLOW_S = 1.0

#: Time without a whole request after which a connection is closed for a new
#: one, if all are in use, in seconds. Ordinary clients send a request as soon
#: as they are connected.
MIN_OPEN_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Resources that all clients of a process may use together."""

    #: Bytes of unfinished and waiting requests, and of unread replies.
    held_bytes: int

    #: Connections of the listener for clients.
    connections: int

    #: Connections that the kernel accepts before the process does.
    backlog: int


def derive_limits(*, memory_bytes: int, max_fds: int) -> Limits:
    """Return the limits for a machine."""
    backlog = min(MAX_BACKLOG, max_fds // BACKLOG_DIVISOR)
    reserved = min(RESERVED_FDS, max_fds // 2)
    return Limits(
        held_bytes=memory_bytes // HELD_DIVISOR,
        connections=max_fds - reserved - backlog,
        backlog=backlog,
    )


class Phase(enum.Enum):
    """What a connection does; it holds nothing while new or idle."""

    #: Nothing has been received yet.
    NEW = 'new'

    #: All requests have been answered.
    IDLE = 'idle'

    #: A request has begun and is not complete.
    ARRIVING = 'arriving'

    #: A complete request waits or is being handled.
    ACCEPTED = 'accepted'

    #: The client has not read a reply yet.
    UNREAD = 'unread'


_Conn = TypeVar('_Conn', bound=Hashable)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Entry:
    listener: str
    phase: Phase = Phase.NEW
    held_bytes: int = 0


class Usage(Generic[_Conn]):
    """What each connection holds, and since when. Each call is O(1)."""

    def __init__(self, *, max_held_bytes: int) -> None:
        """Start without connections."""
        self.max_held_bytes = max_held_bytes
        self.held_bytes = 0
        self._entries: dict[_Conn, _Entry] = {}

        #: Connections of a listener and phase, those that have been in it
        #: longest first, with the time since when.
        self._order: dict[tuple[str, Phase], dict[_Conn, float]] = {}

        #: Number of connections by listener.
        self._counts: dict[str, int] = {}

    def count(self, listener: str) -> int:
        """Return the number of connections of a listener."""
        return self._counts.get(listener, 0)

    def add(self, conn: _Conn, listener: str, now: float) -> None:
        """Add a connection without a request."""
        self._entries[conn] = _Entry(listener=listener)
        self._counts[listener] = self.count(listener) + 1
        self._ordered(listener, Phase.NEW)[conn] = now

    def remove(self, conn: _Conn) -> None:
        """Remove a connection, if it is known."""
        entry = self._entries.pop(conn, None)
        if entry is not None:
            self.held_bytes -= entry.held_bytes
            self._counts[entry.listener] -= 1
            self._ordered(entry.listener, entry.phase).pop(conn)

    def update(
        self, conn: _Conn, phase: Phase, held_bytes: int, now: float
    ) -> None:
        """Set what a connection does and holds, if it is known.

        A connection without a request stays new.
        """
        entry = self._entries.get(conn)
        if entry is None:
            return
        self.held_bytes += held_bytes - entry.held_bytes
        entry.held_bytes = held_bytes
        is_still_new = entry.phase is Phase.NEW and phase is Phase.IDLE
        if phase is not entry.phase and not is_still_new:
            self._ordered(entry.listener, entry.phase).pop(conn)
            self._ordered(entry.listener, phase)[conn] = now
            entry.phase = phase

    def choose_excess(self, now: float) -> _Conn | None:
        """Return the connection to close next, None within the limit.

        Slow requests and slow readers first, then the newest unfinished
        request, and accepted requests last. An ordinary request arrives whole
        at once, so that it is never among the unfinished ones.
        """
        if self.held_bytes <= self.max_held_bytes:
            return None
        for phase in (Phase.ARRIVING, Phase.UNREAD):
            oldest = self._oldest(phase)
            if oldest is not None and now - oldest[1] >= SLOW_S:
                return oldest[0]
        for phase in (Phase.ARRIVING, Phase.UNREAD, Phase.ACCEPTED):
            newest = self._newest(phase)
            if newest is not None:
                return newest
        return None

    def choose_replaceable(
        self, listener: str, min_idle_s: float, now: float
    ) -> tuple[_Conn, Phase] | None:
        """Return the connection to close for a new one, and what it does.

        The one that has been idle for longest, if for ``min_idle_s``, then
        one without a whole request, then the slowest reader. A client that
        connects again and again therefore keeps no other out. None if there
        is none of them.
        """
        min_ages = (
            (Phase.IDLE, min_idle_s),
            (Phase.NEW, MIN_OPEN_S),
            (Phase.ARRIVING, MIN_OPEN_S),
            (Phase.UNREAD, SLOW_S),
        )
        for phase, min_age_s in min_ages:
            ordered = self._ordered(listener, phase)
            conn = next(iter(ordered), None)
            if conn is not None and now - ordered[conn] >= min_age_s:
                return conn, phase
        return None

    def _ordered(self, listener: str, phase: Phase) -> dict[_Conn, float]:
        return self._order.setdefault((listener, phase), {})

    def _oldest(self, phase: Phase) -> tuple[_Conn, float] | None:
        firsts = [
            next(iter(ordered.items()))
            for (_, ordered_phase), ordered in self._order.items()
            if ordered_phase is phase and ordered
        ]
        return min(firsts, key=lambda first: first[1], default=None)

    def _newest(self, phase: Phase) -> _Conn | None:
        lasts = [
            next(reversed(ordered.items()))
            for (_, ordered_phase), ordered in self._order.items()
            if ordered_phase is phase and ordered
        ]
        newest = max(lasts, key=lambda last: last[1], default=None)
        return None if newest is None else newest[0]
