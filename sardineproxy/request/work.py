"""Tasks, the responses of endpoints and the outcomes of attempts."""

import dataclasses
import enum

from sardineproxy import ids, problems


class TaskKind(enum.Enum):
    """Kind of the submission that a task belongs to."""

    #: Interactive: a person waits for this single request.
    SINGLE = 'single'

    #: Task of a job.
    JOB = 'job'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """One HTTP request to an endpoint."""

    #: Id of the single request or of the job.
    request_id: ids.RequestId

    #: Index in the job, 0 for a single request.
    index: int

    customer: ids.CustomerId
    kind: TaskKind

    #: True if running it more than once has no additional effect.
    idempotent: bool

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    #: Time after which it must not start, in monotonic seconds.
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """The complete response of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    #: Endpoint that sent the response.
    endpoint: ids.EndpointId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The task was not run: no byte was written to an endpoint."""

    problem: problems.Problem


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeUnknown:
    """A byte of the task may have been sent, without a complete response."""

    problem: problems.Problem


Outcome = Response | Refused | OutcomeUnknown
