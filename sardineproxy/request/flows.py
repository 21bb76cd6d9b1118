"""Waiting and started tasks, grouped by customer."""

import asyncio
import collections
import dataclasses
import enum
from typing import Any

from sardineproxy import ids
from sardineproxy.request import work


class EntryState(enum.Enum):
    """Where a task is."""

    #: Known to the queue, neither waiting nor started.
    NEW = 'new'

    #: In the order, or waiting for a pause to pass.
    WAITING = 'waiting'
    STARTED = 'started'

    #: Finished, cancelled or expired.
    ENDED = 'ended'


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Flow:
    """One customer's waiting tasks and its share."""

    customer: ids.CustomerId

    #: Estimated run time of one task, in seconds.
    run_time_s: float
    weight: float = 1

    #: Virtual seconds at which the next task starts.
    start_tag: float = 0

    #: Single requests started in a row while job tasks waited.
    singles_in_row: int = 0
    running: int = 0
    finished: int = 0

    #: Waiting tasks that are in none of the lanes.
    paused: int = 0

    #: Tasks that some endpoints must not run; they go first.
    restricted: 'Lane' = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    singles: 'Lane' = dataclasses.field(default_factory=collections.OrderedDict)
    jobs: 'Lane' = dataclasses.field(default_factory=collections.OrderedDict)

    #: Number of the flow's place in the order, 0 if it has none.
    heap_version: int = 0

    @property
    def waiting(self) -> int:
        """Return the number of waiting tasks."""
        lanes = len(self.singles) + len(self.jobs) + len(self.restricted)
        return lanes + self.paused

    @property
    def is_backlogged(self) -> bool:
        """Tell whether a task could start now."""
        return bool(self.singles or self.jobs or self.restricted)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class QueueEntry:
    """One task in the queue."""

    task: work.Task
    number: int
    flow: Flow

    #: Endpoints that must not run the task while others are listed.
    exclude: frozenset[ids.EndpointId]

    #: Endpoints that could not be reached for it lately.
    unreachable: frozenset[ids.EndpointId] = frozenset()
    state: EntryState = EntryState.NEW
    lane: 'Lane | None' = None

    #: Run time that the customer was charged at the start, in seconds.
    charged_s: float = 0

    #: True if the request was cancelled after the task had started.
    cancelled: bool = False

    #: Attempts that did not reach their endpoint.
    unreached_attempts: int = 0

    #: Future of the coroutine that waits for the start.
    waiter: 'asyncio.Future[Any] | None' = None


Lane = collections.OrderedDict[int, QueueEntry]
