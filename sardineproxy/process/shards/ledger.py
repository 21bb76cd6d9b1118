"""Runs that may exist on one worker, and its remaining capacity."""

from typing import Mapping

from sardineproxy.process.shards import runs, workers
from sardineproxy.request import jobs


class Ledger:
    """Runs on one worker, started by this process or by another one."""

    def __init__(self, *, capacity: jobs.Resources) -> None:
        """Create a ledger without runs."""
        self.runs: dict[workers.TaskName, runs.Run] = {}

        #: Runs that were started by another process, by task.
        self.unrequested: dict[workers.TaskName, workers.ActiveRun] = {}

        #: Capacity that no run of this process occupies.
        self.free_capacity = capacity

    @property
    def is_empty(self) -> bool:
        """Return whether no run can exist."""
        return not self.runs and not self.unrequested

    @property
    def has_stored_runs(self) -> bool:
        """Return whether a run of a stored job may exist."""
        return any(run.batch.stored for run in self.runs.values())

    def add(self, run: runs.Run) -> None:
        """Add a run and reserve its capacity."""
        self.runs[run.task] = run
        self.free_capacity = self.free_capacity.minus(run.batch.resources)

    def remove(self, run: runs.Run) -> None:
        """Remove a run that no longer exists and free its capacity."""
        self.runs.pop(run.task)
        self.free_capacity = self.free_capacity.plus(run.batch.resources)

    def resize(
        self, old_capacity: jobs.Resources, new_capacity: jobs.Resources
    ) -> None:
        """Apply a change of the worker's total capacity."""
        self.free_capacity = new_capacity.minus(
            old_capacity.minus(self.free_capacity)
        )

    def find(self, task: workers.TaskName, run_number: int) -> runs.Run | None:
        """Return a run that this process started, None if it is not found."""
        run = self.runs.get(task)
        return run if run is not None and run.number == run_number else None

    def count_tasks(self, batch: runs.Batch) -> int:
        """Return the number of a batch's tasks with possible runs here."""
        prefix = batch.task_prefix
        started_count = sum(
            run.batch.key == batch.key for run in self.runs.values()
        )
        return started_count + sum(
            task.startswith(prefix) for task in self.unrequested
        )

    def update_unrequested(
        self, listed: Mapping[workers.TaskName, workers.ActiveRun]
    ) -> list[workers.ActiveRun]:
        """Update and return the listed runs of other processes."""
        self.unrequested = {
            task: active_run
            for task, active_run in listed.items()
            if self.find(task, active_run.run) is None
        }
        return list(self.unrequested.values())
