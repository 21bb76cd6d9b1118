"""Handles clients' jobs at one node, from arrival to reply."""

import asyncio

from sardineproxy import clock, ids, logs
from sardineproxy.process import metrics
from sardineproxy.process.stored_jobs import job_service, job_manager, records
from sardineproxy.process.node import home_leader
from sardineproxy.request import active_jobs, coordinator, jobs, open_tasks
from sardineproxy.version import active_config, routes

#: Suggested retry delay of a refusal during shutdown, in seconds. It is short,
#: as other VMs can accept the job immediately.
DRAINING_RETRY_S = 1.0

#: Interval at which a job that waits for a leader checks for it, in seconds.
LEADER_CHECK_S = 0.01

_LOG = logs.get_logger('node')


class JobIntake:
    """Runs, stores and queries jobs.

    While the process is shutting down, refuses to run jobs that would not
    finish before its end.
    """

    def __init__(
        self,
        *,
        job_service: job_service.JobService,
        active_jobs: active_jobs.ActiveJobs,
        router: open_tasks.Router,
        versions: active_config.ActiveConfig,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        leader_wait_s: float,
    ) -> None:
        """Create an instance that registers jobs in ``active_jobs``.

        ``leader_wait_s`` seconds after the loss of a leader its runs have
        ended.
        """
        self._job_service = job_service
        self._active_jobs = active_jobs
        self._router = router
        self._versions = versions
        self._clock = clock
        self._metrics = metrics
        self.home_leader = home_leader.HomeLeader(wait_s=leader_wait_s)

        #: Local time at which the process ends, None unless it shuts down.
        self.shutdown_at: float | None = None

    async def run(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> jobs.Outcome:
        """Run a job and return its outcome within ``wait_s`` seconds."""
        now = self._clock.now()
        self._metrics.count('jobs_total')
        outcome = self._refuse(job, route, now)
        if outcome is None:
            outcome = await self._run(job, route, now, wait_s)
        outcome = self._active_jobs.verify(job.job_id, outcome)
        took_s = self._clock.now() - now
        kind = type(outcome).__name__
        self._metrics.count('jobs_answered_total', outcome=kind)
        self._metrics.observe('job_seconds', took_s, outcome=kind)
        _LOG.info(
            'Job finished.',
            extra={
                'job': job.job_id,
                'route': route.route,
                'version': self._versions.number,
                'outcome': kind,
                'detail': getattr(outcome, 'detail', ''),
                'tasks': sum(step.count for step in job.steps),
                'took_s': round(took_s, 4),
                'wait_s': wait_s,
            },
        )
        return outcome

    async def store(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> job_manager.JobReply:
        """Store a job in its home shard; wait at most ``wait_s`` seconds."""
        now = self._clock.now()
        reply = await self._job_service.store(
            records.StoredJob(
                job=job, route=route, accepted_at=self._clock.wall()
            ),
            wait_s,
        )
        self._record_event('Job handed in.', job.job_id, reply, now)
        return reply

    async def query(
        self, job: ids.JobId, wait_s: float, *, cancel: bool
    ) -> job_manager.JobReply:
        """Return a stored job's state, after cancelling it if ``cancel``.

        Waits at most ``wait_s`` seconds for the reply.
        """
        now = self._clock.now()
        reply = await self._job_service.query(job, wait_s, cancel=cancel)
        event = 'Job cancelled.' if cancel else 'State asked.'
        self._record_event(event, job, reply, now)
        return reply

    def _record_event(
        self,
        event: str,
        job: ids.JobId,
        reply: job_manager.JobReply,
        started_at: float,
    ) -> None:
        """Log a client's call about a stored job, and count it.

        ``event`` is the log message and also a label of the metric.
        """
        self._metrics.count(
            'stored_job_questions_total', question=event, answer=reply.value
        )
        _LOG.info(
            event,
            extra={
                'job': job,
                'answer': reply.value,
                'home': self._job_service.home_shard(job),
                'version': self._versions.number,
                'took_s': round(self._clock.now() - started_at, 4),
            },
        )

    def _refuse(
        self, job: jobs.Job, route: routes.Route, now: float
    ) -> jobs.Outcome | None:
        """Return a refusal if the process may end before the job, else None."""
        if self.shutdown_at is None:
            return None
        if now + route.time_limit_s(job.total_estimate_s) <= self.shutdown_at:
            return None
        return jobs.NotRun(
            detail='process ends before the job would',
            retry_after_s=DRAINING_RETRY_S,
        )

    async def _run(
        self, job: jobs.Job, route: routes.Route, now: float, wait_s: float
    ) -> jobs.Outcome:
        deadline = now + wait_s
        if self.shutdown_at is not None:
            deadline = min(deadline, self.shutdown_at)
        refusal = await self._wait_for_leader(
            min(deadline, now + route.time_limit_s(job.total_estimate_s))
        )
        if refusal is not None:
            return refusal
        return await self._active_jobs.run(
            coordinator.Coordinator(
                job=job,
                route=route,
                router=self._router,
                clock=self._clock,
                arrived_at=now,
                deadline=deadline,
            )
        )

    async def _wait_for_leader(self, until: float) -> jobs.Outcome | None:
        """Wait for a lost leader of the home shard before others are used.

        Returns a refusal if the wait lasts beyond ``until``.
        """
        while True:
            now = self._clock.now()
            remaining_s = self.home_leader.remaining_wait_s(now)
            if not remaining_s or self._router.default_shard() is None:
                return None
            if now >= until:
                return jobs.NotRun(
                    detail='no link to the leader of the shard',
                    retry_after_s=remaining_s,
                )
            await asyncio.sleep(LEADER_CHECK_S)
