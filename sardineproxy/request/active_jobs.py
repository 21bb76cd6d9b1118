"""Jobs in progress at this entry VM."""

import asyncio
import dataclasses

from sardineproxy import clock, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.request import coordinator, jobs, open_tasks, recent_jobs

#: Time for which it is known that a job may have run here, in seconds. Delayed
#: duplicates of a request arrive seconds later.
RECENT_JOBS_S = 10.0

_LOG = logs.get_logger('job')


@dataclasses.dataclass(kw_only=True, slots=True)
class _ActiveJob:
    coordinator: coordinator.Coordinator
    task: asyncio.Task[jobs.Outcome]

    #: Number of requests that wait for the outcome.
    waiters: int = 0


class ActiveJobs:
    """Runs one coordinator per job; repeated requests share it."""

    def __init__(self, *, clock: clock.Clock) -> None:
        """Create an instance without jobs."""
        self._clock = clock
        self._jobs: dict[ids.JobId, _ActiveJob] = {}
        self._recent_jobs = recent_jobs.RecentJobs(retention_s=RECENT_JOBS_S)
        self._recent_jobs.lose_history(clock.now())

        #: The same for the jobs of zones that have lost all VMs: their clients
        #: submit them here again.
        self._jobs_of_zones = recent_jobs.RecentJobs(retention_s=RECENT_JOBS_S)
        self._is_zone_reachable = True

    def __len__(self) -> int:
        """Return the number of jobs in progress."""
        return len(self._jobs)

    async def run(
        self, new_coordinator: coordinator.Coordinator
    ) -> jobs.Outcome:
        """Run a job and return its outcome; join it if it is in progress.

        The job is withdrawn when its last waiting request is cancelled.
        """
        for recent in (self._recent_jobs, self._jobs_of_zones):
            recent.record_wait(new_coordinator.wait_s)
        job_id = new_coordinator.job.job_id
        active = self._jobs.get(job_id)
        if active is None:
            active = _ActiveJob(
                coordinator=new_coordinator,
                task=asyncio.create_task(new_coordinator.run()),
            )
            self._jobs[job_id] = active
            active.task.add_done_callback(
                lambda task: self._record_end(job_id, task)
            )
        active.waiters += 1
        try:
            outcome = await asyncio.shield(active.task)
        finally:
            active.waiters -= 1
            if not active.waiters and not active.task.done():
                _LOG.info(
                    'Client disconnected, job withdrawn.', extra={'job': job_id}
                )
                active.task.cancel()
        return self.verify(job_id, outcome)

    def verify(self, job: ids.JobId, outcome: jobs.Outcome) -> jobs.Outcome:
        """Return the outcome of a job as its client may be told.

        That it has not run holds for all requests for the job. Those through
        other VMs of the zone are known to the leader of its shard, those
        through other zones only here.
        """
        if not isinstance(outcome, jobs.NotRun) or (
            self._is_history_known(outcome) and job not in self._recent_jobs
        ):
            return outcome
        return jobs.GivenUp(
            detail=f'{outcome.detail}; an earlier request may have run it'
        )

    def deliver(
        self,
        source: link.Link,
        message: messages.RunEnded | messages.Declined,
    ) -> None:
        """Pass a message to its coordinator; drop it if the job has ended."""
        active = self._jobs.get(message.job)
        if active is not None:
            active.coordinator.post_event(
                open_tasks.FromLeader(source=source, message=message)
            )

    def notify_leader_lost(
        self, shard: ids.ShardId, former_leader: link.Link
    ) -> None:
        """Notify all coordinators that the leader of a shard is lost.

        The VM of the leader may have run jobs that are submitted here again.
        """
        self._recent_jobs.lose_history(self._clock.now())
        self._broadcast(
            open_tasks.LeaderLost(shard=shard, former_leader=former_leader)
        )

    def notify_zone_lost(self) -> None:
        """Record that clients of a zone without VMs may submit jobs here."""
        self._jobs_of_zones.lose_history(self._clock.now())

    def set_zone_reachable(self, *, is_reachable: bool) -> None:
        """Record whether the leader of this VM's home shard can be reached.

        Leaders of other shards know nothing of the jobs of its zone.
        """
        if is_reachable and not self._is_zone_reachable:
            self.notify_zone_lost()
        self._is_zone_reachable = is_reachable

    def notify_leader_found(self, shard: ids.ShardId) -> None:
        """Notify all coordinators that a shard has a leader."""
        self._broadcast(open_tasks.LeaderFound(shard=shard))

    def notify_stalled(self) -> None:
        """Notify all coordinators that this process was stalled."""
        self._broadcast(coordinator.Stalled())

    def count_unstarted(self, route: ids.RouteId) -> int:
        """Return the number of jobs of a route without a reported start."""
        return sum(
            active.coordinator.route.route == route
            and not active.coordinator.may_have_run
            for active in self._jobs.values()
        )

    def leader_links(self) -> set[link.Link]:
        """Return the links to the leaders that open tasks are assigned to."""
        return {
            leader
            for active in self._jobs.values()
            for leader in active.coordinator.leader_links()
        }

    def state(self) -> dict[str, object]:
        """Return the routes of the jobs, for the state dump."""
        return {
            job_id: active.coordinator.route.route
            for job_id, active in self._jobs.items()
        }

    def _is_history_known(self, refusal: jobs.NotRun) -> bool:
        """Return whether earlier requests for a refused job are known."""
        if not self._is_zone_reachable:
            return False
        now = self._clock.now()
        if self._recent_jobs.is_complete(now):
            return True
        return refusal.is_confirmed and self._jobs_of_zones.is_complete(now)

    def _record_end(
        self, job: ids.JobId, task: asyncio.Task[jobs.Outcome]
    ) -> None:
        self._jobs.pop(job)
        now = self._clock.now()
        self._recent_jobs.expire(now)
        has_outcome = not task.cancelled() and task.exception() is None
        if not (has_outcome and isinstance(task.result(), jobs.NotRun)):
            self._recent_jobs.add(job, now)

    def _broadcast(self, event: coordinator.Event) -> None:
        for active in self._jobs.values():
            active.coordinator.post_event(event)
