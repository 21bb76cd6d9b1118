"""Reconciles the expected runs of a worker with its reports."""

from typing import Mapping, Protocol

from sardineproxy import logs
from sardineproxy.process.shards import (
    health,
    unacked_results,
    ledger,
    runs,
    times,
    workers,
)

_LOG = logs.get_logger('worker')

_State = runs.RunState


class Events(Protocol):
    """Receives the results and losses of runs."""

    def run_finished(self, run: runs.Run, result: workers.RunResult) -> None:
        """Handle a run that its worker reports as finished."""

    def run_lost(self, run: runs.Run, cause: str) -> None:
        """Handle a run that no longer exists, or never will."""


class RunStopper(Protocol):
    """Stops runs."""

    def stop(self, run: runs.Run) -> None:
        """Stop a run."""

    def retry_stop(self, run: runs.Run) -> None:
        """Send the stop of a run again."""


class Reconciler:
    """Updates a worker's ledger and health from its reports."""

    def __init__(
        self,
        *,
        worker: str,
        ledger: ledger.Ledger,
        health: health.Health,
        events: Events,
        stopper: RunStopper,
        cfg: times.CallTiming,
    ) -> None:
        """Create a reconciler for one worker."""
        self._worker = worker
        self._ledger = ledger
        self._health = health
        self._events = events
        self._stopper = stopper
        self._cfg = cfg

        self.unacked = unacked_results.UnackedResults()

    def apply(
        self,
        poll: workers.Poll,
        report: workers.Report,
        *,
        sent_at: float,
        now: float,
    ) -> list[workers.ActiveRun]:
        """Apply a report; return the runs that this process did not start.

        ``sent_at`` is the local time of the poll, in seconds.
        """
        self._apply_finished(report, now)
        listed = {active_run.task: active_run for active_run in report.active}
        self._apply_active(listed, now)
        if report.is_complete:
            self._drop_absent(poll, listed, sent_at)
        return self._ledger.update_unrequested(listed)

    def _apply_finished(self, report: workers.Report, now: float) -> None:
        for finished_run in report.finished:
            if finished_run.position <= self.unacked.last_position:
                continue
            self.unacked.last_position = finished_run.position
            self._ledger.unrequested.pop(finished_run.task, None)
            run = self._ledger.find(finished_run.task, finished_run.run)
            if run is None:
                self._keep_unknown(finished_run, now)
                continue
            if run.batch.stored:
                self.unacked.add(finished_run, now)
            self._ledger.remove(run)
            self._health.record_result(run, finished_run.result, now)
            self._events.run_finished(run, finished_run.result)

    def _keep_unknown(
        self, finished_run: workers.FinishedRun, now: float
    ) -> None:
        """Keep the result of a run that this process did not start.

        The manager of a stored job may ask for it. A name that is not one of
        this system belongs to no job, so that its result may be acknowledged.
        """
        if runs.is_task_name(finished_run.task):
            self.unacked.add(finished_run, now)
        else:
            _LOG.error(
                'Worker lists the result of an unknown kind of task.',
                extra={'worker': self._worker, 'task': finished_run.task[:80]},
            )

    def _apply_active(
        self, listed: Mapping[workers.TaskName, workers.ActiveRun], now: float
    ) -> None:
        for task, active_run in listed.items():
            run = self._ledger.find(task, active_run.run)
            if run is None:
                continue
            run.mark_running(now)
            self._track_progress(run, active_run.percent, now)
            if run.stop_when_running:
                run.stop_when_running = False
                self._stopper.stop(run)
            self._retry_ineffective_stop(run, now)

    def _track_progress(
        self, run: runs.Run, percent: float, now: float
    ) -> None:
        """Record progress, or stop a run that makes none.

        The worker is ejected then, so that the task restarts on another one.
        """
        if percent > run.percent or not run.progress_at:
            run.percent = percent
            run.progress_at = now
            self._health.record_progress(run, now)
            return
        stalled_s = now - run.progress_at
        stall_limit_s = self._cfg.standstill_s + (
            self._cfg.standstill_share * run.expected_s / self._health.speed
        )
        if run.state is not _State.RUNNING or stalled_s < stall_limit_s:
            return
        _LOG.warning(
            'Run makes no progress, stopping it.',
            extra={
                'worker': self._worker,
                'job': run.batch.job,
                'task': run.task,
                'run': run.number,
                'percent': percent,
                'still_s': round(stalled_s, 3),
                'bound_s': round(stall_limit_s, 3),
            },
        )
        self._health.record_stall(now)
        self._stopper.stop(run)

    def _retry_ineffective_stop(self, run: runs.Run, now: float) -> None:
        """Send a stop again if the run is still listed after it."""
        is_due = now - run.stop_sent_at > self._cfg.stop_retry_s
        if run.state is _State.STOPPING and is_due:
            run.stop_sent_at = now
            self._stopper.retry_stop(run)

    def _drop_absent(
        self,
        poll: workers.Poll,
        listed: Mapping[workers.TaskName, workers.ActiveRun],
        sent_at: float,
    ) -> None:
        """Drop unlisted runs that cannot start any more.

        A start or stop that was confirmed before the poll was sent must be
        reflected in the report. A start that is unconfirmed cannot be
        executed after the worker has seen the higher fence of the poll.
        """
        for run in list(self._ledger.runs.values()):
            active_run = listed.get(run.task)
            if active_run is not None and active_run.run == run.number:
                continue
            was_running = 0 < run.started_at < sent_at
            was_stopped = 0 < run.stop_accepted_at < sent_at
            cannot_start = (
                run.state is _State.UNCONFIRMED and run.fence < poll.fence
            )
            if was_running or was_stopped or cannot_start:
                self._ledger.remove(run)
                self._events.run_lost(run, 'not listed by its worker')
