"""One stored job at its keeper, from acceptance or takeover to its end."""

import asyncio
import dataclasses
import functools
from typing import Callable, Protocol

from sardineproxy import clock, ids, logs
from sardineproxy.connection import messages
from sardineproxy.process.stored_jobs import records, job_table
from sardineproxy.request import jobs, open_tasks
from sardineproxy.version import routes

#: Ends of tasks whose job goes on wait this long for others to join their
#: commit, in seconds. A shorter wait means more calls to the store, a longer
#: one more looks at workers.
PROGRESS_COMMIT_DELAY_S = 0.025

#: The same for the end of a job, which clients wait for.
FINAL_COMMIT_DELAY_S = 0.005

#: Deadline of a job from its acceptance, in seconds. No client waits for its
#: end, and the owners of cells do not give it up.
NO_DEADLINE_S = 1e6

_LOG = logs.get_logger('jobs')


class Router(open_tasks.Router, Protocol):
    """Finds owners of cells and the routes in force."""

    def route(self, route: ids.RouteId) -> routes.Route | None:
        """Return a route of the version in force, None if it was removed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelRequested:
    """The client cancels the job."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ShardChangeStored:
    """The new cell of tasks is stored, so that they can be sent there."""

    tasks: tuple[open_tasks.OpenTask, ...]
    shard: ids.ShardId


Event = (
    messages.Ended
    | messages.Declined
    | messages.JobBegun
    | open_tasks.LeaderLost
    | open_tasks.LeaderFound
    | CancelRequested
    | _ShardChangeStored
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Completion:
    """An end that its worker may forget once it is stored."""

    shard: ids.ShardId
    step: int
    index: int
    run: int


class Execution:  # noqa: WPS214, WPS230
    """Sends a stored job's tasks to cells, and stores how they end."""

    def __init__(
        self,
        *,
        stored: records.StoredJob,
        progress: records.JobProgress,
        home_shard: ids.ShardId,
        router: Router,
        table: job_table.JobTable,
        clock: clock.Clock,
        on_finished: Callable[[records.StoredJob], None],
        resumed: bool,
    ) -> None:
        """Prepare a job that is stored; ``begin`` sends its first tasks.

        A former keeper may have sent tasks of it if ``resumed``.
        """
        self._resumed = resumed
        self.stored = stored
        self.has_begun = bool(progress.done or progress.failed)
        self._progress = progress
        self._home_shard = home_shard
        self._router = router
        self._table = table
        self._clock = clock
        self._on_finished = on_finished
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        now = clock.now()
        self._open = open_tasks.OpenTasks(
            job=stored.job,
            route=stored.route,
            router=router,
            clock=clock,
            times=open_tasks.JobTimes(
                arrived_at=now - max(0, clock.wall() - stored.accepted_at),
                deadline=now + NO_DEADLINE_S,
            ),
        )
        self._waiting_steps = set(range(len(stored.job.steps)))
        self._done_steps: set[int] = set()

        #: Ends that were counted since the last change was handed over.
        self._unacknowledged: list[_Completion] = []

        #: True once the job has ended and its end is on its way to the store.
        self.is_finishing = False

        #: Set once the end of the job is stored.
        self.finished: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def start(self) -> None:
        """Send the first tasks."""
        self._start_ready_steps()

    def post_event(self, event: Event) -> None:
        """Hand in an event."""
        self._events.put_nowait(event)

    async def run(self) -> None:
        """Carry the job out until its end is stored."""
        state = await self._run()
        if state is None:
            return
        self.is_finishing = True
        self._open.withdraw()
        ended = self.stored.finish(state, self._clock.wall())
        _LOG.info(
            'Job ends.',
            extra={
                'job': ended.job.job_id,
                'state': state.value,
                'age_s': round(ended.ended_at - ended.accepted_at, 4),
            },
        )
        completions = self._pop_unacknowledged()
        is_stored = await self._table.put(
            f'{job_table.JOB_PREFIX}{ended.job.job_id}',
            records.encode_job(ended),
            max_delay_s=FINAL_COMMIT_DELAY_S,
        )
        if is_stored:
            # Not before: the next keeper would start done tasks again.
            self._table.put(
                f'{job_table.PROGRESS_PREFIX}{ended.job.job_id}',
                None,
                max_delay_s=PROGRESS_COMMIT_DELAY_S,
            )
            self.stored = ended
            self._acknowledge([*completions, *self._drain_completions()])
            self._on_finished(ended)
        if not self.finished.done():
            self.finished.set_result(is_stored)

    def state(self) -> records.JobState:
        """Return the state as it is stored."""
        if self.stored.state.is_final:
            return self.stored.state
        if self.has_begun:
            return records.JobState.RUNNING
        return records.JobState.QUEUED

    async def _run(self) -> records.JobState | None:
        """Return how the job ends; None if another keeper has it."""
        while self._open or self._waiting_steps:
            event = await self._events.get()
            self._refresh_route()
            match event:
                case messages.Ended(how=jobs.TaskResult.REPLACED.value):
                    _LOG.info(
                        'Another keeper has the job.',
                        extra={'job': self.stored.job.job_id},
                    )
                    return None
                case messages.Ended() if self._handle_completion(event):
                    return records.JobState.FAILED
                case CancelRequested():
                    return records.JobState.CANCELLED
                case _:
                    self._handle_event(event)
            self._store_progress()
        return records.JobState.COMPLETED

    def _handle_event(self, event: Event) -> None:
        """Act on an event that does not end the job."""
        match event:
            case messages.Declined():
                self._handle_declined(event)
            case messages.JobBegun():
                self.has_begun = True
            case open_tasks.LeaderLost(shard=shard):
                self._open.unassign(event)
                self._open.resume(shard, begun=True)
            case open_tasks.LeaderFound(shard=shard):
                self._open.resume(shard, begun=True)
            case _ShardChangeStored(tasks=tasks, shard=shard):
                self._send_to_new_shard(tasks, shard)

    def _refresh_route(self) -> None:
        """Use the route as the version in force has it."""
        newest = self._router.route(self.stored.route.route)
        if newest is not None:
            self._open.route = newest

    def _start_ready_steps(self) -> None:
        """Send the tasks of steps whose earlier steps are done."""
        for number in sorted(self._waiting_steps):
            step = self.stored.job.steps[number]
            if not self._done_steps.issuperset(step.after):
                continue
            self._waiting_steps.discard(number)
            tasks = [
                self._restore_progress(task)
                for task in open_tasks.new_tasks(
                    self.stored.job, number, self._home_shard
                )
                if task.key not in self._progress.done
            ]
            if not tasks:
                self._done_steps.add(number)
                self._start_ready_steps()
                return
            self._open.add(tasks)
            shards = {task.shard for task in tasks}
            for shard in shards:
                self._open.send(
                    [task for task in tasks if task.shard == shard],
                    firm=shard != self._home_shard,
                    begun=self._resumed,
                )

    def _restore_progress(
        self, task: open_tasks.OpenTask
    ) -> open_tasks.OpenTask:
        """Give a task what is known of its former runs."""
        task_progress = self._progress.failed.get(task.key)
        if task_progress is not None:
            task.number = task_progress.next_run
        task.shard = self._progress.moved.get(task.key, self._home_shard)
        task.was_moved = task.shard != self._home_shard
        task.resumed = self._resumed
        return task

    def _handle_completion(self, end: messages.Ended) -> bool:
        """Count an end; tell whether the job has failed by it."""
        self.has_begun = True
        key = (end.step, end.index)
        how = jobs.TaskResult(end.how)
        if how is jobs.TaskResult.LATE:
            self._retry(key)
            return False
        self._unacknowledged.append(_to_completion(end))
        if self._progress.is_recorded(key, end.run):
            # Its worker has not heard so.
            return False
        if how is jobs.TaskResult.DONE:
            self._record_success(key)
            return False
        return self._record_failure(key, end.run)

    def _record_success(self, key: open_tasks.TaskKey) -> None:
        """Count a good end, also of a task that a former keeper sent."""
        self._progress.record_success(key)
        if self._open.get(key) is not None and self._open.close(key):
            self._done_steps.add(key[0])
            self._start_ready_steps()

    def _record_failure(self, key: open_tasks.TaskKey, run: int) -> bool:
        failures = self._progress.record_failure(key, run)
        max_attempts = self._open.route.max_attempts
        _LOG.info(
            'Task failed.',
            extra={
                'job': self.stored.job.job_id,
                'task': key,
                'run': run,
                'failures': failures,
                'most': max_attempts,
            },
        )
        if failures >= max_attempts:
            return True
        self._retry(key)
        return False

    def _retry(self, key: open_tasks.TaskKey) -> None:
        task = self._open.get(key)
        if task is not None:
            self._restore_progress(task)
            self._open.send([task], firm=True, begun=True)

    def _handle_declined(self, declined: messages.Declined) -> None:
        """Send tasks to a cell that has more room, once that is stored.

        The next keeper must ask for them there.
        """
        tasks = self._open.in_shard(
            declined.step, declined.indices, declined.shard
        )
        if not tasks:
            return
        other = ids.ShardId(declined.other or self._home_shard)
        for task in tasks:
            self._progress.moved[task.key] = other
            task.source = None
            task.is_moving = True
        moved = _ShardChangeStored(tasks=tuple(tasks), shard=other)
        self._put_progress().add_done_callback(
            functools.partial(self._post_if_stored, moved)
        )

    def _send_to_new_shard(
        self, tasks: tuple[open_tasks.OpenTask, ...], shard: ids.ShardId
    ) -> None:
        remaining = [task for task in tasks if self._open.get(task.key) is task]
        if remaining:
            self._open.move(remaining, shard, begun=self.has_begun)

    def _store_progress(self) -> None:
        """Store what changed, and let workers forget the ends of it."""
        if not self._unacknowledged or not (self._open or self._waiting_steps):
            return
        completions = self._pop_unacknowledged()
        self._put_progress().add_done_callback(
            functools.partial(self._acknowledge_if_stored, completions)
        )

    def _put_progress(self) -> asyncio.Future[bool]:
        return self._table.put(
            f'{job_table.PROGRESS_PREFIX}{self.stored.job.job_id}',
            records.encode_progress(self._progress),
            max_delay_s=PROGRESS_COMMIT_DELAY_S,
        )

    def _post_if_stored(
        self, event: _ShardChangeStored, done: asyncio.Future[bool]
    ) -> None:
        if not done.cancelled() and done.result():
            self.post_event(event)

    def _drain_completions(self) -> list[_Completion]:
        """Return the ends that came while the job's end was stored."""
        events = [
            self._events.get_nowait() for _ in range(self._events.qsize())
        ]
        return [
            _to_completion(event)
            for event in events
            if isinstance(event, messages.Ended)
        ]

    def _pop_unacknowledged(self) -> list[_Completion]:
        completions = self._unacknowledged
        self._unacknowledged = []
        return completions

    def _acknowledge_if_stored(
        self, completions: list[_Completion], done: asyncio.Future[bool]
    ) -> None:
        if not done.cancelled() and done.result():
            self._acknowledge(completions)

    def _acknowledge(self, completions: list[_Completion]) -> None:
        for completion in completions:
            source = self._router.leader(completion.shard)
            if source is not None:
                source.send(
                    messages.EndsNoted(
                        shard=completion.shard,
                        job=self.stored.job.job_id,
                        step=completion.step,
                        ends=((completion.index, completion.run),),
                    )
                )


def _to_completion(end: messages.Ended) -> _Completion:
    return _Completion(
        shard=end.shard, step=end.step, index=end.index, run=end.run
    )
