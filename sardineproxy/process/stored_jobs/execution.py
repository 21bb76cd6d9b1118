"""Execution of one stored job by the leader of its home shard."""

import asyncio
import dataclasses
import functools
from typing import Callable, Protocol

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process.shards import worker_inquiries
from sardineproxy.process.stored_jobs import (
    job_table,
    leaderless_tasks,
    records,
)
from sardineproxy.request import jobs, open_tasks
from sardineproxy.version import routes

#: Delay in seconds by which task results of an unfinished job are grouped
#: into one commit. A shorter delay causes more calls to the store, a longer
#: one more polls of workers.
PROGRESS_COMMIT_DELAY_S = 0.025

#: Delay in seconds of the commit of a job's final state, which clients wait
#: for.
FINAL_COMMIT_DELAY_S = 0.005

#: Time to the deadline of a job, in seconds, long enough to never expire: no
#: client holds a connection for the result, and shard leaders must not abandon
#: the job.
NO_DEADLINE_S = 1e6

_LOG = logs.get_logger('jobs')


class Router(open_tasks.Router, Protocol):
    """Looks up shard leaders and the active routes."""

    def route(self, route: ids.RouteId) -> routes.Route | None:
        """Return a route of the active version, None if it was removed."""


class Inquiries(Protocol):
    """Asks the workers of shards whose leaders cannot be reached."""

    def ask(
        self, shard: ids.ShardId
    ) -> 'asyncio.Future[worker_inquiries.Findings]':
        """Return what the workers of a shard list, asked from now on."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelRequested:
    """A client's request to cancel the job."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AuthorityConfirmed:
    """The job manager may send the tasks that wait for that."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ShardChangeStored:
    """The new shard of tasks is stored, so they can be sent there."""

    tasks: tuple[open_tasks.OpenTask, ...]
    shard: ids.ShardId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _TakeBackDue:
    """Tasks may have been without a leader for ``TAKE_BACK_S``."""


Event = (
    open_tasks.FromLeader
    | open_tasks.LeaderLost
    | open_tasks.LeaderFound
    | CancelRequested
    | AuthorityConfirmed
    | _ShardChangeStored
    | _TakeBackDue
    | leaderless_tasks.WorkersAsked
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _FinishedRun:
    """A run whose worker may discard the result once it is stored."""

    shard: ids.ShardId
    step: int
    index: int
    run: int


class Execution:  # noqa: WPS214, WPS230
    """Sends the tasks of a stored job to shards and stores their results."""

    def __init__(
        self,
        *,
        stored_job: records.StoredJob,
        progress: records.JobProgress,
        home_shard: ids.ShardId,
        router: Router,
        table: job_table.JobTable,
        clock: clock.Clock,
        inquiries: Inquiries,
        on_finished: Callable[[records.StoredJob], None],
        resumed: bool,
    ) -> None:
        """Create the execution of a job that is already stored.

        ``resumed`` means that a former leader of the home shard may have
        sent tasks of the job. ``start`` sends the first tasks.
        """
        self._resumed = resumed
        self.stored_job = stored_job
        self.has_started = bool(progress.done or progress.failed)
        self._progress = progress
        self._home_shard = home_shard
        self._router = router
        self._table = table
        self._clock = clock
        self._inquiries = inquiries
        self._on_finished = on_finished
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        now = clock.now()
        self._open_tasks = open_tasks.OpenTasks(
            job=stored_job.job,
            route=stored_job.route,
            router=router,
            clock=clock,
            times=open_tasks.JobTimes(
                arrived_at=now - max(0, clock.wall() - stored_job.accepted_at),
                deadline=now + NO_DEADLINE_S,
            ),
            authority=table.message_authority,
        )
        self._waiting_steps = set(range(len(stored_job.job.steps)))
        self._done_steps: set[int] = set()
        self._leaderless = leaderless_tasks.LeaderlessTasks()

        #: Finished runs that were recorded but are not yet part of a commit.
        self._unacknowledged: list[_FinishedRun] = []

        #: True while ``run`` processes events.
        self._is_running = False

        #: True once the job has ended and its final state is being stored.
        self.is_finishing = False

        #: Resolves once the final state is stored (True), or once the attempt
        #: to store it shows that another leader writes the table (False).
        self.finished: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def start(self) -> None:
        """Send the tasks of all steps that do not wait for others."""
        self._start_ready_steps()
        self._await_leaders()

    def post_event(self, event: Event) -> None:
        """Queue an event for ``run``."""
        self._events.put_nowait(event)

    async def run(self) -> None:
        """Process events until the final state of the job is stored."""
        self._is_running = True
        try:
            await self._run_to_end()
        finally:
            self._is_running = False

    def idle_cause(self) -> str:
        """Return why nothing continues the job, empty if something does."""
        if not self._is_running:
            return 'execution ended without a final state'
        if self.is_finishing:
            return ''
        if not self._open_tasks:
            return 'no open tasks'
        return 'tasks without a leader' if self._open_tasks.unattached() else ''

    def attach_again(self) -> 'Execution | None':
        """Submit the tasks that no leader has.

        Returns a new execution to run if this one has ended.
        """
        if not self._is_running:
            return Execution(
                stored_job=self.stored_job,
                progress=self._progress,
                home_shard=self._home_shard,
                router=self._router,
                table=self._table,
                clock=self._clock,
                inquiries=self._inquiries,
                on_finished=self._on_finished,
                resumed=True,
            )
        for shard, lost_leader in self._open_tasks.unattached():
            self.post_event(
                open_tasks.LeaderFound(shard=shard)
                if lost_leader is None
                else open_tasks.LeaderLost(
                    shard=shard, former_leader=lost_leader
                )
            )
        return None

    def summary(self) -> dict[str, object]:
        """Return what is known of the job, for the log."""
        tasks = self._open_tasks.all()
        return {
            'job': self.stored_job.job.job_id,
            'tasks': len(tasks),
            'unassigned': sum(task.leader is None for task in tasks),
            'cells': sorted({task.shard for task in tasks}),
            'waiting_steps': sorted(self._waiting_steps),
            'done': len(self._progress.done),
        }

    def withdraw(self, authority: messages.Authority) -> None:
        """Withdraw the tasks from all leaders; ``run`` must have ended.

        ``authority`` is that of the job manager that replaces the former one.
        """
        self._open_tasks.withdraw(authority)

    def state(self) -> records.JobState:
        """Return the state of the job according to the store."""
        if self.stored_job.state.is_final:
            return self.stored_job.state
        if self.has_started:
            return records.JobState.RUNNING
        return records.JobState.QUEUED

    async def _run_to_end(self) -> None:
        state = await self._run()
        if state is None:
            return
        self.is_finishing = True
        if self._table.is_confirmed:
            self._open_tasks.withdraw()
        ended_job = self.stored_job.finish(
            state,
            self._clock.wall(),
            restarted_in_doubt=bool(self._progress.restarted_in_doubt),
        )
        _LOG.info(
            'Job ended.',
            extra={
                'job': ended_job.job.job_id,
                'state': state.value,
                'age_s': round(ended_job.ended_at - ended_job.accepted_at, 4),
            },
        )
        finished_runs = self._pop_unacknowledged()
        is_stored = await self._table.put(
            f'{job_table.JOB_PREFIX}{ended_job.job.job_id}',
            records.encode_job(ended_job),
            max_delay_s=FINAL_COMMIT_DELAY_S,
        )
        if is_stored:
            self._open_tasks.withdraw()
            # The progress row goes last: a new leader that finds the job
            # unfinished and no progress would start completed tasks again.
            self._table.put(
                f'{job_table.PROGRESS_PREFIX}{ended_job.job.job_id}',
                None,
                max_delay_s=PROGRESS_COMMIT_DELAY_S,
            )
            self.stored_job = ended_job
            self._acknowledge([*finished_runs, *self._drain_finished_runs()])
            self._on_finished(ended_job)
        if not self.finished.done():
            self.finished.set_result(is_stored)

    async def _run(self) -> records.JobState | None:
        """Return the final state, None if another leader took over the job."""
        while self._open_tasks or self._waiting_steps:
            event = await self._events.get()
            self._refresh_route()
            match event:
                case open_tasks.FromLeader(
                    message=messages.RunEnded(
                        result=jobs.TaskResult.REPLACED.value
                    ) as replaced
                ) if self._table.is_outdated_by(replaced.authority):
                    return None
                case open_tasks.FromLeader(
                    message=messages.RunEnded() as ended
                ) if self._handle_result(event.source, ended):
                    return records.JobState.FAILED
                case leaderless_tasks.WorkersAsked() if self._handle_findings(
                    event
                ):
                    return records.JobState.FAILED
                case CancelRequested():
                    return records.JobState.CANCELLED
                case _:
                    self._handle_event(event)
            self._store_progress()
        return records.JobState.COMPLETED

    def _handle_event(self, event: Event) -> None:
        """Handle an event that does not end the job."""
        match event:
            case open_tasks.FromLeader(message=messages.Declined() as declined):
                self._handle_declined(event.source, declined)
            case open_tasks.FromLeader(message=messages.JobStarted()):
                self.has_started = True
            case AuthorityConfirmed():
                for unassigned in self._open_tasks.unassigned_shards():
                    self._open_tasks.resume(unassigned, job_started=True)
                self._await_leaders()
            case open_tasks.LeaderLost(shard=shard):
                self._resubmit(event.former_leader, shard)
                self._await_leaders()
            case open_tasks.LeaderFound(shard=shard):
                self._open_tasks.resume(shard, job_started=True)
                self._await_leaders()
            case _ShardChangeStored(tasks=tasks, shard=shard):
                self._send_to_new_shard(tasks, shard)
                self._await_leaders()
            case _TakeBackDue():
                self._take_back()

    def _resubmit(self, former_leader: link.Link, shard: ids.ShardId) -> None:
        """Submit the tasks that are assigned to a link again."""
        self._open_tasks.unassign(
            open_tasks.LeaderLost(shard=shard, former_leader=former_leader)
        )
        self._open_tasks.resume(shard, job_started=True)

    def _refresh_route(self) -> None:
        """Update the route from the active version."""
        route = self._router.route(self.stored_job.route.route)
        if route is not None:
            self._open_tasks.route = route

    def _start_ready_steps(self) -> None:
        """Send the tasks of steps whose predecessors are completed."""
        for step_index in sorted(self._waiting_steps):
            step = self.stored_job.job.steps[step_index]
            if not self._done_steps.issuperset(step.after):
                continue
            self._waiting_steps.discard(step_index)
            tasks = [
                self._restore_progress(task)
                for task in open_tasks.new_tasks(
                    self.stored_job.job, step_index, self._home_shard
                )
                if task.key not in self._progress.done
            ]
            if not tasks:
                self._done_steps.add(step_index)
                self._start_ready_steps()
                return
            self._open_tasks.add(tasks)
            shards = {task.shard for task in tasks}
            for shard in shards:
                self._open_tasks.send(
                    [task for task in tasks if task.shard == shard],
                    pinned=shard != self._home_shard,
                    job_started=self._resumed,
                )

    def _restore_progress(
        self, task: open_tasks.OpenTask
    ) -> open_tasks.OpenTask:
        """Set the run number and the shard of a task from the progress."""
        task_progress = self._progress.failed.get(task.key)
        if task_progress is not None:
            task.next_run = task_progress.next_run
        task.shard = self._progress.moved.get(task.key, self._home_shard)
        task.was_moved = task.shard != self._home_shard
        task.resumed = self._resumed
        return task

    def _handle_result(
        self, source: link.Link, ended: messages.RunEnded
    ) -> bool:
        """Process the result of a run; return whether it fails the job."""
        self.has_started = True
        key = (ended.step, ended.index)
        task_result = jobs.TaskResult(ended.result)
        if task_result is jobs.TaskResult.REPLACED:
            # Another submission of this manager has the tasks.
            self._resubmit(source, ended.shard)
            return False
        if task_result is jobs.TaskResult.LATE:
            task = self._open_tasks.get(key)
            if task is not None and task.leader is source:
                self._retry(key)
            return False
        return self._record_result(ended)

    def _record_result(self, ended: messages.RunEnded) -> bool:
        """Record a success or failure; return whether it fails the job."""
        key = (ended.step, ended.index)
        self._unacknowledged.append(_to_finished_run(ended))
        if self._progress.is_recorded(key, ended.run):
            # A repeated report: the acknowledgement did not reach the worker.
            return False
        if ended.result == jobs.TaskResult.DONE.value:
            self._record_success(key, ended.shard)
            return False
        return self._record_failure(key, ended.run)

    def _record_success(
        self, key: open_tasks.TaskKey, source_shard: ids.ShardId
    ) -> None:
        """Record a success, also of a task that a former leader sent."""
        task = self._open_tasks.get(key)
        if task is not None and task.shard != source_shard:
            # It must not start there after its end is stored.
            self._open_tasks.withdraw_task(task)
        self._progress.record_success(key)
        if self._open_tasks.get(key) is not None and self._open_tasks.close(
            key
        ):
            self._done_steps.add(key[0])
            self._start_ready_steps()

    def _record_failure(self, key: open_tasks.TaskKey, run: int) -> bool:
        failures = self._progress.record_failure(key, run)
        max_attempts = self._open_tasks.route.max_attempts
        _LOG.info(
            'Task failed.',
            extra={
                'job': self.stored_job.job.job_id,
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
        task = self._open_tasks.get(key)
        if task is not None:
            self._restore_progress(task)
            self._open_tasks.send([task], pinned=True, job_started=True)
            self._await_leaders()

    def _handle_declined(
        self, source: link.Link, declined: messages.Declined
    ) -> None:
        """Move declined tasks to the suggested shard, else to the home shard."""
        tasks = self._open_tasks.declined_by(source, declined)
        if not tasks:
            return
        new_shard = ids.ShardId(declined.suggested_shard)
        # No leader is found while the authority of the job manager is unconfirmed.
        is_unlinked = (
            self._table.is_confirmed
            and self._router.leader_link(new_shard) is None
        )
        if not new_shard or is_unlinked:
            new_shard = self._home_shard
        self._move_once_stored(tasks, new_shard)

    def _await_leaders(self) -> None:
        """Take tasks back that stay without a leader in another shard.

        The leader of that shard may be alive, but it drops them before. While
        the authority of the job manager is unconfirmed, tasks are unassigned
        although their shard has a leader.
        """
        now = self._clock.now()
        self._leaderless.update(
            (
                task
                for task in self._open_tasks.all()
                if task.shard != self._home_shard
                and not task.is_moving
                and self._table.is_confirmed
            ),
            now,
        )
        delay_s = self._leaderless.start_timer(now)
        if delay_s is not None:
            asyncio.get_running_loop().call_later(
                delay_s, self.post_event, _TakeBackDue()
            )

    def _take_back(self) -> None:
        """Ask the workers of tasks that have been without a leader."""
        self._leaderless.stop_timer()
        by_shard: dict[ids.ShardId, list[open_tasks.OpenTask]] = {}
        for task in self._leaderless.pop_due(self._clock.now()):
            by_shard.setdefault(task.shard, []).append(task)
        for shard, tasks in by_shard.items():
            self._inquiries.ask(shard).add_done_callback(
                functools.partial(self._post_findings, tuple(tasks), shard)
            )
        self._await_leaders()

    def _post_findings(
        self,
        tasks: tuple[open_tasks.OpenTask, ...],
        shard: ids.ShardId,
        findings_fut: 'asyncio.Future[worker_inquiries.Findings]',
    ) -> None:
        if not findings_fut.cancelled():
            self.post_event(
                leaderless_tasks.WorkersAsked(
                    job=self.stored_job.job.job_id,
                    shard=shard,
                    tasks=tasks,
                    findings=findings_fut.result(),
                )
            )

    def _handle_findings(self, asked: leaderless_tasks.WorkersAsked) -> bool:
        """Record results that workers list, and take the other tasks back.

        A task that still runs is left to its worker. Returns whether a result
        fails the job.
        """
        for unreached in asked.tasks:
            is_open = self._open_tasks.get(unreached.key) is unreached
            for ended in asked.find_results(unreached) if is_open else ():
                if self._record_result(ended):
                    return True
        now = self._clock.now()
        taken_back = [
            task
            for task in asked.tasks
            if self._open_tasks.get(task.key) is task
            and self._leaderless.is_leaderless(task)
            and not asked.is_running(task)
            and (
                asked.findings.is_complete
                or self._leaderless.is_overdue(task, now)
            )
        ]
        if taken_back:
            _LOG.warning(
                'Tasks taken back from a shard without a leader.',
                extra={
                    'job': self.stored_job.job.job_id,
                    'cells': [asked.shard],
                    'tasks': [task.key for task in taken_back],
                    'all_asked': asked.findings.is_complete,
                },
            )
            if not asked.findings.is_complete:
                self._progress.restarted_in_doubt.update(
                    task.key for task in taken_back
                )
            self._move_once_stored(taken_back, self._home_shard)
        self._await_leaders()
        return False

    def _move_once_stored(
        self, tasks: list[open_tasks.OpenTask], new_shard: ids.ShardId
    ) -> None:
        """Move tasks of one or more steps after the new shard is stored.

        The next job manager then resumes them in that shard.
        """
        for task in tasks:
            self._progress.moved[task.key] = new_shard
            task.leader = None
            task.is_moving = True
        moved = _ShardChangeStored(tasks=tuple(tasks), shard=new_shard)
        self._put_progress().add_done_callback(
            functools.partial(self._post_if_stored, moved)
        )

    def _send_to_new_shard(
        self, tasks: tuple[open_tasks.OpenTask, ...], shard: ids.ShardId
    ) -> None:
        by_step: dict[int, list[open_tasks.OpenTask]] = {}
        for task in tasks:
            if self._open_tasks.get(task.key) is task:
                by_step.setdefault(task.step, []).append(task)
        for remaining in by_step.values():
            self._open_tasks.move(
                remaining, shard, job_started=self.has_started
            )

    def _store_progress(self) -> None:
        """Store new results, then acknowledge them to the workers.

        Once all tasks are done, the commit of the final state does this.
        """
        if not self._unacknowledged or not (
            self._open_tasks or self._waiting_steps
        ):
            return
        finished_runs = self._pop_unacknowledged()
        self._put_progress().add_done_callback(
            functools.partial(self._acknowledge_if_stored, finished_runs)
        )

    def _put_progress(self) -> asyncio.Future[bool]:
        return self._table.put(
            f'{job_table.PROGRESS_PREFIX}{self.stored_job.job.job_id}',
            records.encode_progress(self._progress),
            max_delay_s=PROGRESS_COMMIT_DELAY_S,
        )

    def _post_if_stored(
        self, event: _ShardChangeStored, commit_fut: asyncio.Future[bool]
    ) -> None:
        if not commit_fut.cancelled() and commit_fut.result():
            self.post_event(event)

    def _drain_finished_runs(self) -> list[_FinishedRun]:
        """Return the runs reported while the final state was stored."""
        events = [
            self._events.get_nowait() for _ in range(self._events.qsize())
        ]
        return [
            _to_finished_run(event.message)
            for event in events
            if isinstance(event, open_tasks.FromLeader)
            and isinstance(event.message, messages.RunEnded)
        ]

    def _pop_unacknowledged(self) -> list[_FinishedRun]:
        finished_runs = self._unacknowledged
        self._unacknowledged = []
        return finished_runs

    def _acknowledge_if_stored(
        self,
        finished_runs: list[_FinishedRun],
        commit_fut: asyncio.Future[bool],
    ) -> None:
        if not commit_fut.cancelled() and commit_fut.result():
            self._acknowledge(finished_runs)

    def _acknowledge(self, finished_runs: list[_FinishedRun]) -> None:
        for finished in finished_runs:
            leader = self._router.leader_link(finished.shard)
            if leader is not None:
                leader.send(
                    messages.ResultsStored(
                        shard=finished.shard,
                        job=self.stored_job.job.job_id,
                        step=finished.step,
                        runs=((finished.index, finished.run),),
                        authority=self._table.message_authority(),
                        after_lapse=(finished.step, finished.index)
                        in self._progress.restarted_in_doubt,
                    )
                )


def _to_finished_run(event: messages.RunEnded) -> _FinishedRun:
    return _FinishedRun(
        shard=event.shard, step=event.step, index=event.index, run=event.run
    )
