"""Jobs in progress at this entry VM."""

import asyncio
import dataclasses

from sardineproxy import ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.request import coordinator, jobs, open_tasks

_LOG = logs.get_logger('job')


@dataclasses.dataclass(kw_only=True, slots=True)
class _Entry:
    coordinator: coordinator.Coordinator
    task: asyncio.Task[jobs.Outcome]

    #: Requests that wait for the outcome.
    waiting: int = 0


class ActiveJobs:
    """Runs one coordinator for each job, however often it is sent."""

    def __init__(self) -> None:
        """Start without jobs."""
        self._entries: dict[ids.JobId, _Entry] = {}

    def __len__(self) -> int:
        """Return the number of jobs in progress."""
        return len(self._entries)

    async def run(self, new: coordinator.Coordinator) -> jobs.Outcome:
        """Run a job, or join it if it is in progress."""
        job = new.job.job_id
        entry = self._entries.get(job)
        if entry is None:
            entry = _Entry(coordinator=new, task=asyncio.create_task(new.run()))
            self._entries[job] = entry
            entry.task.add_done_callback(lambda _: self._entries.pop(job))
        entry.waiting += 1
        try:
            return await asyncio.shield(entry.task)
        finally:
            entry.waiting -= 1
            if not entry.waiting and not entry.task.done():
                _LOG.info('Client left, job withdrawn.', extra={'job': job})
                entry.task.cancel()

    def deliver(self, message: messages.Ended | messages.Declined) -> None:
        """Hand a message to its job; one that is late is of no use."""
        entry = self._entries.get(message.job)
        if entry is not None:
            entry.coordinator.post(message)

    def notify_leader_lost(
        self, shard: ids.ShardId, former_leader: link.Link
    ) -> None:
        """Tell all jobs that a cell's owner is lost."""
        self._tell_all(
            open_tasks.LeaderLost(shard=shard, former_leader=former_leader)
        )

    def notify_leader_found(self, shard: ids.ShardId) -> None:
        """Tell all jobs that a cell has an owner."""
        self._tell_all(open_tasks.LeaderFound(shard=shard))

    def notify_stalled(self) -> None:
        """Tell all jobs that this process stood still."""
        self._tell_all(coordinator.Stalled())

    def count_unstarted(self, route: ids.RouteId) -> int:
        """Return how many jobs of a route are not known to have started."""
        return sum(
            entry.coordinator.route.route == route
            and not entry.coordinator.may_have_run
            for entry in self._entries.values()
        )

    def state(self) -> dict[str, object]:
        """Return the jobs for the state dump."""
        return {
            job: entry.coordinator.route.route
            for job, entry in self._entries.items()
        }

    def _tell_all(self, event: coordinator.Event) -> None:
        for entry in self._entries.values():
            entry.coordinator.post(event)
