"""Decision whether the copy of a table of the store may be acted on.

Load pattern: a store that is slow, loses responses, or refuses calls beyond
its rate when many VMs read. A single failed read then does not show that the
store is down, and a copy that is too old must not be used.
"""

import dataclasses

#: Time without a response of the store on any table after which failed reads
#: of a table count as an outage, in seconds. Calls time out after 0.6 s, and
#: the configuration is polled every second.
STORE_SILENT_S = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reads:
    """Outcome of the reads of one table."""

    #: Local time at which the newest successful read was sent, in seconds,
    #: None before the first.
    read_at: float | None

    #: Failed reads since then.
    failures: int

    #: Local time of the store's last response on any table, in seconds.
    responded_at: float


def is_unreadable(reads: Reads, now: float) -> bool:
    """Return whether the store cannot be read at present.

    Also if it refuses all calls of this VM, which it may do for seconds.
    """
    if not reads.failures:
        return False
    return now - reads.responded_at > STORE_SILENT_S


def is_current(reads: Reads, max_age_s: float, now: float) -> bool:
    """Return whether the copy is recent enough, or the newest to be had."""
    if reads.read_at is not None and now - reads.read_at <= max_age_s:
        return True
    return is_unreadable(reads, now)
