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
class _MoveStored:
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
    | _MoveStored
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Note:
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
        home: ids.ShardId,
        router: Router,
        rows: job_table.JobTable,
        clock: clock.Clock,
        on_end: Callable[[records.StoredJob], None],
        resumed: bool,
    ) -> None:
        """Prepare a job that is stored; ``begin`` sends its first tasks.

        A former keeper may have sent tasks of it if ``resumed``.
        """
        self._resumed = resumed
        self.stored = stored
        self.has_begun = bool(progress.done or progress.failed)
        self._progress = progress
        self._home = home
        self._router = router
        self._rows = rows
        self._clock = clock
        self._on_end = on_end
        self._inbox: asyncio.Queue[Event] = asyncio.Queue()
        now = clock.now()
        self._open = open_tasks.OpenTasks(
            job=stored.job,
            route=stored.route,
            router=router,
            clock=clock,
            times=open_tasks.Times(
                arrived_at=now - max(0, clock.wall() - stored.accepted_at),
                deadline=now + NO_DEADLINE_S,
            ),
        )
        self._todo = set(range(len(stored.job.steps)))
        self._done_steps: set[int] = set()

        #: Ends that were counted since the last change was handed over.
        self._notes: list[_Note] = []

        #: True once the job has ended and its end is on its way to the store.
        self.is_ending = False

        #: Set once the end of the job is stored.
        self.ended: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def begin(self) -> None:
        """Send the first tasks."""
        self._begin_steps()

    def tell(self, event: Event) -> None:
        """Hand in an event."""
        self._inbox.put_nowait(event)

    async def run(self) -> None:
        """Carry the job out until its end is stored."""
        state = await self._run()
        if state is None:
            return
        self.is_ending = True
        self._open.withdraw()
        ended = self.stored.end(state, self._clock.wall())
        _LOG.info(
            'Job ends.',
            extra={
                'job': ended.job.job,
                'state': state.value,
                'age_s': round(ended.ended_at - ended.accepted_at, 4),
            },
        )
        notes = self._take_notes()
        is_stored = await self._rows.put(
            f'{job_table.JOB_PREFIX}{ended.job.job}',
            records.encode_job(ended),
            within_s=FINAL_COMMIT_DELAY_S,
        )
        if is_stored:
            # Not before: the next keeper would start done tasks again.
            self._rows.put(
                f'{job_table.PROGRESS_PREFIX}{ended.job.job}',
                None,
                within_s=PROGRESS_COMMIT_DELAY_S,
            )
            self.stored = ended
            self._send_notes([*notes, *self._late_notes()])
            self._on_end(ended)
        if not self.ended.done():
            self.ended.set_result(is_stored)

    def state(self) -> records.JobState:
        """Return the state as it is stored."""
        if self.stored.state.is_final:
            return self.stored.state
        if self.has_begun:
            return records.JobState.RUNNING
        return records.JobState.QUEUED

    async def _run(self) -> records.JobState | None:
        """Return how the job ends; None if another keeper has it."""
        while self._open or self._todo:
            event = await self._inbox.get()
            self._use_route()
            match event:
                case messages.Ended(how=jobs.TaskEnd.REPLACED.value):
                    _LOG.info(
                        'Another keeper has the job.',
                        extra={'job': self.stored.job.job},
                    )
                    return None
                case messages.Ended() if self._take_end(event):
                    return records.JobState.FAILED
                case CancelRequested():
                    return records.JobState.CANCELLED
                case _:
                    self._take(event)
            self._store_progress()
        return records.JobState.COMPLETED

    def _take(self, event: Event) -> None:
        """Act on an event that does not end the job."""
        match event:
            case messages.Declined():
                self._take_declined(event)
            case messages.JobBegun():
                self.has_begun = True
            case open_tasks.LeaderLost(shard=shard):
                self._open.strand(event)
                self._open.resume(shard, begun=True)
            case open_tasks.LeaderFound(shard=shard):
                self._open.resume(shard, begun=True)
            case _MoveStored(tasks=tasks, shard=shard):
                self._finish_move(tasks, shard)

    def _use_route(self) -> None:
        """Use the route as the version in force has it."""
        newest = self._router.route(self.stored.route.route)
        if newest is not None:
            self._open.route = newest

    def _begin_steps(self) -> None:
        """Send the tasks of steps whose earlier steps are done."""
        for number in sorted(self._todo):
            step = self.stored.job.steps[number]
            if not self._done_steps.issuperset(step.after):
                continue
            self._todo.discard(number)
            tasks = [
                self._restore(task)
                for task in open_tasks.new_tasks(
                    self.stored.job, number, self._home
                )
                if task.key not in self._progress.done
            ]
            if not tasks:
                self._done_steps.add(number)
                self._begin_steps()
                return
            self._open.add(tasks)
            shards = {task.shard for task in tasks}
            for shard in shards:
                self._open.send(
                    [task for task in tasks if task.shard == shard],
                    firm=shard != self._home,
                    begun=self._resumed,
                )

    def _restore(self, task: open_tasks.OpenTask) -> open_tasks.OpenTask:
        """Give a task what is known of its former runs."""
        known = self._progress.failed.get(task.key)
        if known is not None:
            task.number = known.number
        task.shard = self._progress.moved.get(task.key, self._home)
        task.was_moved = task.shard != self._home
        task.resumed = self._resumed
        return task

    def _take_end(self, end: messages.Ended) -> bool:
        """Count an end; tell whether the job has failed by it."""
        self.has_begun = True
        key = (end.step, end.index)
        how = jobs.TaskEnd(end.how)
        if how is jobs.TaskEnd.LATE:
            self._send_again(key)
            return False
        self._notes.append(_note(end))
        if self._progress.is_counted(key, end.run):
            # Its worker has not heard so.
            return False
        if how is jobs.TaskEnd.DONE:
            self._note_done(key)
            return False
        return self._take_failure(key, end.run)

    def _note_done(self, key: open_tasks.TaskKey) -> None:
        """Count a good end, also of a task that a former keeper sent."""
        self._progress.count_done(key)
        if self._open.get(key) is not None and self._open.end(key):
            self._done_steps.add(key[0])
            self._begin_steps()

    def _take_failure(self, key: open_tasks.TaskKey, run: int) -> bool:
        failures = self._progress.count_failure(key, run)
        most = self._open.route.max_attempts
        _LOG.info(
            'Task failed.',
            extra={
                'job': self.stored.job.job,
                'task': key,
                'run': run,
                'failures': failures,
                'most': most,
            },
        )
        if failures >= most:
            return True
        self._send_again(key)
        return False

    def _send_again(self, key: open_tasks.TaskKey) -> None:
        task = self._open.get(key)
        if task is not None:
            self._restore(task)
            self._open.send([task], firm=True, begun=True)

    def _take_declined(self, declined: messages.Declined) -> None:
        """Send tasks to a cell that has more room, once that is stored.

        The next keeper must ask for them there.
        """
        tasks = self._open.in_shard(
            declined.step, declined.indices, declined.shard
        )
        if not tasks:
            return
        other = ids.ShardId(declined.other or self._home)
        for task in tasks:
            self._progress.moved[task.key] = other
            task.source = None
            task.is_moving = True
        moved = _MoveStored(tasks=tuple(tasks), shard=other)
        self._put_progress().add_done_callback(
            functools.partial(self._tell_stored, moved)
        )

    def _finish_move(
        self, tasks: tuple[open_tasks.OpenTask, ...], shard: ids.ShardId
    ) -> None:
        left = [task for task in tasks if self._open.get(task.key) is task]
        if left:
            self._open.move(left, shard, begun=self.has_begun)

    def _store_progress(self) -> None:
        """Store what changed, and let workers forget the ends of it."""
        if not self._notes or not (self._open or self._todo):
            return
        notes = self._take_notes()
        self._put_progress().add_done_callback(
            functools.partial(self._noted, notes)
        )

    def _put_progress(self) -> asyncio.Future[bool]:
        return self._rows.put(
            f'{job_table.PROGRESS_PREFIX}{self.stored.job.job}',
            records.encode_progress(self._progress),
            within_s=PROGRESS_COMMIT_DELAY_S,
        )

    def _tell_stored(
        self, event: _MoveStored, done: asyncio.Future[bool]
    ) -> None:
        if not done.cancelled() and done.result():
            self.tell(event)

    def _late_notes(self) -> list[_Note]:
        """Return the ends that came while the job's end was stored."""
        events = [self._inbox.get_nowait() for _ in range(self._inbox.qsize())]
        return [
            _note(event)
            for event in events
            if isinstance(event, messages.Ended)
        ]

    def _take_notes(self) -> list[_Note]:
        notes = self._notes
        self._notes = []
        return notes

    def _noted(self, notes: list[_Note], done: asyncio.Future[bool]) -> None:
        if not done.cancelled() and done.result():
            self._send_notes(notes)

    def _send_notes(self, notes: list[_Note]) -> None:
        for note in notes:
            source = self._router.leader(note.shard)
            if source is not None:
                source.send(
                    messages.EndsNoted(
                        shard=note.shard,
                        job=self.stored.job.job,
                        step=note.step,
                        ends=((note.index, note.run),),
                    )
                )


def _note(end: messages.Ended) -> _Note:
    return _Note(shard=end.shard, step=end.step, index=end.index, run=end.run)
