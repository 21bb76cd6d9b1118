"""What a new owner of a cell takes over from the former one.

Runs of the former owner go on. Coordinators ask for their tasks again; runs
that none asks for are stopped.
"""

import dataclasses
from typing import Mapping

from sardineproxy import ids
from sardineproxy.connection import link, messages
from sardineproxy.process.cells import agent, runs, times, workers


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
        cfg: times.Cell,
        opened_at: float,
    ) -> None:
        """Begin when the cell is won; times are local, in seconds."""
        self._agents = agents
        self._cfg = cfg
        self._opened_at = opened_at
        self._waiting: list[Request] = []

        #: True once all workers are known that a former owner may have used.
        self.knows_workers = False

        #: True while runs of the former owner may be asked for.
        self.is_open = True

    def is_syncing(self, now: float) -> bool:
        """Tell whether questions must wait for reports of workers."""
        waited = now >= self._opened_at + self._cfg.sync_s
        return not waited and not self.knows_all_runs()

    def knows_all_runs(self) -> bool:
        """Tell whether all workers have reported to this owner."""
        return self.knows_workers and all(
            each.is_synced for each in self._agents.values()
        )

    def wait(self, source: link.Link, asked: messages.Submit) -> None:
        """Answer a question once the workers have reported."""
        self._waiting.append(Request(source=source, asked=asked))

    def forget(self, source: link.Link, job: ids.JobId | None = None) -> None:
        """Drop a coordinator's questions, or those for one job."""
        self._waiting = [
            each
            for each in self._waiting
            if each.source is not source or job not in {None, each.asked.job}
        ]

    def due(self, now: float) -> list[Request]:
        """Return the questions that can be answered now."""
        if not self._waiting or self.is_syncing(now):
            return []
        found = self._waiting
        self._waiting = []
        return found

    def tick(self, now: float) -> None:
        """Stop the runs that nobody has asked for in time."""
        if self.is_open and now >= self._opened_at + self._cfg.adopt_s:
            self.is_open = False
            for each in self._agents.values():
                each.stop_unknown()

    def adopt(
        self, batch: runs.Batch, index: int, now: float
    ) -> runs.Run | None:
        """Take over a task's run if a worker lists one."""
        name = runs.task_name(batch.job, batch.step, index)
        for each in self._agents.values():
            found = each.ledger.unknown.get(name)
            if found is None:
                continue
            run = runs.Run(
                task=name,
                number=found.run,
                batch=batch,
                index=index,
                worker=each.worker.worker,
                ordered_at=now,
            )
            each.adopt(run, now)
            return run
        return None

    def find_done(self, task: workers.TaskName) -> workers.End | None:
        """Return a task's end if a worker lists that it ended well."""
        for each in self._agents.values():
            end = each.ledger.foreign_ends.get(task)
            if end is not None and end.how is workers.Ending.DONE:
                return end
        return None
