"""Record of the tasks that a stand-in endpoint started."""

import collections
import dataclasses
import json
from typing import AsyncIterator

#: Starts that are kept; further starts are only counted.
MAX_STARTS = 1_000_000
LINES_PER_CHUNK = 200


@dataclasses.dataclass(kw_only=True, slots=True)
class Start:
    """One start of a task; times are monotonic seconds."""

    task: str
    arrival: float
    start: float

    #: None while the task runs.
    end: float | None = None

    #: Tasks that ran just after this one started, with this one.
    running: int = 0


class Record:
    """Starts in the order in which they happened, and their extremes."""

    def __init__(self) -> None:
        """Start with an empty record."""
        self._starts: list[Start] = []
        self._counts: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.most_running = 0

    def begin(self, *, task: str, arrival: float, now: float) -> Start:
        """Record that a task starts."""
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        start = Start(
            task=task, arrival=arrival, start=now, running=self.running
        )
        self._counts['started'] += 1
        if len(self._starts) < MAX_STARTS:
            self._starts.append(start)
        return start

    def finish(self, start: Start, *, now: float) -> None:
        """Record that a task ended."""
        self.running -= 1
        start.end = now

    def count(self, name: str) -> None:
        """Count an event that is no start."""
        self._counts[name] += 1

    def clear(self) -> None:
        """Forget the past; running tasks still count as running."""
        self._starts = []
        self._counts.clear()
        self.most_running = self.running

    def summary(self) -> dict[str, int]:
        """Return the counts and the highest number of tasks at once."""
        return {
            'started': 0,
            'refused': 0,
            'refused_connections': 0,
            **self._counts,
            'running': self.running,
            'most_running': self.most_running,
        }

    async def stream(self) -> AsyncIterator[bytes]:
        """Return a summary line, then one JSON line for each start."""
        yield _line({'summary': self.summary()})
        starts = self._starts.copy()
        for first in range(0, len(starts), LINES_PER_CHUNK):
            chunk = starts[first : first + LINES_PER_CHUNK]
            yield b''.join(_line(dataclasses.asdict(start)) for start in chunk)


def _line(document: dict[str, object]) -> bytes:
    return f'{json.dumps(document)}\n'.encode()
