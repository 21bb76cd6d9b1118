"""Takeover of a shard's runs by a new leader.

Runs that the former leader started continue. Coordinators submit their
tasks again to resume them; runs that no coordinator resumes are stopped.
"""

import dataclasses
from typing import Mapping

from sardineproxy import ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process.load import placement
from sardineproxy.process.shards import (
    agent,
    backlog,
    runs,
    times,
    workers,
)
from sardineproxy.request import jobs

_LOG = logs.get_logger('cell')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeferredSubmit:
    """A resumed submission that waits for reports of workers."""

    source: link.Link
    submit: messages.Submit


class Takeover:
    """Adopts the runs that the former leader started."""

    def __init__(
        self,
        *,
        agents: Mapping[ids.WorkerId, agent.Agent],
        backlog: backlog.Backlog,
        cfg: times.ShardTiming,
        leader_since: float,
    ) -> None:
        """Start a takeover; ``leader_since`` is local time, in seconds."""
        self._agents = agents
        self._backlog = backlog
        self._cfg = cfg
        self._leader_since = leader_since
        self._deferred: list[DeferredSubmit] = []

        #: True once all workers are listed that were in the platform's list
        #: when this process became leader.
        self.is_worker_list_complete = False

        #: True while the list is read from a healthy store.
        self.is_list_expected = False

        #: Whether workers that are not known may have runs of the former leader.
        self.may_have_unlisted_runs = False

        #: Tasks that were started although workers which have not reported may
        #: have a result of them.
        self.started_in_doubt: set[workers.TaskName] = set()

        #: True while runs of the former leader may be resumed.
        self.accepts_resumes = True

        #: Local time until which that is the case, in seconds.
        self._adopt_until = leader_since + cfg.adopt_s

    def must_defer(self, message: messages.Submit, now: float) -> bool:
        """Return whether a submission must wait for reports of workers.

        A stored job waits until every run of the former leader is either
        reported or has certainly ended.
        """
        if self.are_all_runs_reported(now):
            return False
        if message.stored:
            return not (
                self.is_worker_list_complete and self.have_all_ended(now)
            )
        return now < self._reports_due_at()

    def limit_adoption(self, until: float) -> None:
        """Accept no resumes after a local time, in seconds.

        Coordinators that know of the new leader have resumed their jobs after
        ``sync_s``.
        """
        self._adopt_until = max(
            min(self._adopt_until, until),
            self._leader_since + self._cfg.sync_s,
        )

    def have_all_ended(self, now: float) -> bool:
        """Return whether no run exists on a worker that has not reported."""
        return now >= self._leader_since + self._cfg.former_runs_s

    def are_all_workers_known(self, now: float) -> bool:
        """Return whether runs exist on no other workers."""
        if not self.is_worker_list_complete:
            return False
        return not self.may_have_unlisted_runs or self.have_all_ended(now)

    def are_all_runs_reported(self, now: float) -> bool:
        """Return whether all workers have reported to this leader."""
        return self.are_all_workers_known(now) and all(
            worker_agent.is_synced for worker_agent in self._agents.values()
        )

    def defer(self, source: link.Link, message: messages.Submit) -> None:
        """Defer a submission until the workers have reported."""
        self._deferred.append(DeferredSubmit(source=source, submit=message))

    def has_deferred(self, job: ids.JobId) -> bool:
        """Return whether a submission of a job is deferred."""
        return any(deferred.submit.job == job for deferred in self._deferred)

    def discard(self, source: link.Link, job: ids.JobId | None = None) -> None:
        """Discard a coordinator's deferred submissions, or those of one job."""
        self._deferred = [
            deferred
            for deferred in self._deferred
            if deferred.source is not source
            or job not in {None, deferred.submit.job}
        ]

    def pop_ready(self, now: float) -> list[DeferredSubmit]:
        """Remove and return the submissions that can be processed now."""
        ready: list[DeferredSubmit] = []
        remaining: list[DeferredSubmit] = []
        for deferred in self._deferred:
            must_wait = self.must_defer(deferred.submit, now)
            (remaining if must_wait else ready).append(deferred)
        self._deferred = remaining
        return ready

    def stop_unresumed(self, now: float) -> None:
        """Stop the runs that no coordinator has resumed in time."""
        if self.accepts_resumes and now >= self._adopt_until:
            self.accepts_resumes = False
            for worker_agent in self._agents.values():
                worker_agent.stop_unrequested()

    def resume(
        self, batch: runs.Batch, tasks: dict[int, int], now: float
    ) -> dict[int, int]:
        """Adopt the active runs of a batch and send the results of others.

        ``tasks`` maps task indices to the numbers of their next runs. Returns
        the entries of the tasks to start: those without a run or a result, or
        none if a worker that has not reported may still run them.
        """
        missing = {
            index: run_number
            for index, run_number in tasks.items()
            if not self._adopt(batch, index, now)
        }
        # An isolated leader extends the leases of jobs that are not stored.
        may_start_missing = batch.stored or (
            self.are_all_runs_reported(now) and not self.may_have_unlisted_runs
        )
        _LOG.info(
            'Job resumed.',
            extra={
                'job': batch.job,
                'adopted': sorted(batch.tasks),
                'missing': sorted(missing),
                'all_workers_known': may_start_missing,
            },
        )
        if may_start_missing:
            if self._may_have_unknown_results():
                self.started_in_doubt.update(map(batch.task_name, missing))
            return missing
        # The tasks may be running on a worker that has not reported.
        for index, run_number in missing.items():
            self._backlog.send_result(
                batch, index, run_number, jobs.TaskResult.LATE
            )
        return {}

    def adopt_active(
        self, batch: runs.Batch, tasks: dict[int, int], now: float
    ) -> dict[int, int]:
        """Adopt the active runs of tasks; return the other tasks."""
        if not self.accepts_resumes:
            return tasks
        return {
            index: run_number
            for index, run_number in tasks.items()
            if not self._adopt_active(batch, index, now)
        }

    def _may_have_unknown_results(self) -> bool:
        """Return whether workers that have not reported may have results."""
        return (
            self.may_have_unlisted_runs
            or not self.is_worker_list_complete
            or any(
                not worker_agent.has_reported
                for worker_agent in self._agents.values()
            )
        )

    def _reports_due_at(self) -> float:
        """Return until when jobs that are not stored wait for reports."""
        if self.is_list_expected and not self.is_worker_list_complete:
            # The runs that they can adopt are stopped from then on.
            return self._adopt_until
        return self._leader_since + self._cfg.sync_s

    def _adopt(self, batch: runs.Batch, index: int, now: float) -> bool:
        """Adopt a task's run or send its result; return whether one exists."""
        if self._adopt_active(batch, index, now):
            return True
        finished_run = self._find_done_run(batch.task_name(index))
        if finished_run is not None:
            self._backlog.send_result(
                batch, index, finished_run.run, jobs.TaskResult.DONE
            )
        return finished_run is not None

    def _adopt_active(self, batch: runs.Batch, index: int, now: float) -> bool:
        """Adopt a task's active run; return whether one exists."""
        name = batch.task_name(index)
        for worker_agent in self._agents.values():
            if name in worker_agent.ledger.unrequested:
                run = self._adopt_run(worker_agent, batch, index, now)
                batch.add_running(index, run)
                batch.started = True
                return True
        return False

    def _adopt_run(
        self,
        worker_agent: agent.Agent,
        batch: runs.Batch,
        index: int,
        now: float,
    ) -> runs.Run:
        name = batch.task_name(index)
        run = runs.Run(
            task=name,
            number=worker_agent.ledger.unrequested[name].run,
            batch=batch,
            index=index,
            worker=worker_agent.worker.worker,
            expected_s=batch.expected_s
            * placement.distance_penalty(
                batch, worker_agent, self._cfg.distance_factor
            ),
            ordered_at=now,
        )
        worker_agent.adopt(run, now)
        self._backlog.live_runs[name] = run
        return run

    def _find_done_run(
        self, task: workers.TaskName
    ) -> workers.FinishedRun | None:
        """Return a successful run of a task that a worker still lists."""
        for worker_agent in self._agents.values():
            finished_run = worker_agent.unacked.find_done(task)
            if finished_run is not None:
                return finished_run
        return None
