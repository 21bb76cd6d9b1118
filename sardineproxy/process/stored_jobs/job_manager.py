"""All stored jobs of one cell, at the process that owns the cell."""

import asyncio
import collections
import enum
from typing import Iterable

import result

from sardineproxy import background, clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics, store
from sardineproxy.process.stored_jobs import execution, records, job_table
from sardineproxy.request import open_tasks

#: Most stored jobs of a cell that have not ended, as a bound on memory: some
#: 3 KB each.
MAX_OPEN_JOBS = 5000

#: An accepted job is on its way to the store after this time, in seconds.
ACCEPT_COMMIT_DELAY_S = 0.002

#: Longest wait for the store before a job is refused or said to be unknown,
#: in seconds. A commit takes 16 ms, a slow store 0.6 s.
STORE_TIMEOUT_S = 1.0

#: Wait of a question for a change of a job that runs, in seconds. Clients ask
#: as a job should end, and again a quarter of a second later; the end of a
#: run is known here up to a pause between looks after it.
RUNNING_QUERY_WAIT_S = 0.04

#: Wait of a question for the state of a job whose end is being stored, in
#: seconds. A commit takes 16 ms; in most cases the new state is told.
FINISHING_QUERY_WAIT_S = 0.1

#: States are kept this much longer than they are asked for, in seconds.
CLEANUP_SLACK_S = 10.0

#: Time between two searches for states that can be removed, in seconds.
CLEANUP_PERIOD_S = 5.0

_LOG = logs.get_logger('jobs')


class JobReply(enum.Enum):
    """What a keeper answers about a job."""

    #: The job is stored, now or since an earlier request.
    ACCEPTED = 'accepted'

    #: The job is not stored and never will be by this request.
    REFUSED = 'refused'

    #: Nobody knows the jobs of this cell at the moment; nothing was done.
    UNAVAILABLE = 'unavailable'

    #: It may be stored, or cancelled.
    UNKNOWN = 'unknown'

    #: No such job is stored.
    ABSENT = 'absent'
    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class JobManager:
    """Accepts, carries out and cancels the stored jobs of a cell."""

    def __init__(
        self,
        *,
        table: job_table.JobTable,
        router: execution.Router,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        retention_s: float,
    ) -> None:
        """Prepare; ``run`` takes the jobs over that are stored.

        States of ended jobs are kept for ``retention_s``.
        """
        self.shard = table.shard
        self._table = table
        self._router = router
        self._clock = clock
        self._metrics = metrics
        self._retention_s = retention_s
        self._open: dict[ids.JobId, execution.Execution] = {}
        self._finished: dict[ids.JobId, records.StoredJob] = {}
        self._storing: dict[ids.JobId, asyncio.Future[bool]] = {}
        self._tasks = background.Tasks()
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Tell whether all stored jobs are known and written only here."""
        return self._is_loaded and not self._table.is_superseded

    def start(self) -> None:
        """Take the stored jobs over, and keep the table written."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop writing; jobs and their runs go on with the next keeper."""
        await self._tasks.close()
        await self._table.close()

    def pending(self) -> dict[ids.RouteId, int]:
        """Return how many jobs of each route have not begun."""
        return collections.Counter(
            each.stored.route.route
            for each in self._open.values()
            if not each.has_begun
        )

    async def accept(self, stored: records.StoredJob) -> JobReply:
        """Store a job, unless it is stored already."""
        job = stored.job.job_id
        if not self.is_loaded:
            return JobReply.UNAVAILABLE
        if job in self._open or job in self._finished:
            return JobReply.ACCEPTED
        if job not in self._storing:
            if len(self._open) >= MAX_OPEN_JOBS:
                return JobReply.REFUSED
            self._storing[job] = self._store(stored)
        return await self._wait_stored(job, self._storing[job])

    async def query(self, job: ids.JobId) -> JobReply:
        """Return the state of a job as it is stored."""
        if not self.is_loaded:
            return JobReply.UNAVAILABLE
        running = self._open.get(job)
        if running is not None:
            return await self._query_execution(running)
        ended = self._finished.get(job)
        if ended is not None:
            return JobReply(ended.state.value)
        if job in self._storing:
            return JobReply.UNKNOWN
        return JobReply.ABSENT

    async def cancel(self, job: ids.JobId) -> JobReply:
        """Cancel a job that has not ended; return its state then."""
        running = self._open.get(job)
        if running is None:
            return await self.query(job)
        running.post_event(execution.CancelRequested())
        await asyncio.wait((running.finished,), timeout=STORE_TIMEOUT_S)
        if running.finished.done() and running.finished.result():
            return JobReply(running.state().value)
        return JobReply.UNKNOWN

    def handle_message(
        self,
        source: link.Link,
        message: messages.Ended | messages.Declined | messages.JobBegun,
    ) -> None:
        """Hand a message to its job."""
        running = self._open.get(message.job)
        if running is not None:
            running.post_event(message)
        elif isinstance(message, messages.Ended):
            # Nothing of the job will start any more, or it is not stored.
            if self.is_loaded:
                source.send(
                    messages.EndsNoted(
                        shard=message.shard,
                        job=message.job,
                        step=message.step,
                        ends=((message.index, message.run),),
                    )
                )

    def broadcast(
        self, event: open_tasks.LeaderLost | open_tasks.LeaderFound
    ) -> None:
        """Tell all jobs of a change of a cell's owner."""
        for each in self._open.values():
            each.post_event(event)

    def state(self, now: float) -> dict[str, object]:
        """Return what is kept, for the state dump."""
        return {
            'cell': self.shard,
            'loaded': self._is_loaded,
            'unstored_s': round(self._table.oldest_unstored_s(now), 3),
            'superseded': self._table.is_superseded,
            'open': {
                job: each.state().value for job, each in self._open.items()
            },
            'ended': len(self._finished),
        }

    # Internals.

    async def _query_execution(self, running: execution.Execution) -> JobReply:
        if running.state() is records.JobState.RUNNING:
            await asyncio.wait(
                (running.finished,), timeout=RUNNING_QUERY_WAIT_S
            )
        if running.is_finishing:
            await asyncio.wait(
                (running.finished,), timeout=FINISHING_QUERY_WAIT_S
            )
        return JobReply(running.state().value)

    async def _run(self) -> None:
        found = await self._table.open()
        if found is None:
            return
        self._load(found)
        self._tasks.spawn(self._clean_up())
        await self._table.run()

    def _load(self, found: Iterable[store.Row]) -> None:
        """Take over the jobs that are stored."""
        progress = {
            row.key.removeprefix(job_table.PROGRESS_PREFIX): row
            for row in found
            if row.key.startswith(job_table.PROGRESS_PREFIX)
        }
        for row in found:
            if row.key.startswith(job_table.JOB_PREFIX):
                name = row.key.removeprefix(job_table.JOB_PREFIX)
                self._load_job(row, progress.get(name))
        self._is_loaded = True
        _LOG.info(
            'Stored jobs taken over.',
            extra={
                'cell': self.shard,
                'epoch': self._table.epoch,
                'open': len(self._open),
                'ended': len(self._finished),
            },
        )

    def _load_job(self, row: store.Row, of_tasks: store.Row | None) -> None:
        decoded = records.decode_job(row.body or b'')
        if isinstance(decoded, result.Err):
            _LOG.error(
                'Stored job not understood.',
                extra={'key': row.key, 'cause': decoded.err_value},
            )
            return
        stored = decoded.ok_value
        if stored.state.is_final:
            self._finished[stored.job.job_id] = stored
            return
        progress = records.JobProgress()
        if of_tasks is not None:
            known = records.decode_progress(of_tasks.body or b'')
            if isinstance(known, result.Err):
                _LOG.error(
                    'Progress not understood.',
                    extra={'key': of_tasks.key, 'cause': known.err_value},
                )
                return
            progress = known.ok_value
        self._start_execution(stored, progress, resumed=True)

    def _start_execution(
        self,
        stored: records.StoredJob,
        progress: records.JobProgress,
        *,
        resumed: bool,
    ) -> None:
        started = execution.Execution(
            stored=stored,
            progress=progress,
            home_shard=self.shard,
            router=self._router,
            table=self._table,
            clock=self._clock,
            on_finished=self._record_finished,
            resumed=resumed,
        )
        self._open[stored.job.job_id] = started
        started.start()
        self._tasks.spawn(started.run())

    def _record_finished(self, ended: records.StoredJob) -> None:
        self._metrics.count('stored_jobs_ended_total', state=ended.state.value)
        self._metrics.observe(
            'stored_job_seconds',
            max(0, ended.ended_at - ended.accepted_at),
            state=ended.state.value,
        )
        self._open.pop(ended.job.job_id)
        self._finished[ended.job.job_id] = ended

    def _store(self, stored: records.StoredJob) -> asyncio.Future[bool]:
        job = stored.job.job_id
        done = self._table.put(
            f'{job_table.JOB_PREFIX}{job}',
            records.encode_job(stored),
            max_delay_s=ACCEPT_COMMIT_DELAY_S,
        )

        def begin(done: asyncio.Future[bool]) -> None:  # noqa: WPS430
            self._storing.pop(job, None)
            if not done.cancelled() and done.result():
                self._metrics.count('stored_jobs_total')
                self._start_execution(
                    stored, records.JobProgress(), resumed=False
                )

        done.add_done_callback(begin)
        return done

    async def _wait_stored(
        self, job: ids.JobId, done: asyncio.Future[bool]
    ) -> JobReply:
        await asyncio.wait((done,), timeout=STORE_TIMEOUT_S)
        if done.cancelled():
            return JobReply.REFUSED
        if done.done():
            # An owner that was replaced cannot tell what the store has.
            return JobReply.ACCEPTED if done.result() else JobReply.UNKNOWN
        if self._table.withdraw(f'{job_table.JOB_PREFIX}{job}'):
            return JobReply.REFUSED
        return JobReply.UNKNOWN

    async def _clean_up(self) -> None:
        """Remove the states of jobs that nobody asks for any more."""
        while True:
            await asyncio.sleep(CLEANUP_PERIOD_S)
            oldest = self._clock.wall() - self._retention_s - CLEANUP_SLACK_S
            old = [
                job
                for job, ended in self._finished.items()
                if ended.ended_at < oldest
            ]
            for job in old:
                self._finished.pop(job)
                for prefix in (job_table.JOB_PREFIX, job_table.PROGRESS_PREFIX):
                    self._table.put(
                        f'{prefix}{job}',
                        None,
                        max_delay_s=execution.PROGRESS_COMMIT_DELAY_S,
                    )
            if old:
                _LOG.info(
                    'States removed.',
                    extra={'cell': self.shard, 'jobs': len(old)},
                )
