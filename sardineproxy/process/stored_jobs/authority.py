"""Decides whether a job manager may send work without asking the store.

Fault pattern: a manager is partitioned or paused, another process takes over
its shard, and the links of the former manager open again before it learns of
the takeover. The work that it sends then may have ended or been cancelled.
"""

import dataclasses
from typing import Protocol

#: Gap between two ticks, in seconds, after which other processes may have
#: replaced this one: they close a link after 0.4 s without a heartbeat.
MAX_TICK_GAP_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """State of an authority when a call to the store began."""

    generation: int

    #: Local time, in seconds.
    began_at: float


class Contact(Protocol):
    """Contact with processes that could take over, in local seconds."""

    @property
    def confirmed_at(self) -> float:
        """Return when the store or all these processes last responded."""

    @property
    def heard_at(self) -> float | None:
        """Return since when all of them have sent a message."""


class Authority:
    """Whether the authority was confirmed since it was last invalidated."""

    def __init__(self, *, unconfirmed_s: float) -> None:
        """Create an unconfirmed authority.

        ``unconfirmed_s`` is the time without contact after which it is
        unconfirmed again, in seconds.
        """
        self._unconfirmed_s = unconfirmed_s
        self._generation = 1
        self._confirmed_generation = 0
        self._contact_at: float | None = None
        self._ticked_at: float | None = None

        #: Time of the first tick after the last invalidation.
        self._unconfirmed_seen_at: float | None = None

    @property
    def is_confirmed(self) -> bool:
        """Return whether a confirmation began after the last invalidation."""
        return self._confirmed_generation == self._generation

    def invalidate(self) -> None:
        """Record that another process may have taken over the jobs."""
        self._generation += 1
        self._unconfirmed_seen_at = None

    def mark(self, now: float) -> Mark:
        """Return the present state; call it before a call to the store."""
        return Mark(generation=self._generation, began_at=now)

    def confirm(self, mark: Mark) -> None:
        """Record a confirmation by a call that began at ``mark``."""
        self._confirmed_generation = max(
            self._confirmed_generation, mark.generation
        )
        self._contact_at = max(self._contact_at or 0, mark.began_at)

    def tick(self, contact: Contact, now: float) -> None:
        """Invalidate the authority after a gap, or after a time without contact.

        It is confirmed by messages from all processes that could have taken
        over: each is sent by a process that would have reported that.
        """
        self._contact_at = max(self._contact_at or 0, contact.confirmed_at)
        has_gap = (
            self._ticked_at is not None
            and now - self._ticked_at >= MAX_TICK_GAP_S
        )
        self._ticked_at = now
        if has_gap or now - self._contact_at >= self._unconfirmed_s:
            self.invalidate()
        if self._unconfirmed_seen_at is None:
            self._unconfirmed_seen_at = now
        elif contact.heard_at is not None and (
            contact.heard_at > self._unconfirmed_seen_at
        ):
            self._confirmed_generation = self._generation
