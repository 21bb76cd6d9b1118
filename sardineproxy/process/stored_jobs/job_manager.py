"""Stored jobs of one shard, managed by the leader of the shard."""

import asyncio
import collections
import enum
from typing import Callable, Iterable

from sardineproxy import background, clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics, store
from sardineproxy.process.shards import fencing
from sardineproxy.process.stored_jobs import (
    authority,
    execution,
    guarded_router,
    idle_jobs,
    job_table,
    records,
    stored_rows,
)
from sardineproxy.request import open_tasks

#: Maximum number of unfinished stored jobs of a shard. It bounds memory: a
#: job takes about 3 KB.
MAX_OPEN_JOBS = 5000

#: Delay in seconds by which accepted jobs are grouped into one commit.
ACCEPT_COMMIT_DELAY_S = 0.002

#: Timeout in seconds of a write to the store, after which the reply is
#: REFUSED or UNKNOWN. A commit takes 16 ms, or 0.6 s with a slow store.
STORE_TIMEOUT_S = 1.0

#: Time in seconds that a query for a running job waits for its completion.
#: Clients query at the expected end of a job, and again a quarter of a second
#: later; the result of a run arrives up to one pause between polls after its
#: end.
RUNNING_QUERY_WAIT_S = 0.04

#: Time in seconds that a query waits while the final state of the job is
#: being stored. A commit takes 16 ms, so the reply usually has the new state.
FINISHING_QUERY_WAIT_S = 0.1

#: Delay before another attempt to confirm that a job is not stored, in seconds.
CONFIRM_RETRY_S = 0.5

#: Delay before the authority is checked again while a renewed token is being
#: stored, in seconds. A write takes 16 ms.
RENEWAL_WAIT_S = 0.02

#: Delay in seconds from the end of the retention of a final state until its
#: row may be removed.
CLEANUP_SLACK_S = 10.0

#: Interval of the removal of expired final states, in seconds.
CLEANUP_PERIOD_S = 5.0

_LOG = logs.get_logger('jobs')


#: Job, step, index and run.
_ResultKey = tuple[ids.JobId, int, int, int]


class JobReply(enum.Enum):
    """Reply of a job manager about a job."""

    #: The job is stored, now or since an earlier request.
    ACCEPTED = 'accepted'

    #: This request did not store the job and will not do so later.
    REFUSED = 'refused'

    #: The shard's jobs are not loaded at the moment; nothing was changed.
    UNAVAILABLE = 'unavailable'

    #: The job may or may not have been stored or cancelled.
    UNKNOWN = 'unknown'

    #: No such job is stored.
    ABSENT = 'absent'
    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class JobManager:  # noqa: WPS214
    """Accepts, executes and cancels the stored jobs of one shard."""

    def __init__(
        self,
        *,
        table: job_table.JobTable,
        router: execution.Router,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        retention_s: float,
        inquiries: execution.Inquiries,
        on_lost: Callable[['JobManager'], None],
    ) -> None:
        """Create a manager without jobs; ``start`` loads the stored ones.

        States of ended jobs are retained for at least ``retention_s`` seconds.
        ``on_lost`` is called once the manager can no longer write the table:
        it must be replaced or removed.
        """
        self.shard = table.shard
        self._table = table
        self._router = guarded_router.GuardedRouter(
            router=router,
            is_confirmed=lambda: table.is_confirmed,
            on_unconfirmed=self._start_confirming,
        )
        self._idle_jobs: idle_jobs.IdleJobs[execution.Execution] = (
            idle_jobs.IdleJobs()
        )
        self._is_confirming = False
        self._clock = clock
        self._metrics = metrics
        self._retention_s = retention_s
        self._inquiries = inquiries
        self._executions: dict[ids.JobId, execution.Execution] = {}
        self._ended_jobs: dict[ids.JobId, records.StoredJob] = {}
        self._storing: dict[ids.JobId, asyncio.Future[bool]] = {}

        #: Results for which it is being confirmed that no job needs them.
        self._discarding: set[_ResultKey] = set()

        #: Jobs that are stored, but cannot be run.
        self._unreadable_jobs: set[ids.JobId] = set()
        self._on_lost = on_lost
        self._tasks = background.Tasks()
        self._is_loaded = False
        self._is_retired = False

        #: Executions of the manager that this one replaces.
        self._former_executions: dict[ids.JobId, execution.Execution] = {}

    @property
    def is_loaded(self) -> bool:
        """Return whether all jobs are loaded, as far as is known here."""
        is_current = not (self._is_retired or self._table.is_superseded)
        return self._is_loaded and is_current

    @property
    def newer_token(self) -> fencing.FencingToken | None:
        """Return the token of the leader that has taken over the table.

        None if that is not known.
        """
        return self._table.newer_token

    def start(self, predecessor: 'JobManager | None' = None) -> None:
        """Load and resume the stored jobs, and start writing the table.

        ``predecessor`` is the retired manager of this process, if any.
        """
        if predecessor is not None:
            self._former_executions = predecessor.unfinished_executions()
        self._tasks.spawn(
            self._run(),
            unit=f'stored jobs of {self.shard}',
            on_failure=self._report_lost,
        )

    def renew_token(self, token: fencing.FencingToken) -> None:
        """Write the table under a higher token of this leader from now on."""
        self._table.renew(token)

    def retire(self) -> None:
        """Start no more tasks and answer no more requests.

        ``close`` must follow.
        """
        self._is_retired = True

    async def close(self) -> None:
        """Stop writing; the next leader resumes the jobs and their runs."""
        self.retire()
        await self._tasks.close()
        await self._table.close()

    def unfinished_executions(self) -> dict[ids.JobId, execution.Execution]:
        """Return the executions of all jobs that have not ended.

        These include the ones of a predecessor whose jobs are not loaded yet.
        """
        return {**self._former_executions, **self._executions}

    def pending(self) -> dict[ids.RouteId, int]:
        """Return the number of jobs per route that have not started."""
        return collections.Counter(
            job_execution.stored_job.route.route
            for job_execution in self.unfinished_executions().values()
            if not job_execution.has_started
        )

    async def accept(self, stored_job: records.StoredJob) -> JobReply:
        """Store a job, unless it is stored already."""
        job = stored_job.job.job_id
        if not self.is_loaded or job in self._unreadable_jobs:
            return JobReply.UNAVAILABLE
        if job in self._executions or job in self._ended_jobs:
            return JobReply.ACCEPTED
        if job not in self._storing:
            if len(self._executions) >= MAX_OPEN_JOBS:
                return self._refuse()
            self._storing[job] = self._store(stored_job)
        return await self._wait_stored(job, self._storing[job])

    async def query(self, job: ids.JobId) -> JobReply:
        """Return the state of a job according to the store.

        ABSENT is confirmed by the store: another process may have taken over
        the table and stored the job.
        """
        if not self.is_loaded or job in self._unreadable_jobs:
            return JobReply.UNAVAILABLE
        if not self._is_known(job) and not await self._are_jobs_complete():
            return JobReply.UNAVAILABLE
        job_execution = self._executions.get(job)
        if job_execution is not None:
            return await self._query_execution(job_execution)
        ended_job = self._ended_jobs.get(job)
        if ended_job is not None:
            return JobReply(ended_job.state.value)
        if job in self._storing:
            return JobReply.UNKNOWN
        return JobReply.ABSENT

    async def cancel(self, job: ids.JobId) -> JobReply:
        """Cancel a job unless it has ended; return the resulting state."""
        job_execution = self._executions.get(job)
        if job_execution is None:
            return await self.query(job)
        job_execution.post_event(execution.CancelRequested())
        await asyncio.wait((job_execution.finished,), timeout=STORE_TIMEOUT_S)
        if job_execution.finished.done() and job_execution.finished.result():
            return JobReply(job_execution.state().value)
        return JobReply.UNKNOWN

    def handle_message(
        self,
        source: link.Link,
        message: messages.RunEnded | messages.Declined | messages.JobStarted,
    ) -> None:
        """Pass a message to the execution of its job."""
        job_execution = self._executions.get(message.job)
        if job_execution is not None:
            job_execution.post_event(
                open_tasks.FromLeader(source=source, message=message)
            )
        elif isinstance(message, messages.RunEnded):
            self._start_discarding(source, message)

    def handle_refusal(
        self, source: link.Link, refusal: messages.OutdatedAuthority
    ) -> None:
        """Give up the table if another process has a higher token for it.

        Otherwise the refused message was sent before the token was renewed.
        """
        job_execution = self._executions.get(refusal.job)
        if self._table.is_outdated_by(refusal.authority):
            return
        if job_execution is not None:
            job_execution.post_event(
                open_tasks.LeaderLost(shard=refusal.shard, former_leader=source)
            )

    def invalidate_authority(self) -> None:
        """Ask the store before any more work is sent."""
        self._table.authority.invalidate()

    def tick(self, contact: authority.Contact, now: float) -> None:
        """Check the authority, and whether all jobs are continued."""
        self._table.authority.tick(contact, now)
        if self.is_loaded:
            for idle, cause in self._idle_jobs.find(self._executions, now):
                self._attach_again(idle, cause)

    def broadcast(
        self, event: open_tasks.LeaderLost | open_tasks.LeaderFound
    ) -> None:
        """Report a change of a shard's leader to all unfinished jobs."""
        for job_execution in self._executions.values():
            job_execution.post_event(event)

    def state(self, now: float) -> dict[str, object]:
        """Return the jobs and the state of the table, for the state dump."""
        return {
            'cell': self.shard,
            'loaded': self._is_loaded,
            'unstored_s': round(self._table.oldest_unstored_s(now), 3),
            'superseded': self._table.is_superseded,
            'open': {
                job: job_execution.state().value
                for job, job_execution in self._executions.items()
            },
            'ended': len(self._ended_jobs),
        }

    def _is_known(self, job: ids.JobId) -> bool:
        return (
            job in self._executions
            or job in self._ended_jobs
            or job in self._storing
        )

    async def _are_jobs_complete(self) -> bool:
        """Return whether the store confirms that no other job is stored."""
        is_writer = await self._table.confirm(STORE_TIMEOUT_S)
        return is_writer and self.is_loaded

    def _start_confirming(self) -> None:
        if not (self._is_confirming or self._is_retired):
            self._is_confirming = True
            self._tasks.spawn(
                self._confirm_authority(),
                unit=f'confirmation of the manager of {self.shard}',
            )

    async def _confirm_authority(self) -> None:
        """Ask the store until it confirms the authority; then send tasks."""
        try:
            while not self._table.is_confirmed:
                if self._is_retired or self._table.is_superseded:
                    return
                is_writer = await self._table.confirm(STORE_TIMEOUT_S)
                if not self._table.is_confirmed:
                    await asyncio.sleep(
                        RENEWAL_WAIT_S if is_writer else CONFIRM_RETRY_S
                    )
        finally:
            self._is_confirming = False
        self._metrics.count('authority_confirmations_total')
        for job_execution in self._executions.values():
            job_execution.post_event(execution.AuthorityConfirmed())

    def _start_discarding(
        self, source: link.Link, ended: messages.RunEnded
    ) -> None:
        result_key = (ended.job, ended.step, ended.index, ended.run)
        if result_key not in self._discarding:
            self._discarding.add(result_key)
            self._tasks.spawn(
                self._discard_result(source, ended, result_key),
                unit=f'result of job {ended.job}',
            )

    async def _discard_result(
        self, source: link.Link, ended: messages.RunEnded, key: _ResultKey
    ) -> None:
        try:
            await self._discard_if_absent(source, ended)
        finally:
            self._discarding.discard(key)

    async def _discard_if_absent(
        self, source: link.Link, ended: messages.RunEnded
    ) -> None:
        """Let the worker discard the result of a job that is not running.

        If the job is unknown here, another process that has taken over the
        table may need the result. A job that cannot be read may need it later.
        """
        if ended.job in self._unreadable_jobs:
            return
        while not self._is_known(ended.job):
            if not self.is_loaded:
                return
            if await self._are_jobs_complete():
                break
            await asyncio.sleep(CONFIRM_RETRY_S)
        if ended.job in self._executions:
            self.handle_message(source, ended)
            return
        ended_job = self._ended_jobs.get(ended.job)
        source.send(
            messages.ResultsStored(
                shard=ended.shard,
                job=ended.job,
                step=ended.step,
                runs=((ended.index, ended.run),),
                authority=self._table.message_authority(),
                after_lapse=ended_job is not None
                and ended_job.restarted_in_doubt,
            )
        )

    async def _query_execution(
        self, job_execution: execution.Execution
    ) -> JobReply:
        if job_execution.state() is records.JobState.RUNNING:
            await asyncio.wait(
                (job_execution.finished,), timeout=RUNNING_QUERY_WAIT_S
            )
        if job_execution.is_finishing:
            await asyncio.wait(
                (job_execution.finished,), timeout=FINISHING_QUERY_WAIT_S
            )
        return JobReply(job_execution.state().value)

    async def _run(self) -> None:
        rows = await self._table.open()
        if rows is not None and not self._is_retired:
            self._load(rows)
            self._withdraw_former_executions()
            self._tasks.spawn_restarting(
                self._clean_up, f'removal of stored jobs of {self.shard}'
            )
            await self._table.run()
        self._report_lost()

    def _report_lost(self) -> None:
        self._on_lost(self)

    def _withdraw_former_executions(self) -> None:
        """Withdraw the jobs that another process has finished meanwhile."""
        for job, former in self._former_executions.items():
            if job not in self._executions:
                former.withdraw(self._table.message_authority())
        self._former_executions = {}

    def _load(self, rows: Iterable[store.Row]) -> None:
        """Resume the unfinished jobs and load the states of ended ones."""
        stored = stored_rows.decode(rows)
        self._ended_jobs.update(stored.ended)
        self._unreadable_jobs = stored.unreadable
        for unfinished in stored.unfinished:
            job = unfinished.stored_job.job.job_id
            try:
                self._start_execution(
                    unfinished.stored_job, unfinished.progress, resumed=True
                )
            except Exception as exc:
                background.report(f'job {job}', exc)
                self._unreadable_jobs.add(job)
        self._is_loaded = True
        _LOG.info(
            'Stored jobs loaded.',
            extra={
                'cell': self.shard,
                'epoch': self._table.epoch,
                'open': len(self._executions),
                'ended': len(self._ended_jobs),
                'unreadable': len(self._unreadable_jobs),
            },
        )

    def _start_execution(
        self,
        stored_job: records.StoredJob,
        progress: records.JobProgress,
        *,
        resumed: bool,
    ) -> None:
        self._run_execution(
            execution.Execution(
                stored_job=stored_job,
                progress=progress,
                home_shard=self.shard,
                router=self._router,
                table=self._table,
                clock=self._clock,
                inquiries=self._inquiries,
                on_finished=self._record_finished,
                resumed=resumed,
            )
        )

    def _run_execution(self, job_execution: execution.Execution) -> None:
        job = job_execution.stored_job.job.job_id
        self._executions[job] = job_execution
        job_execution.start()
        self._tasks.spawn(job_execution.run(), unit=f'job {job}')

    def _attach_again(self, idle: execution.Execution, cause: str) -> None:
        """Continue a job that nothing continues."""
        _LOG.warning(
            'Nothing continues a stored job; it is attached again.',
            extra={'cell': self.shard, 'cause': cause, **idle.summary()},
        )
        self._metrics.count('stored_jobs_reattached_total')
        renewed = idle.attach_again()
        if renewed is not None:
            self._run_execution(renewed)

    def _record_finished(self, ended_job: records.StoredJob) -> None:
        self._metrics.count(
            'stored_jobs_ended_total', state=ended_job.state.value
        )
        self._metrics.observe(
            'stored_job_seconds',
            max(0, ended_job.ended_at - ended_job.accepted_at),
            state=ended_job.state.value,
        )
        self._executions.pop(ended_job.job.job_id)
        self._ended_jobs[ended_job.job.job_id] = ended_job

    def _store(self, stored_job: records.StoredJob) -> asyncio.Future[bool]:
        job = stored_job.job.job_id
        commit_fut = self._table.put(
            f'{job_table.JOB_PREFIX}{job}',
            records.encode_job(stored_job),
            max_delay_s=ACCEPT_COMMIT_DELAY_S,
        )

        def on_stored(fut: asyncio.Future[bool]) -> None:  # noqa: WPS430
            self._storing.pop(job, None)
            if fut.cancelled() or not fut.result():
                return
            self._metrics.count('stored_jobs_total')
            if not self._is_retired:
                self._start_execution(
                    stored_job, records.JobProgress(), resumed=False
                )

        commit_fut.add_done_callback(on_stored)
        return commit_fut

    async def _wait_stored(
        self, job: ids.JobId, commit_fut: asyncio.Future[bool]
    ) -> JobReply:
        await asyncio.wait((commit_fut,), timeout=STORE_TIMEOUT_S)
        if commit_fut.cancelled():
            return self._refuse()
        if commit_fut.done():
            # A superseded leader cannot determine whether the row was stored.
            return (
                JobReply.ACCEPTED if commit_fut.result() else JobReply.UNKNOWN
            )
        if self._table.withdraw(f'{job_table.JOB_PREFIX}{job}'):
            return self._refuse()
        return JobReply.UNKNOWN

    def _refuse(self) -> JobReply:
        """Return REFUSED unless a new manager may have stored the job."""
        if self._table.is_confirmed:
            return JobReply.REFUSED
        return JobReply.UNKNOWN

    async def _clean_up(self) -> None:
        """Periodically remove final states past their retention."""
        while True:
            await asyncio.sleep(CLEANUP_PERIOD_S)
            ended_before = (
                self._clock.wall() - self._retention_s - CLEANUP_SLACK_S
            )
            expired = [
                job
                for job, ended_job in self._ended_jobs.items()
                if ended_job.ended_at < ended_before
            ]
            for job in expired:
                self._ended_jobs.pop(job)
                for prefix in (job_table.JOB_PREFIX, job_table.PROGRESS_PREFIX):
                    self._table.put(
                        f'{prefix}{job}',
                        None,
                        max_delay_s=execution.PROGRESS_COMMIT_DELAY_S,
                    )
            if expired:
                _LOG.info(
                    'Expired job states removed.',
                    extra={'cell': self.shard, 'jobs': len(expired)},
                )
