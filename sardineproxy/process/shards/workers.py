"""Workers, orders to them, and what they answer."""

import dataclasses
import enum
from typing import NewType, Protocol

from sardineproxy import deployment, ids
from sardineproxy.request import jobs

#: Name of a task at its worker.
TaskName = NewType('TaskName', str)


class WorkerState(enum.Enum):
    """What a worker says of itself in the platform's list."""

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

    #: Start of this life in Unix milliseconds; a worker may start again
    #: under the same id and then knows nothing of before.
    born_ms: int

    capacity: jobs.Resources

    #: Kind of machine and rack, for tasks that require or prefer one.
    labels: tuple[str, ...]


class Refusal(enum.Enum):
    """Why a worker did nothing for an order."""

    #: It has seen a higher fence.
    FENCED = 'fenced'

    #: The run is not higher than one that was stopped or ended there.
    OLD_RUN = 'old_run'

    #: The order's lease had expired on the worker's clock.
    EXPIRED = 'expired'

    #: The worker has no capacity for it.
    NO_ROOM = 'no_room'

    #: The order's permission was missing or has lapsed.
    NO_TICKET = 'no_ticket'

    #: The worker is unhealthy or could not read the order.
    NOT_DONE = 'not_done'

    #: Another worker answers at this address.
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
    """The order was carried out."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Nothing was done."""

    why: Refusal
    detail: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unanswered:
    """No answer; the order may have been carried out, or may be later."""

    #: True if no connection was established, so nothing was sent.
    unsent: bool
    cause: str


class Ending(enum.Enum):
    """How a run ended."""

    DONE = 'done'

    #: Through its own fault or the worker's.
    FAILED = 'failed'

    STOPPED = 'stopped'

    #: Its lease expired.
    LAPSED = 'lapsed'

    #: Another member of its gang ended, or did not come.
    GANG = 'gang'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Running:
    """A run that a worker lists as running."""

    task: TaskName
    run: int

    #: Progress in percent.
    percent: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class End:
    """A run that a worker lists as ended."""

    #: Position in the worker's list; rises by one with each end.
    number: int
    task: TaskName
    run: int
    how: Ending


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What a worker says runs on it, and what ended."""

    clock_ms: int
    born_ms: int
    running: tuple[Running, ...]
    ended: tuple[End, ...]

    #: False if there may be more ends than are listed.
    is_whole: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Look:
    """Asks a worker for a report, and extends the lease of what runs."""

    fence: int

    #: Ends up to this number are known here and may be forgotten.
    acked: int

    #: New end of the lease on the worker's clock, None to leave it.
    expires_ms: int | None

    #: Longest wait of the worker for a new end, in seconds.
    wait_s: float


class WorkerApi(Protocol):
    """Calls to a worker."""

    async def start(
        self, worker: Worker, order: Order, *, timeout_s: float
    ) -> Accepted | Refused | Unanswered:
        """Order the start of a run."""

    async def stop(
        self,
        worker: Worker,
        *,
        task: TaskName,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> Accepted | Refused | Unanswered:
        """Order the stop of a run; it never starts there afterwards."""

    async def look(
        self, worker: Worker, look: Look, *, timeout_s: float
    ) -> Report | Refused | Unanswered:
        """Ask for a report."""
