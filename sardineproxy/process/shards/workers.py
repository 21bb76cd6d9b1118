"""Interface to workers: list entries, orders, responses and reports."""

import dataclasses
import enum
from typing import NewType, Protocol

from sardineproxy import deployment, ids
from sardineproxy.request import jobs

#: Name of a task at its worker.
TaskName = NewType('TaskName', str)


class WorkerState(enum.Enum):
    """State of a worker in the platform's list."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Worker:
    """A worker's entry in the platform's list."""

    worker: ids.WorkerId
    service: ids.ServiceId
    address: deployment.Address
    zone: ids.ZoneId
    state: WorkerState

    #: Start of the worker process in Unix milliseconds. A worker may restart
    #: with the same id and has no state from before then.
    started_ms: int

    capacity: jobs.Resources

    #: Machine type and rack, for tasks that require or prefer one.
    labels: tuple[str, ...]

    #: How much longer the worker is slow after its start, in seconds.
    cold_left_s: float = 0


class Refusal(enum.Enum):
    """Reason why a worker refused an order or a poll."""

    #: The worker has seen a higher fence.
    FENCED = 'fenced'

    #: The run's number does not exceed that of a run of the task that was
    #: stopped or ended on this worker.
    OLD_RUN = 'old_run'

    #: The order's lease had expired on the worker's clock.
    EXPIRED = 'expired'

    #: The worker has no free capacity for the run.
    NO_CAPACITY = 'no_room'

    #: The order's ticket is missing or has expired.
    NO_TICKET = 'no_ticket'

    #: The worker is unhealthy or could not parse the order.
    NOT_EXECUTED = 'not_done'

    #: Another worker responds at this address.
    OTHER_WORKER = 'other_worker'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """An order to start one run of a task."""

    task: TaskName
    run: int
    payload: str
    fence: int

    #: End of the lease on the worker's clock.
    expires_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The order was executed."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The worker refused the order or poll and did not execute it."""

    reason: Refusal
    detail: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unanswered:
    """No response; the call may have been executed, or may be later."""

    #: True if no connection was established, so that nothing was sent.
    unsent: bool
    cause: str


class RunResult(enum.Enum):
    """Result of a run."""

    DONE = 'done'

    #: The task or the worker failed.
    FAILED = 'failed'

    STOPPED = 'stopped'

    #: The lease of the run expired.
    LEASE_EXPIRED = 'lapsed'

    #: Another run of the same gang ended or did not start.
    GANG_INCOMPLETE = 'gang'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ActiveRun:
    """A run that a worker reports as running."""

    task: TaskName
    run: int

    #: Progress in percent.
    percent: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FinishedRun:
    """A run that a worker reports as finished."""

    #: Position in the worker's list of results; increases by one per result.
    position: int
    task: TaskName
    run: int
    result: RunResult


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """A worker's report of its active and finished runs."""

    clock_ms: int
    started_ms: int
    active: tuple[ActiveRun, ...]
    finished: tuple[FinishedRun, ...]

    #: False if there may be more results than are listed.
    is_complete: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Poll:
    """A request for a report that can extend the lease of the runs."""

    fence: int

    #: Results up to this position are acknowledged; the worker drops them.
    acked: int

    #: New end of the lease on the worker's clock, None to leave it
    #: unchanged.
    expires_ms: int | None

    #: Longest wait of the worker for a new result, in seconds.
    wait_s: float


class WorkerApi(Protocol):
    """Calls to a worker."""

    async def start(
        self, worker: Worker, order: Order, *, timeout_s: float
    ) -> Accepted | Refused | Unanswered:
        """Start a run."""

    async def stop(
        self,
        worker: Worker,
        *,
        task: TaskName,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> Accepted | Refused | Unanswered:
        """Stop a run; the worker never starts it afterwards."""

    async def poll(
        self, worker: Worker, poll: Poll, *, timeout_s: float
    ) -> Report | Refused | Unanswered:
        """Request a report."""
