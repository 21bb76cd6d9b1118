"""Queue entries of waiting and started tasks, grouped by customer."""

import asyncio
import collections
import dataclasses
import enum
from typing import Any

from sardineproxy import ids
from sardineproxy.request import work


class EntryState(enum.Enum):
    """State of a task in the queue."""

    #: Registered, neither waiting nor started.
    NEW = 'new'

    #: In a lane, or paused.
    WAITING = 'waiting'
    STARTED = 'started'

    #: Finished, cancelled or expired.
    ENDED = 'ended'


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Flow:
    """The tasks of one customer and its fair-queueing state."""

    customer: ids.CustomerId

    #: Estimated run time of one task, in seconds.
    run_time_s: float
    weight: float = 1

    #: Start tag of the next task, in virtual seconds.
    start_tag: float = 0

    #: Number of single requests started in a row while job tasks waited.
    singles_in_row: int = 0
    running: int = 0
    finished: int = 0

    #: Number of paused tasks, which wait outside all lanes.
    paused: int = 0

    #: Tasks that are not allowed at some endpoints; they start first.
    restricted: 'Lane' = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    singles: 'Lane' = dataclasses.field(default_factory=collections.OrderedDict)
    jobs: 'Lane' = dataclasses.field(default_factory=collections.OrderedDict)

    #: Version of the flow's valid entry in the heap, 0 if it has none.
    heap_version: int = 0

    @property
    def waiting(self) -> int:
        """Return the number of waiting tasks."""
        lanes = len(self.singles) + len(self.jobs) + len(self.restricted)
        return lanes + self.paused

    @property
    def is_backlogged(self) -> bool:
        """Return whether a task is ready to start."""
        return bool(self.singles or self.jobs or self.restricted)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class QueueEntry:
    """One task in the queue."""

    task: work.Task
    number: int
    flow: Flow

    #: Endpoints not allowed for the task while others are listed.
    exclude: frozenset[ids.EndpointId]

    #: Endpoints that were unreachable in recent attempts of the task.
    unreachable: frozenset[ids.EndpointId] = frozenset()
    state: EntryState = EntryState.NEW
    lane: 'Lane | None' = None

    #: Run time in seconds that the customer was charged when the task started.
    charged_s: float = 0

    #: True if the request was cancelled after the task had started.
    cancelled: bool = False

    #: Number of attempts that did not reach their endpoint.
    unreached_attempts: int = 0

    #: Future of the coroutine that waits for the task to start.
    waiter: 'asyncio.Future[Any] | None' = None


Lane = collections.OrderedDict[int, QueueEntry]
