"""Ends of stored jobs' tasks between workers and the keepers of the jobs."""

import types
from typing import Mapping, Protocol

from sardineproxy import clock, ids
from sardineproxy.connection import link, messages
from sardineproxy.process.shards import agent, runs, takeover, times, workers
from sardineproxy.process.membership import loaded_shards
from sardineproxy.request import jobs


class Homes(Protocol):
    """Knows where stored jobs are kept."""

    def kept(self, job: ids.JobId) -> loaded_shards.LoadedShard | None:
        """Return who keeps a job, and has asked for its tasks.

        None while there may be a keeper that has not asked yet.
        """

    def keeper_of(self, job: ids.JobId) -> link.Link | None:
        """Return the link to a job's keeper."""


class StoredEnds:
    """Tells keepers of ends, and workers when they are stored."""

    def __init__(
        self,
        *,
        shard: ids.ShardId,
        agents: Mapping[ids.WorkerId, agent.Agent],
        homes: Homes,
        takeover: takeover.Takeover,
        clock: clock.Clock,
        cfg: times.ShardTiming,
    ) -> None:
        """Begin with a cell that is owned from now on."""
        self._shard = shard
        self._agents = agents
        self._homes = homes
        self._takeover = takeover
        self._clock = clock
        self._cfg = cfg
        self._opened_at = clock.now()

    def claim(self, run: runs.Run) -> None:
        """Note that the keeper of a run's job is told of the run's end."""
        if run.batch.stored and run.batch.link is not None:
            self._agents[run.worker].held.claim(
                run.task, run.batch.link, self._clock.now()
            )

    def unclaim(self, lost: link.Link) -> None:
        """Note that the link to a keeper is lost."""
        for each in self._agents.values():
            each.held.unclaim(lost)

    def answer(
        self, batch: runs.Batch, source: link.Link, asked: messages.Submit
    ) -> dict[int, int]:
        """Tell a keeper the ends of its tasks that workers still list.

        Returns the tasks that go on, with the numbers of their next runs.
        """
        left = dict(asked.tasks)
        if not asked.stored:
            return left
        for index, number in asked.tasks:
            ends = [
                end
                for each in self._agents.values()
                for end in each.held.claim(
                    batch.task_name(index), source, self._clock.now()
                )
            ]
            for end in sorted(ends, key=lambda found: found.run):
                source.send(_ended(self._shard, end))
                is_news = end.run >= number
                if is_news or end.how is workers.Ending.DONE:
                    left.pop(index, None)
        return left

    def note(self, noted: messages.EndsNoted) -> None:
        """Let workers forget ends that are stored now."""
        for index, number in noted.ends:
            task = runs.task_name(noted.job, noted.step, index)
            for each in self._agents.values():
                if each.held.release(task, number):
                    each.acknowledge()

    def report(self, now: float) -> None:
        """Tell keepers of ends that they did not ask for.

        A keeper answers with ``EndsNoted`` once it has stored them, or if the
        job is not stored.
        """
        for each in self._agents.values():
            for end in each.held.unclaimed(self._claims_from, now):
                keeper = self._homes.keeper_of(runs.job_of(end.task))
                if keeper is not None:
                    each.held.claim(end.task, keeper, now)
                    keeper.send(_ended(self._shard, end))

    def is_abandoned(self, batch: runs.Batch, now: float) -> bool:
        """Tell whether nobody will ask for a batch without a coordinator."""
        since = batch.orphaned_at
        if batch.stored:
            kept = self._homes.kept(batch.job)
            if kept is None:
                return False
            since = max(since, kept.since)
        return now >= since + self._cfg.orphan_s

    def _claims_from(self, task: workers.TaskName, now: float) -> float | None:
        """Return from when on claims of a task's ends count, None for never.

        A keeper that is new asks for the tasks of its jobs first.
        """
        job = runs.job_of(task)
        kept = self._homes.kept(job)
        if kept is None or self._takeover.is_waiting_for(job):
            return None
        since = max(kept.since, self._opened_at)
        return kept.since if now >= since + self._cfg.adopt_s else None


_TASK_ENDS = types.MappingProxyType(
    {
        workers.Ending.DONE: jobs.TaskResult.DONE,
        workers.Ending.FAILED: jobs.TaskResult.FAILED,
    }
)


def _ended(shard: ids.ShardId, end: workers.End) -> messages.Ended:
    job, step, index = runs.split_task(end.task)
    return messages.Ended(
        shard=shard,
        job=job,
        step=step,
        index=index,
        run=end.run,
        how=_TASK_ENDS[end.how].value,
        stored=True,
    )
