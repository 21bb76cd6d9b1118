"""Jobs of clients, their tasks, and how they end."""

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
        """Tell whether ``room`` is enough."""
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
        """Return the processor share in cores."""
        return self.millicores / _MILLICORES_PER_CORE


#: Nothing at all.
NO_RESOURCES = Resources(millicores=0, memory_mb=0, gpus=0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Tasks of one job that are alike."""

    count: int
    resources: Resources

    #: The client's rough estimate of a task's run time, in seconds.
    estimate_s: float

    #: Earlier steps whose tasks must all be done first.
    after: tuple[int, ...] = ()

    #: Label that a worker must have, empty for none.
    requires: str = ''

    #: Rack that has the tasks' data, empty for none. On other racks a task
    #: takes longer.
    rack: str = ''

    #: Most tasks of the step on one worker, 0 for any number.
    per_worker: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """What a client asks for under one id."""

    job_id: ids.JobId

    #: What the tasks are to do; workers read it.
    payload: str
    steps: tuple[Step, ...]

    #: True if it is answered once it is stored, and must survive all
    #: processes; otherwise it is answered when it has ended.
    stored: bool = False

    @property
    def total_estimate_s(self) -> float:
        """Return the client's estimate for the steps in a row, in seconds."""
        return sum(step.estimate_s for step in self.steps)


class TaskResult(enum.Enum):
    """What a coordinator is told of a task."""

    DONE = 'done'

    #: A run failed, and a sound worker was not the cause.
    FAILED = 'failed'

    #: The task cannot end in time any more and is given up.
    LATE = 'late'

    #: Another coordinator submitted the same job.
    REPLACED = 'replaced'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """All tasks ended well."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """A task failed as often as its route allows."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """No task of the job was started, nor will one be."""

    detail: str

    #: Seconds after which the client may try again.
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GivenUp:
    """Tasks may have run; the job does not go on."""

    detail: str


Outcome = Completed | Failed | NotRun | GivenUp
