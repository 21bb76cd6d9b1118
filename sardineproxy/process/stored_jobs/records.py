"""Stored jobs and their progress as rows of the store, msgpack encoded."""

import dataclasses
import enum
from typing import Any

import msgpack
import result

from sardineproxy import ids
from sardineproxy.request import jobs, open_tasks
from sardineproxy.version import routes

#: First item of each row. Rows with another value are rejected.
FORMAT_VERSION = 1

#: What msgpack and the conversions below raise for a malformed row.
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
    RecursionError,
)


class JobState(enum.Enum):
    """State of a stored job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'

    #: A task has failed as many times as its route allows.
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self not in {JobState.QUEUED, JobState.RUNNING}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredJob:
    """A job as it was accepted, or its final state."""

    job: jobs.Job

    #: Route that accepted the job, as it was at the time.
    route: routes.Route

    #: Unix times of acceptance and end in seconds; the end is 0 before it.
    accepted_at: float
    ended_at: float = 0
    state: JobState = JobState.QUEUED

    #: True if tasks were started although workers that did not respond may have
    #: results of them.
    restarted_in_doubt: bool = False

    def finish(
        self, state: JobState, ended_at: float, *, restarted_in_doubt: bool
    ) -> 'StoredJob':
        """Return the ended job, without its payload and steps."""
        return dataclasses.replace(
            self,
            restarted_in_doubt=restarted_in_doubt,
            job=dataclasses.replace(self.job, payload='', steps=()),
            state=state,
            ended_at=ended_at,
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class TaskProgress:
    """Failures of a task that has not succeeded."""

    failures: int = 0

    #: Number of the next run.
    next_run: int = 1


@dataclasses.dataclass(kw_only=True, slots=True)
class JobProgress:
    """Succeeded and failed tasks of a job, and the shards of moved ones."""

    done: set[open_tasks.TaskKey] = dataclasses.field(default_factory=set)
    failed: dict[open_tasks.TaskKey, TaskProgress] = dataclasses.field(
        default_factory=dict
    )

    #: Shards of the tasks that were moved out of the job's home shard.
    moved: dict[open_tasks.TaskKey, ids.ShardId] = dataclasses.field(
        default_factory=dict
    )

    #: Tasks that were started although workers that did not respond may have
    #: results of them.
    restarted_in_doubt: set[open_tasks.TaskKey] = dataclasses.field(
        default_factory=set
    )

    def is_recorded(self, key: open_tasks.TaskKey, run: int) -> bool:
        """Return whether the result of a run is already recorded."""
        task_progress = self.failed.get(key)
        return key in self.done or (
            task_progress is not None and run < task_progress.next_run
        )

    def record_success(self, key: open_tasks.TaskKey) -> None:
        """Record that a task succeeded."""
        self.done.add(key)
        self.failed.pop(key, None)
        self.moved.pop(key, None)

    def record_failure(self, key: open_tasks.TaskKey, run: int) -> int:
        """Record a failed run; return the number of failures of the task."""
        task_progress = self.failed.setdefault(key, TaskProgress())
        task_progress.failures += 1
        task_progress.next_run = run + 1
        return task_progress.failures


def encode_job(stored_job: StoredJob) -> bytes:
    """Encode a job as the body of its row."""
    route = stored_job.route
    packed: bytes = msgpack.packb(
        [
            FORMAT_VERSION,
            stored_job.job.job_id,
            stored_job.job.payload,
            [_pack_step(step) for step in stored_job.job.steps],
            [
                route.route,
                route.host,
                route.path_prefix,
                route.service,
                float(route.stretch),
                float(route.slack_s),
                route.priority,
                route.max_attempts,
            ],
            stored_job.accepted_at,
            stored_job.ended_at,
            stored_job.state.value,
            # Older processes read rows without this item only.
            *([True] if stored_job.restarted_in_doubt else []),
        ]
    )
    return packed


def decode_job(body: bytes) -> result.Result[StoredJob, str]:
    """Decode the row of a job, or return why it is malformed."""
    try:
        return result.Ok(_unpack_job(*_unpack(body)))
    except _DECODE_ERRORS as exc:
        return result.Err(f'malformed job row: {exc}')


def encode_progress(progress: JobProgress) -> bytes:
    """Encode the progress of a job as the body of its row."""
    packed: bytes = msgpack.packb(
        [
            FORMAT_VERSION,
            sorted(progress.done),
            [
                (*key, task.failures, task.next_run)
                for key, task in progress.failed.items()
            ],
            [(*key, shard) for key, shard in progress.moved.items()],
            # Older processes read rows without this item only.
            *filter(None, [sorted(progress.restarted_in_doubt)]),
        ]
    )
    return packed


def decode_progress(body: bytes) -> result.Result[JobProgress, str]:
    """Decode the row of a job's progress, or return why it is malformed."""
    try:
        done, failed, moved, *added = _unpack(body)
        restarted = added[0] if added else ()
        return result.Ok(
            JobProgress(
                done={(int(step), int(index)) for step, index in done},
                failed={
                    (int(step), int(index)): TaskProgress(
                        failures=int(failures), next_run=int(next_run)
                    )
                    for step, index, failures, next_run in failed
                },
                moved={
                    (int(step), int(index)): ids.ShardId(shard)
                    for step, index, shard in moved
                },
                restarted_in_doubt={
                    (int(step), int(index)) for step, index in restarted
                },
            )
        )
    except _DECODE_ERRORS as exc:
        return result.Err(f'malformed progress row: {exc}')


def _unpack(body: bytes) -> list[Any]:
    row_items = msgpack.unpackb(body)
    if not isinstance(row_items, list) or row_items[:1] != [FORMAT_VERSION]:
        raise ValueError(
            f'expected an array starting with format version {FORMAT_VERSION}'
        )
    return row_items[1:]


def _pack_step(step: jobs.Step) -> list[object]:
    return [
        step.count,
        step.resources.millicores,
        step.resources.memory_mb,
        step.resources.gpus,
        float(step.estimate_s),
        list(step.after),
        step.requires,
        step.rack,
        step.per_worker,
    ]


def _unpack_job(  # noqa: WPS211
    job: str,
    payload: str,
    steps: list[list[Any]],
    route: list[Any],
    accepted_at: float,
    ended_at: float,
    state: str,
    restarted_in_doubt: bool = False,
) -> StoredJob:
    return StoredJob(
        job=jobs.Job(
            job_id=ids.JobId(job),
            payload=payload,
            steps=tuple(_unpack_step(*step) for step in steps),
            stored=True,
        ),
        route=_unpack_route(*route),
        accepted_at=float(accepted_at),
        ended_at=float(ended_at),
        state=JobState(state),
        restarted_in_doubt=bool(restarted_in_doubt),
    )


def _unpack_step(  # noqa: WPS211
    count: int,
    millicores: int,
    memory_mb: int,
    gpus: int,
    estimate_s: float,
    after: list[int],
    requires: str,
    rack: str,
    per_worker: int,
) -> jobs.Step:
    return jobs.Step(
        count=int(count),
        resources=jobs.Resources(
            millicores=int(millicores),
            memory_mb=int(memory_mb),
            gpus=int(gpus),
        ),
        estimate_s=float(estimate_s),
        after=tuple(map(int, after)),
        requires=str(requires),
        rack=str(rack),
        per_worker=int(per_worker),
    )


def _unpack_route(  # noqa: WPS211
    route: str,
    host: str,
    path_prefix: str,
    service: str,
    stretch: float,
    slack_s: float,
    priority: int,
    max_attempts: int,
) -> routes.Route:
    return routes.Route(
        route=ids.RouteId(route),
        host=str(host),
        path_prefix=str(path_prefix),
        service=ids.ServiceId(service),
        stretch=float(stretch),
        slack_s=float(slack_s),
        priority=int(priority),
        max_attempts=int(max_attempts),
    )
