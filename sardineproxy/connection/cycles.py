"""Releases what closed connections hold in reference cycles.

The load pattern: clients whose requests are cut off, thousands a minute. The
error of a lost connection, the frames that it has passed, and the request with
up to 256 KB of its body refer to each other. Python collects such cycles by the
number of objects, not by their size: 300 MB of them may wait.
"""

import gc

#: Connections that are closed with an unfinished request between two
#: collections. A collection takes some milliseconds if the objects of the
#: start are frozen.
CLOSED_CONNECTIONS = 32


class CycleCollector:
    """Collects cycles after a number of connections has been closed."""

    def __init__(self) -> None:
        """Start without closed connections."""
        self._closed = 0

    def count_closed(self) -> None:
        """Count a connection that was closed with an unfinished request."""
        self._closed += 1
        if self._closed >= CLOSED_CONNECTIONS:
            self._closed = 0
            gc.collect()
