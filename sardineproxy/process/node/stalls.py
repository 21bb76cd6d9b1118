"""Detects from late ticks that the process was paused or delayed."""

from typing import Callable

from sardineproxy import logs
from sardineproxy.process import metrics

#: Gap between two ticks that counts as a stall of the process, in seconds.
#: Peers close a link after 0.4 s without a heartbeat.
STALL_S = 0.3

#: A tick that is late by this time, in seconds, shows that the process was
#: delayed and has probably not read what its peers have sent.
LATE_TICK_S = 0.05

#: Time after a stall in which requests are refused, in seconds: their clients
#: may have abandoned the connections during the stall.
STALL_REFUSAL_S = 0.05

_LOG = logs.get_logger('node')


class StallDetector:
    """Compares the times of the ticks of a process."""

    def __init__(
        self,
        *,
        tick_s: float,
        metrics: metrics.Metrics,
        on_stall: Callable[[], None],
        now: float,
    ) -> None:
        """Create a detector of ticks that are due every ``tick_s`` seconds.

        ``on_stall`` is called after each stall.
        """
        self._tick_s = tick_s
        self._metrics = metrics
        self._on_stall = on_stall
        self._last_tick_at = now
        self._refusing_until: float = 0

    def restart(self, now: float) -> None:
        """Expect the next tick from now on."""
        self._last_tick_at = now

    def tick(self, now: float) -> bool:
        """Record a tick; return whether it is late."""
        self._check(now)
        is_late = now - self._last_tick_at > self._tick_s + LATE_TICK_S
        self._last_tick_at = now
        return is_late

    def is_recovering(self, now: float) -> bool:
        """Return whether requests are refused because of a recent stall."""
        self._check(now)
        return now < self._refusing_until

    def _check(self, now: float) -> None:
        gap_s = now - self._last_tick_at
        if gap_s < STALL_S:
            return
        self._last_tick_at = now
        _LOG.warning('Process stalled.', extra={'gap_s': round(gap_s, 3)})
        self._metrics.count('stalls_total')
        self._refusing_until = now + STALL_REFUSAL_S
        self._on_stall()
