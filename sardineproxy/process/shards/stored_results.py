"""Forwards results of stored jobs' tasks to the job managers."""

import types
from typing import Mapping, Protocol

from sardineproxy import clock, ids
from sardineproxy.connection import link, messages
from sardineproxy.process.shards import agent, runs, takeover, times, workers
from sardineproxy.process.membership import loaded_shards
from sardineproxy.request import jobs


class JobManagers(Protocol):
    """Finds the managers of stored jobs."""

    def find_manager(self, job: ids.JobId) -> loaded_shards.LoadedShard | None:
        """Return the loaded shard whose manager is responsible for a job.

        None while there may be a manager that has not submitted its tasks
        yet.
        """

    def manager_vm(self, home_shard: ids.ShardId) -> ids.VmId | None:
        """Return the VM that reports to manage a shard's jobs, None if none."""

    def manager_link(self, job: ids.JobId) -> link.Link | None:
        """Return the link to the manager of a job."""


class StoredResults:
    """Sends results to job managers and acknowledges the stored ones."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        agents: Mapping[ids.WorkerId, agent.Agent],
        job_managers: JobManagers,
        takeover: takeover.Takeover,
        clock: clock.Clock,
        cfg: times.ShardTiming,
    ) -> None:
        """Create an instance for a new leader of ``shard``."""
        self._shard = shard
        self._agents = agents
        self._job_managers = job_managers
        self._takeover = takeover
        self._clock = clock
        self._cfg = cfg
        self._leader_since = clock.now()

    def claim(self, run: runs.Run) -> None:
        """Record that the manager of a run's job receives the run's result."""
        if run.batch.stored and run.batch.link is not None:
            self._agents[run.worker].unacked.claim(
                run.task, run.batch.link, self._clock.now()
            )

    def release_claims(self, lost_link: link.Link) -> None:
        """Release the claims of a job manager whose link is lost."""
        for worker_agent in self._agents.values():
            worker_agent.unacked.release_claims(lost_link)

    def send_listed(
        self, batch: runs.Batch, source: link.Link, message: messages.Submit
    ) -> dict[int, int]:
        """Send a job manager the results of its tasks that workers list.

        Returns the unfinished tasks with the numbers of their next runs.
        """
        remaining = dict(message.tasks)
        if not message.stored:
            return remaining
        for index, run_number in message.tasks:
            finished_runs = [
                finished_run
                for worker_agent in self._agents.values()
                for finished_run in worker_agent.unacked.claim(
                    batch.task_name(index), source, self._clock.now()
                )
            ]
            for finished_run in sorted(
                finished_runs, key=lambda finished_run: finished_run.run
            ):
                source.send(make_run_ended(self._shard, finished_run))
                is_new = finished_run.run >= run_number
                if is_new or finished_run.result is workers.RunResult.DONE:
                    remaining.pop(index, None)
        return remaining

    def acknowledge(self, message: messages.ResultsStored) -> None:
        """Acknowledge stored results to their workers.

        If the task may have been started after such a result, the lease of the
        worker must expire before: only results that nobody acknowledged in time
        may be followed by a start.
        """
        for index, run_number in message.runs:
            task = runs.task_name(message.job, message.step, index)
            after_lapse = message.after_lapse or (
                task in self._takeover.started_in_doubt
            )
            for worker_agent in self._agents.values():
                worker_agent.release_result(
                    task, run_number, after_lapse=after_lapse
                )

    def send_unclaimed(self, now: float) -> None:
        """Send unclaimed results to the responsible job managers.

        A manager replies with ``ResultsStored`` once it has stored them, or if
        the job is not stored.
        """
        for worker_agent in self._agents.values():
            worker_agent.acknowledge_lapsed(now)
            for finished_run in worker_agent.unacked.unclaimed(
                self._claims_valid_from, now
            ):
                manager = self._job_managers.manager_link(
                    runs.job_of(finished_run.task)
                )
                if manager is not None:
                    worker_agent.unacked.claim(finished_run.task, manager, now)
                    manager.send(make_run_ended(self._shard, finished_run))

    def is_abandoned(self, batch: runs.Batch, now: float) -> bool:
        """Return whether a detached batch was not submitted again in time.

        For a stored job, the time counts from the loading of its home shard's
        jobs at the earliest. Its manager takes the tasks back some time after
        ``DETACHED_S``, so that they are dropped then in any case.
        """
        if now >= batch.detached_at + times.DETACHED_S:
            return True
        waiting_since = batch.detached_at
        if batch.stored:
            manager = self._job_managers.find_manager(batch.job)
            if manager is None:
                return False
            waiting_since = max(waiting_since, manager.since)
        return now >= waiting_since + self._cfg.orphan_s

    def _claims_valid_from(
        self, task: workers.TaskName, now: float
    ) -> float | None:
        """Return the time from which claims of a task's results are valid.

        None while no unclaimed result of the task may be sent: a new manager
        submits the tasks of its jobs first.
        """
        job = runs.job_of(task)
        manager = self._job_managers.find_manager(job)
        if manager is None or self._takeover.has_deferred(job):
            return None
        waiting_since = max(manager.since, self._leader_since)
        if now < waiting_since + self._cfg.adopt_s:
            return None
        return max(manager.since, now - self._cfg.result_claim_s)


#: Results that end a task or count as an attempt.
TASK_RESULTS = types.MappingProxyType(
    {
        workers.RunResult.DONE: jobs.TaskResult.DONE,
        workers.RunResult.FAILED: jobs.TaskResult.FAILED,
    }
)


def make_run_ended(
    shard: ids.ShardId, finished_run: workers.FinishedRun
) -> messages.RunEnded:
    """Return the message about a stored job's result that a worker lists."""
    job, step, index = runs.split_task(finished_run.task)
    return messages.RunEnded(
        shard=shard,
        job=job,
        step=step,
        index=index,
        run=finished_run.run,
        result=TASK_RESULTS[finished_run.result].value,
        stored=True,
    )
