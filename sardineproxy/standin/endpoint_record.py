"""Record of the tasks that a stand-in endpoint started."""

import collections
import dataclasses
import json
from typing import AsyncIterator

#: Limit of the stored starts; further ones are only counted.
MAX_STARTS = 1_000_000
LINES_PER_CHUNK = 200


@dataclasses.dataclass(kw_only=True, slots=True)
class Start:
    """Start of a task; times are monotonic seconds."""

    task: str
    arrival: float
    start: float

    #: None while the task runs.
    end: float | None = None

    #: Running tasks just after this start, including this one.
    running: int = 0


class Record:
    """Starts in order of time, with counts and the highest concurrency."""

    def __init__(self) -> None:
        """Start with an empty record."""
        self._starts: list[Start] = []
        self._counts: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.most_running = 0

    def record_start(self, *, task: str, arrival: float, now: float) -> Start:
        """Add the start of a task."""
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        start = Start(
            task=task, arrival=arrival, start=now, running=self.running
        )
        self._counts['started'] += 1
        if len(self._starts) < MAX_STARTS:
            self._starts.append(start)
        return start

    def record_end(self, start: Start, *, now: float) -> None:
        """Set the end time of a task."""
        self.running -= 1
        start.end = now

    def count(self, name: str) -> None:
        """Count an event other than a start."""
        self._counts[name] += 1

    def clear(self) -> None:
        """Clear starts and counts; running tasks still count as running."""
        self._starts = []
        self._counts.clear()
        self.most_running = self.running

    def summary(self) -> dict[str, int]:
        """Return the counts and the highest number of concurrent tasks."""
        return {
            'started': 0,
            'refused': 0,
            'refused_connections': 0,
            **self._counts,
            'running': self.running,
            'most_running': self.most_running,
        }

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield a summary line, then one JSON line for each start."""
        yield _encode_line({'summary': self.summary()})
        starts = self._starts.copy()
        for first in range(0, len(starts), LINES_PER_CHUNK):
            chunk = starts[first : first + LINES_PER_CHUNK]
            yield b''.join(
                _encode_line(dataclasses.asdict(start)) for start in chunk
            )


def _encode_line(document: dict[str, object]) -> bytes:
    return f'{json.dumps(document)}\n'.encode()
