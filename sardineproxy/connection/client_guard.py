"""Applies the limits of ``client_limits`` to connections."""

import enum
import time
from typing import Callable, Hashable, Protocol

from sardineproxy import logs
from sardineproxy.connection import client_limits, cycles, parse_turns
from sardineproxy.process import metrics

#: Shortest time between two log lines of one listener and cause, in seconds.
LOG_INTERVAL_S = 10.0

Phase = client_limits.Phase

_LOG = logs.get_logger('clients')


class Cause(enum.Enum):
    """Why a connection was refused or closed; the names are in metrics."""

    HEAD = 'head'
    MALFORMED = 'malformed'
    SLOW = 'slow'
    BODY = 'body'
    PIPELINED = 'pipelined'
    UNREAD = 'unread'
    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    IDLE = 'idle'


_MESSAGES = {  # noqa: WPS407
    Cause.HEAD: 'Connections closed: head over the limit.',
    Cause.MALFORMED: 'Connections closed: malformed request.',
    Cause.SLOW: 'Connections closed: request arrives too slowly.',
    Cause.BODY: 'Connections closed: body far over the limit.',
    Cause.PIPELINED: 'Connections closed: too many pipelined requests.',
    Cause.UNREAD: 'Connections closed: reply not read in time.',
    Cause.MEMORY: 'Connections closed: clients hold too many bytes.',
    Cause.CONNECTIONS: 'Connections refused: too many are open.',
    Cause.IDLE: 'Idle connections closed: too many are open.',
}


#: Causes for which a connection is closed for a new one.
_REPLACEMENT_CAUSES = {  # noqa: WPS407
    Phase.NEW: Cause.IDLE,
    Phase.IDLE: Cause.IDLE,
    Phase.ARRIVING: Cause.SLOW,
    Phase.UNREAD: Cause.UNREAD,
}


class Connection(Hashable, Protocol):
    """A connection that the guard may close."""

    def close_excess(self, cause: Cause) -> None:
        """Close at once; refuse a request that has not been accepted."""


class ClientGuard:
    """Counts what the clients of a process hold, and closes connections."""

    def __init__(
        self,
        *,
        limits: client_limits.Limits,
        metrics: metrics.Metrics,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without connections; all listeners share one guard."""
        self.limits = limits
        self._metrics = metrics
        self._now = now
        self._usage: client_limits.Usage[Connection] = client_limits.Usage(
            max_held_bytes=limits.held_bytes
        )
        self._lingering: set[Connection] = set()

        #: Turns of the connections to parse what they have received.
        self.turns = parse_turns.Turns(now=now)
        self.cycles = cycles.CycleCollector()
        self._log = _BoundedLog()
        metrics.set_gauge('client_held_bytes', lambda: self._usage.held_bytes)

    def add(
        self,
        conn: Connection,
        *,
        listener: str,
        max_connections: int,
        min_idle_s: float,
    ) -> bool:
        """Add a connection; return False if it must be refused.

        At the limit, a connection that has been idle for ``min_idle_s`` is
        closed for the new one, or one without a whole request.
        """
        now = self._now()
        if self._usage.count(listener) >= max_connections:
            replaceable = self._usage.choose_replaceable(
                listener, min_idle_s, now
            )
            if replaceable is None:
                self.count(listener, Cause.CONNECTIONS)
                return False
            replaced, phase = replaceable
            self._usage.remove(replaced)
            replaced.close_excess(_REPLACEMENT_CAUSES[phase])
        self._usage.add(conn, listener, now)
        return True

    def remove(self, conn: Connection) -> None:
        """Remove a connection that was closed."""
        self._usage.remove(conn)
        self._lingering.discard(conn)

    def may_linger(self, conn: Connection) -> bool:
        """Return whether a refused connection may wait for its client.

        A client that still sends sees no reply if the connection is closed
        at once. At most ``backlog`` connections wait, as they are not counted.
        """
        if len(self._lingering) >= self.limits.backlog:
            return False
        self._lingering.add(conn)
        return True

    def update(self, conn: Connection, phase: Phase, held_bytes: int) -> None:
        """Set what a connection does and holds; close connections if needed.

        This connection may be one of those that are closed.
        """
        now = self._now()
        self._usage.update(conn, phase, held_bytes, now)
        excess = self._usage.choose_excess(now)
        while excess is not None:
            self._usage.remove(excess)
            excess.close_excess(Cause.MEMORY)
            excess = self._usage.choose_excess(now)

    def count(self, listener: str, cause: Cause, **extra: object) -> None:
        """Count a refused or closed connection, and log it at times."""
        self._metrics.count(
            'client_connections_closed_total',
            listener=listener,
            cause=cause.value,
        )
        self._log.write(listener, cause, self._now(), extra)


class _BoundedLog:
    """Writes a line for a listener and cause at a bounded rate."""

    def __init__(self) -> None:
        self._next_at: dict[tuple[str, Cause], float] = {}
        self._counts: dict[tuple[str, Cause], int] = {}

    def write(
        self,
        listener: str,
        cause: Cause,
        now: float,
        extra: dict[str, object],
    ) -> None:
        """Log one line with the number of cases since the last."""
        key = (listener, cause)
        self._counts[key] = self._counts.get(key, 0) + 1
        if now < self._next_at.get(key, 0):
            return
        self._next_at[key] = now + LOG_INTERVAL_S
        _LOG.warning(
            _MESSAGES[cause],
            extra={
                'listener': listener,
                'count': self._counts.pop(key),
                **extra,
            },
        )
