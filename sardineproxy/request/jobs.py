"""Jobs of clients, their steps and their outcomes."""

import dataclasses
import enum

from sardineproxy import ids

_MILLICORES_PER_CORE = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """Resources that a task needs, or that a worker has."""

    millicores: int
    memory_mb: int
    gpus: int

    def fits(self, capacity: 'Resources') -> bool:
        """Return whether ``capacity`` has at least these resources."""
        return (
            self.millicores <= capacity.millicores
            and self.memory_mb <= capacity.memory_mb
            and self.gpus <= capacity.gpus
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum."""
        return Resources(
            millicores=self.millicores + other.millicores,
            memory_mb=self.memory_mb + other.memory_mb,
            gpus=self.gpus + other.gpus,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference."""
        return Resources(
            millicores=self.millicores - other.millicores,
            memory_mb=self.memory_mb - other.memory_mb,
            gpus=self.gpus - other.gpus,
        )

    @property
    def cores(self) -> float:
        """Return the CPU share in cores."""
        return self.millicores / _MILLICORES_PER_CORE


NO_RESOURCES = Resources(millicores=0, memory_mb=0, gpus=0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Tasks of one job with the same requirements."""

    count: int
    resources: Resources

    #: The client's rough estimate of a task's run time, in seconds.
    estimate_s: float

    #: Indices of earlier steps whose tasks must all be done first.
    after: tuple[int, ...] = ()

    #: Label that a worker must have, empty for none.
    requires: str = ''

    #: Rack that has the tasks' data, empty for none. On other racks a task
    #: takes longer.
    rack: str = ''

    #: Maximum number of the step's tasks on one worker, 0 for no limit.
    per_worker: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A job as the client submitted it."""

    job_id: ids.JobId

    #: Description of the work, passed to the workers unchanged.
    payload: str
    steps: tuple[Step, ...]

    #: True if the client gets a response once the job is stored; the job must
    #: then survive the failure of all processes. Otherwise the client gets a
    #: response when the job has ended.
    stored: bool = False

    @property
    def total_estimate_s(self) -> float:
        """Return the estimated time of all steps in sequence, in seconds."""
        return sum(step.estimate_s for step in self.steps)


class TaskResult(enum.Enum):
    """Result of a task, as a leader reports it for the job."""

    DONE = 'done'

    #: A run failed. Unless the job is stored, failed runs on a worker that is
    #: suspected of causing failures are repeated and not reported.
    FAILED = 'failed'

    #: The leader abandoned the task: its result would be of no use, or the
    #: task may still run on a worker that has not reported to a new leader.
    LATE = 'late'

    #: Another coordinator submitted the same job.
    REPLACED = 'replaced'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """All tasks succeeded."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """A task failed as many times as its route permits."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """No task of the job has started or will start."""

    detail: str

    #: Seconds after which the client may try again.
    retry_after_s: float

    #: Whether it comes from the leader of a shard, which knows of the requests
    #: for the job through all VMs.
    is_confirmed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GivenUp:
    """The job was abandoned; some of its tasks may have run."""

    detail: str


#: The names of these classes are values of a metric label and of a log field.
Outcome = Completed | Failed | NotRun | GivenUp
