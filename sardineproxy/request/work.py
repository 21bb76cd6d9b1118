"""Tasks, their answers and their outcomes."""

import dataclasses
import enum

from sardineproxy import ids, problems


class TaskKind(enum.Enum):
    """How a task was submitted."""

    #: A person waits for this one request.
    SINGLE = 'single'

    #: One of a job's tasks.
    JOB = 'job'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """One HTTP request that an endpoint is to run."""

    #: The single request's id, or the job's.
    request_id: ids.RequestId

    #: Position in the job, 0 for a single request.
    index: int

    customer: ids.CustomerId
    kind: TaskKind

    #: True if the endpoint may run it again without harm.
    idempotent: bool

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    #: Monotonic seconds after which it must not start.
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """An endpoint's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    #: Endpoint that gave the answer.
    endpoint: ids.EndpointId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Nothing of the task was written to any endpoint's connection."""

    problem: problems.Problem


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeUnknown:
    """A byte of the task may have left, and no whole answer came back."""

    problem: problems.Problem


Outcome = Response | Refused | OutcomeUnknown
