"""Compares a worker's reports with what was ordered from it."""

from typing import Mapping, Protocol

from sardineproxy import logs
from sardineproxy.process.shards import (
    health,
    held_ends,
    ledger,
    runs,
    times,
    workers,
)

_LOG = logs.get_logger('worker')

_State = runs.RunState


class Events(Protocol):
    """Hears what becomes of runs."""

    def ended(self, run: runs.Run, how: workers.Ending) -> None:
        """A run ended as its worker says."""

    def lost(self, run: runs.Run, cause: str) -> None:
        """A run does not exist any more, or never will."""


class Orders(Protocol):
    """Stops runs."""

    def stop(self, run: runs.Run) -> None:
        """Order the stop of a run."""

    def stop_again(self, run: runs.Run) -> None:
        """Order the stop of a run once more."""


class Reports:
    """Keeps a worker's ledger true to the worker's reports."""

    def __init__(
        self,
        *,
        worker: str,
        ledger: ledger.Ledger,
        health: health.Health,
        events: Events,
        orders: Orders,
        cfg: times.CallTiming,
    ) -> None:
        """Start without a report."""
        self._worker = worker
        self._ledger = ledger
        self._health = health
        self._events = events
        self._orders = orders
        self._cfg = cfg

        self.held = held_ends.HeldEnds()

    def take(
        self,
        look: workers.Look,
        report: workers.Report,
        *,
        asked_at: float,
        now: float,
    ) -> list[workers.Running]:
        """Use a report; return the runs that this process did not order."""
        self._take_ends(report, now)
        listed = {found.task: found for found in report.running}
        self._take_running(listed, now)
        if report.is_whole:
            self._drop_absent(look, listed, asked_at)
        return self._ledger.list_unknown(listed)

    def _take_ends(self, report: workers.Report, now: float) -> None:
        for end in report.ended:
            if end.number <= self.held.seen:
                continue
            self.held.seen = end.number
            self._ledger.unknown.pop(end.task, None)
            run = self._ledger.find(end.task, end.run)
            if run is None or run.batch.stored:
                self.held.hold(end, now)
            if run is None:
                continue
            self._ledger.release(run)
            self._health.ended(run, end.how, now)
            self._events.ended(run, end.how)

    def _take_running(
        self, listed: Mapping[workers.TaskName, workers.Running], now: float
    ) -> None:
        for task, found in listed.items():
            run = self._ledger.find(task, found.run)
            if run is None:
                continue
            run.note_running(now)
            self._note_progress(run, found.percent, now)
            if run.withdrawn:
                run.withdrawn = False
                self._orders.stop(run)
            self._repeat_stop(run, now)

    def _note_progress(self, run: runs.Run, percent: float, now: float) -> None:
        """Stop a run that stands still, so that it starts elsewhere."""
        if percent > run.percent or not run.progress_at:
            run.percent = percent
            run.progress_at = now
            self._health.progressed(run, now)
            return
        still_s = now - run.progress_at
        bound_s = self._cfg.standstill_s + (
            self._cfg.standstill_share * run.work_s / self._health.speed
        )
        if run.state is not _State.RUNNING or still_s < bound_s:
            return
        _LOG.warning(
            'Run stands still.',
            extra={
                'worker': self._worker,
                'job': run.batch.job,
                'task': run.task,
                'run': run.number,
                'percent': percent,
                'still_s': round(still_s, 3),
                'bound_s': round(bound_s, 3),
            },
        )
        self._health.stood_still(now)
        self._orders.stop(run)

    def _repeat_stop(self, run: runs.Run, now: float) -> None:
        """Repeat a stop that had no effect."""
        is_due = now - run.stop_at > self._cfg.stop_retry_s
        if run.state is _State.STOPPING and is_due:
            run.stop_at = now
            self._orders.stop_again(run)

    def _drop_absent(
        self,
        look: workers.Look,
        listed: Mapping[workers.TaskName, workers.Running],
        asked_at: float,
    ) -> None:
        """Give up runs that are not listed and cannot start any more.

        What was known before the look was sent must show in its answer.
        """
        for run in list(self._ledger.runs.values()):
            found = listed.get(run.task)
            if found is not None and found.run == run.number:
                continue
            was_running = 0 < run.started_at < asked_at
            was_stopped = 0 < run.stopped_at < asked_at
            cannot_start = (
                run.state is _State.DOUBTFUL and run.fence < look.fence
            )
            if was_running or was_stopped or cannot_start:
                self._ledger.release(run)
                self._events.lost(run, 'not listed by its worker')
