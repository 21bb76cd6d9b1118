"""Tasks that a cell holds for its coordinators, and runs of them."""

import dataclasses
import enum

from sardineproxy import ids
from sardineproxy.connection import link, messages
from sardineproxy.process.shards import workers
from sardineproxy.request import jobs


class RunState(enum.Enum):
    """What is known of a run at its worker."""

    #: The order is on its way.
    ORDERED = 'ordered'

    #: The order got no answer; the run may exist, now or later.
    DOUBTFUL = 'doubtful'

    RUNNING = 'running'

    #: A stop is on its way; the run still takes its room.
    STOPPING = 'stopping'


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """One run of a task, ordered from a worker."""

    task: workers.TaskName
    number: int
    batch: 'Batch'
    index: int
    worker: ids.WorkerId

    #: Expected run time on this worker if it had speed 1, in seconds.
    work_s: float
    state: RunState = RunState.ORDERED

    #: Local time of the order, in seconds.
    ordered_at: float

    #: Fence and end of the lease of the order.
    fence: int = 0
    expires_ms: int = 0

    #: True once the order was handed to the connection.
    sent: bool = False

    #: Local time when it was first known to run, in seconds, 0 if not known.
    started_at: float = 0

    #: True if it is to be stopped once it is known to run.
    withdrawn: bool = False

    #: Newest progress that the worker reported, in percent, and the local
    #: time when it last changed, in seconds.
    percent: float = 0
    progress_at: float = 0

    #: True if it has shown that its worker is slow.
    slow: bool = False

    #: Local times of the newest stop and of its acceptance, 0 for none.
    stop_at: float = 0
    stopped_at: float = 0

    def note_running(self, now: float) -> None:
        """Note that its worker has started it."""
        if self.state in {RunState.ORDERED, RunState.DOUBTFUL}:
            self.state = RunState.RUNNING
        if not self.started_at:
            self.started_at = now


#: Job and number of the step.
BatchKey = tuple[ids.JobId, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """A task of a batch that has not ended."""

    #: Number of its next run.
    number: int
    run: Run | None = None


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Batch:
    """Tasks of one step of a job."""

    job: ids.JobId
    step: int
    route: ids.RouteId

    #: Priority of its route; lower numbers go first.
    priority: int
    service: ids.ServiceId
    payload: str
    resources: jobs.Resources
    requires: str

    #: Rack that has the tasks' data, empty for none.
    rack: str

    #: Most tasks of the step on one worker, 0 for any number.
    per_worker: int

    #: Where to tell how tasks end, None while the coordinator's link is lost.
    link: link.Link | None

    #: Local time when the link was lost.
    orphaned_at: float = 0

    #: Expected run time on a worker of speed 1, in seconds.
    work_s: float

    #: Local times, in seconds: arrival of the job at its coordinator, end of
    #: the time in which it is on time, end of the time in which it is worth
    #: anything, end of the client's wait.
    arrived_at: float
    due_at: float
    late_at: float
    deadline: float

    #: True if the tasks may not be sent on to another cell.
    firm: bool

    #: True if the job is stored: its tasks run however late they are.
    stored: bool

    #: True once a run of one of the tasks may have started.
    started: bool = False

    #: True once the coordinator of a stored job knows that it has begun.
    told_begun: bool = False

    tasks: dict[int, Task] = dataclasses.field(default_factory=dict)

    @property
    def key(self) -> BatchKey:
        """Return the job and the step."""
        return self.job, self.step

    @property
    def task_prefix(self) -> str:
        """Return the beginning of the names of all its tasks."""
        return task_name(self.job, self.step, 0)[:-1]

    def task_name(self, index: int) -> workers.TaskName:
        """Return a task's name at its worker."""
        return task_name(self.job, self.step, index)

    def waiting(self) -> list[int]:
        """Return the tasks without a run."""
        return [index for index, task in self.tasks.items() if not task.run]


def task_name(job: ids.JobId, step: int, index: int) -> workers.TaskName:
    """Return the name of a task of a job without occurrences."""
    return workers.TaskName(f'{job}.0.{step}.{index}')


def job_of(task: workers.TaskName) -> ids.JobId:
    """Return the job of a task."""
    return ids.JobId(task.partition('.')[0])


def split_task(task: workers.TaskName) -> tuple[ids.JobId, int, int]:
    """Return job, step and index of a task."""
    job, _, step, index = task.split('.')
    return ids.JobId(job), int(step), int(index)


def make_batch(
    asked: messages.Submit, *, link: link.Link, late_factor: float, now: float
) -> Batch:
    """Return a batch without tasks for what a coordinator asks.

    It is worth nothing after ``late_factor`` times the time in which it is on
    time.
    """
    arrived_at = now - asked.age_s
    bound_s = asked.estimate_s * asked.stretch + asked.slack_s
    return Batch(
        job=asked.job,
        step=asked.step,
        route=asked.route,
        priority=asked.priority,
        service=asked.service,
        payload=asked.payload,
        resources=jobs.Resources(
            millicores=asked.millicores,
            memory_mb=asked.memory_mb,
            gpus=asked.gpus,
        ),
        requires=asked.requires,
        rack=asked.rack,
        per_worker=asked.per_worker,
        link=link,
        work_s=asked.estimate_s,
        arrived_at=arrived_at,
        due_at=arrived_at + bound_s,
        late_at=arrived_at + bound_s * late_factor,
        deadline=now + asked.left_s,
        firm=asked.firm,
        stored=asked.stored,
        started=asked.resumed or asked.begun,
    )
