"""Batches, tasks and runs of a shard."""

import dataclasses
import enum
import re

from sardineproxy import ids
from sardineproxy.connection import link, messages
from sardineproxy.process.shards import workers
from sardineproxy.request import jobs

#: Job, occurrence, step and index.
_TASK_NAME = re.compile(r'[^.]{1,64}\.0\.[0-9]{1,9}\.[0-9]{1,9}')


class RunState(enum.Enum):
    """State of a run at its worker."""

    #: The start order was created; its response is pending.
    ORDERED = 'ordered'

    #: The start order got no response; the run may exist, now or later.
    UNCONFIRMED = 'doubtful'

    RUNNING = 'running'

    #: A stop was requested; the run still occupies its capacity.
    STOPPING = 'stopping'


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """One run of a task on a worker."""

    task: workers.TaskName
    number: int
    batch: 'Batch'
    index: int
    worker: ids.WorkerId

    #: Expected run time on this worker at speed 1, in seconds.
    expected_s: float
    state: RunState = RunState.ORDERED

    #: Local time of the start order, in seconds.
    ordered_at: float

    #: Fence of the start order, and end of its lease on the worker's clock.
    fence: int = 0
    expires_ms: int = 0

    #: True once the start order was passed to the connection.
    is_sent: bool = False

    #: Local time at which the start was confirmed, in seconds, 0 before.
    started_at: float = 0

    #: True if the run must be stopped once its start is confirmed.
    stop_when_running: bool = False

    #: Newest progress that the worker reported, in percent, and the local
    #: time of its last increase, in seconds.
    percent: float = 0
    progress_at: float = 0

    #: True if the run's progress has shown that its worker is slow.
    is_slow: bool = False

    #: Local times of the newest stop and of its acceptance, in seconds, 0 for
    #: none.
    stop_sent_at: float = 0
    stop_accepted_at: float = 0

    def mark_running(self, now: float) -> None:
        """Record that the worker has started the run."""
        if self.state in {RunState.ORDERED, RunState.UNCONFIRMED}:
            self.state = RunState.RUNNING
        if not self.started_at:
            self.started_at = now


#: Job and number of the step.
BatchKey = tuple[ids.JobId, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """An unfinished task of a batch."""

    next_run_number: int
    run: Run | None = None


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Batch:
    """Unfinished tasks of one step of a job."""

    job: ids.JobId
    step: int
    route: ids.RouteId

    #: Priority of the route; lower numbers are dispatched first.
    priority: int
    service: ids.ServiceId
    payload: str
    resources: jobs.Resources
    required_label: str

    #: Rack that holds the tasks' data, empty for none.
    rack: str

    #: Maximum number of the step's tasks on one worker, 0 for no limit.
    per_worker: int

    #: Link to the coordinator that receives the results, None while it is
    #: lost.
    link: link.Link | None

    #: Local time at which the link was lost, in seconds.
    detached_at: float = 0

    #: Home shard of a stored job, and the local time, in seconds, at which the
    #: VM at the link was last known to manage its jobs.
    home_shard: ids.ShardId = ids.ShardId('')
    managed_at: float = 0

    #: Expected run time on a worker of speed 1, in seconds.
    expected_s: float

    #: Local times, in seconds: arrival of the job at its coordinator, latest
    #: completion that is on time, latest completion that is of use, and end
    #: of the client's wait.
    arrived_at: float
    due_at: float
    useful_until: float
    deadline: float

    #: True if the tasks must not be moved to another shard.
    pinned: bool

    #: True if the job is stored. Its tasks run even after their deadline.
    stored: bool

    #: True once a run of any task may have started.
    started: bool = False

    #: True if the job was submitted before, and may have run then.
    ran_before: bool = False

    #: True once the manager of a stored job was notified of its start.
    start_reported: bool = False

    #: Unfinished tasks by index; the methods below change them.
    tasks: dict[int, Task] = dataclasses.field(default_factory=dict)

    #: Workers of the runs that were started since the last log line.
    unlogged: dict[int, ids.WorkerId] = dataclasses.field(default_factory=dict)

    #: Indices of the tasks without a run, in order; used as an ordered set.
    _waiting: dict[int, None] = dataclasses.field(default_factory=dict)

    def add_task(self, index: int, next_run_number: int) -> None:
        """Add a task without a run."""
        self.tasks[index] = Task(next_run_number=next_run_number)
        self._waiting[index] = None

    def add_running(self, index: int, run: Run) -> None:
        """Add a task with a run that was started before."""
        self.tasks[index] = Task(next_run_number=run.number + 1, run=run)

    def assign(self, index: int, run: Run) -> None:
        """Give a waiting task a run."""
        task = self.tasks[index]
        task.next_run_number = run.number + 1
        task.run = run
        self.unlogged[index] = run.worker
        self._waiting.pop(index)

    def requeue(self, index: int) -> None:
        """Return a task whose run no longer exists to the waiting ones."""
        self.tasks[index].run = None
        self._waiting[index] = None

    def remove_task(self, index: int) -> Task:
        """Remove and return a task."""
        self._waiting.pop(index, None)
        return self.tasks.pop(index)

    def clear(self) -> list[Task]:
        """Remove and return all tasks."""
        removed = list(self.tasks.values())
        self.tasks.clear()
        self._waiting.clear()
        return removed

    def extend_deadline(self, deadline: float) -> None:
        """Keep the batch until a client that sent its job again stops waiting.

        ``deadline`` is local time, in seconds.
        """
        self.deadline = max(self.deadline, deadline)

    @property
    def key(self) -> BatchKey:
        """Return the key of the batch."""
        return self.job, self.step

    @property
    def may_have_run(self) -> bool:
        """Return whether a run of the job may have started at any time."""
        return self.started or self.ran_before

    @property
    def task_prefix(self) -> str:
        """Return the common prefix of the batch's task names."""
        return task_name(self.job, self.step, 0)[:-1]

    def task_name(self, index: int) -> workers.TaskName:
        """Return a task's name at its worker."""
        return task_name(self.job, self.step, index)

    @property
    def waiting_count(self) -> int:
        """Return the number of tasks without a run."""
        return len(self._waiting)

    def waiting(self) -> list[int]:
        """Return the indices of the tasks without a run."""
        return list(self._waiting)


def task_name(job: ids.JobId, step: int, index: int) -> workers.TaskName:
    """Return the name of a task.

    Its second part is 0 because the job does not recur.
    """
    return workers.TaskName(f'{job}.0.{step}.{index}')


def job_of(task: workers.TaskName) -> ids.JobId:
    """Return the job of a task."""
    return ids.JobId(task.partition('.')[0])


def is_task_name(task: workers.TaskName) -> bool:
    """Return whether a name that a worker reports is one of this system."""
    return _TASK_NAME.fullmatch(task) is not None


def split_task(task: workers.TaskName) -> tuple[ids.JobId, int, int]:
    """Return job, step and index of a task; see ``is_task_name``."""
    job, _, step, index = task.split('.')
    return ids.JobId(job), int(step), int(index)


def make_batch(
    message: messages.Submit, *, link: link.Link, late_factor: float, now: float
) -> Batch:
    """Return a batch without tasks for a submission.

    Its results are of no use after ``late_factor`` times the time limit for
    results that are on time.
    """
    arrived_at = now - message.age_s
    limit_s = message.estimate_s * message.stretch + message.slack_s
    return Batch(
        job=message.job,
        step=message.step,
        route=message.route,
        priority=message.priority,
        service=message.service,
        payload=message.payload,
        resources=jobs.Resources(
            millicores=message.millicores,
            memory_mb=message.memory_mb,
            gpus=message.gpus,
        ),
        required_label=message.requires,
        rack=message.rack,
        per_worker=message.per_worker,
        link=link,
        expected_s=message.estimate_s,
        arrived_at=arrived_at,
        due_at=arrived_at + limit_s,
        useful_until=arrived_at + limit_s * late_factor,
        deadline=now + message.timeout_s,
        pinned=message.pinned,
        stored=message.stored,
        started=message.resumed or message.job_started,
        home_shard=message.authority[0],
        managed_at=now,
    )
