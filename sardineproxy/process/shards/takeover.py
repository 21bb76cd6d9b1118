"""What a new owner of a cell takes over from the former one.

Runs of the former owner go on. Coordinators ask for their tasks again; runs
that none asks for are stopped.
"""

import dataclasses
from typing import Mapping

from sardineproxy import ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process.shards import (
    agent,
    backlog,
    placement,
    runs,
    times,
    workers,
)
from sardineproxy.request import jobs

_LOG = logs.get_logger('cell')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A coordinator's question for its tasks."""

    source: link.Link
    asked: messages.Submit


class Takeover:
    """Runs and questions that are older than this owner."""

    def __init__(
        self,
        *,
        agents: Mapping[ids.WorkerId, agent.Agent],
        backlog: backlog.Backlog,
        cfg: times.ShardTiming,
        opened_at: float,
    ) -> None:
        """Begin when the cell is won; times are local, in seconds."""
        self._agents = agents
        self._backlog = backlog
        self._cfg = cfg
        self._opened_at = opened_at
        self._waiting: list[Request] = []

        #: True once all workers are known that a former owner may have used.
        self.knows_workers = False

        #: True while runs of the former owner may be asked for.
        self.is_open = True

    def must_wait(self, asked: messages.Submit, now: float) -> bool:
        """Tell whether a question must wait for reports of workers.

        A stored job waits until no run of the former owner can exist that is
        not known.
        """
        if self.knows_all_runs():
            return False
        if asked.stored:
            may_lapse_at = self._opened_at + self._cfg.former_runs_s
            return not self.knows_workers or now < may_lapse_at
        return now < self._opened_at + self._cfg.sync_s

    def knows_all_runs(self) -> bool:
        """Tell whether all workers have reported to this owner."""
        return self.knows_workers and all(
            each.is_synced for each in self._agents.values()
        )

    def wait(self, source: link.Link, asked: messages.Submit) -> None:
        """Answer a question once the workers have reported."""
        self._waiting.append(Request(source=source, asked=asked))

    def is_waiting_for(self, job: ids.JobId) -> bool:
        """Tell whether a question for a job's tasks waits."""
        return any(each.asked.job == job for each in self._waiting)

    def forget(self, source: link.Link, job: ids.JobId | None = None) -> None:
        """Drop a coordinator's questions, or those for one job."""
        self._waiting = [
            each
            for each in self._waiting
            if each.source is not source or job not in {None, each.asked.job}
        ]

    def due(self, now: float) -> list[Request]:
        """Return the questions that can be answered now."""
        found: list[Request] = []
        left: list[Request] = []
        for each in self._waiting:
            waits = self.must_wait(each.asked, now)
            (left if waits else found).append(each)
        self._waiting = left
        return found

    def tick(self, now: float) -> None:
        """Stop the runs that nobody has asked for in time."""
        if self.is_open and now >= self._opened_at + self._cfg.adopt_s:
            self.is_open = False
            for each in self._agents.values():
                each.stop_unknown()

    def resume(
        self, batch: runs.Batch, tasks: dict[int, int], now: float
    ) -> dict[int, int]:
        """Put into a batch what still runs of it, and answer what ended.

        ``tasks`` gives the number of the next run of each task.

        Returns the tasks of which nothing is known and that may start anew,
        with the numbers of their next runs.
        """
        missing = {
            index: number
            for index, number in tasks.items()
            if not self._adopt(batch, index, now)
        }
        is_sure = batch.stored or self.knows_all_runs()
        _LOG.info(
            'Job resumed.',
            extra={
                'job': batch.job,
                'adopted': sorted(batch.tasks),
                'missing': sorted(missing),
                'all_workers_known': is_sure,
            },
        )
        if is_sure:
            return missing
        # They may run on a worker that has not reported.
        for index, number in missing.items():
            self._backlog.send_end(batch, index, number, jobs.TaskResult.LATE)
        return {}

    def _adopt(self, batch: runs.Batch, index: int, now: float) -> bool:
        """Take a task over, or answer for it, if a worker lists it."""
        name = batch.task_name(index)
        for each in self._agents.values():
            if name in each.ledger.unknown:
                run = self._take_run(each, batch, index, now)
                batch.tasks[index] = runs.Task(number=run.number + 1, run=run)
                batch.started = True
                return True
        end = self._find_done(name)
        if end is not None:
            self._backlog.send_end(batch, index, end.run, jobs.TaskResult.DONE)
        return end is not None

    def _take_run(
        self, owner: agent.Agent, batch: runs.Batch, index: int, now: float
    ) -> runs.Run:
        name = batch.task_name(index)
        run = runs.Run(
            task=name,
            number=owner.ledger.unknown[name].run,
            batch=batch,
            index=index,
            worker=owner.worker.worker,
            work_s=batch.work_s
            * placement.distance(batch, owner, self._cfg.distance_factor),
            ordered_at=now,
        )
        owner.adopt(run, now)
        self._backlog.live[name] = run
        return run

    def _find_done(self, task: workers.TaskName) -> workers.End | None:
        """Return a task's end if a worker lists that it ended well."""
        for each in self._agents.values():
            end = each.held.find_done(task)
            if end is not None:
                return end
        return None
