"""What may run on one worker, and the room that it takes."""

from typing import Mapping

from sardineproxy.process.shards import runs, workers
from sardineproxy.request import jobs


class Ledger:
    """Runs that this process ordered, and those that others did."""

    def __init__(self, *, capacity: jobs.Resources) -> None:
        """Start without runs."""
        self.runs: dict[workers.TaskName, runs.Run] = {}

        #: Runs that were ordered by another process, by task.
        self.unknown: dict[workers.TaskName, workers.Running] = {}

        #: Room that nothing takes.
        self.free = capacity

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing may run."""
        return not self.runs and not self.unknown

    @property
    def has_stored(self) -> bool:
        """Tell whether a run of a stored job may exist."""
        return any(run.batch.stored for run in self.runs.values())

    def hold(self, run: runs.Run) -> None:
        """Take room for a run."""
        self.runs[run.task] = run
        self.free = self.free.minus(run.batch.resources)

    def release(self, run: runs.Run) -> None:
        """Free the room of a run that does not exist any more."""
        self.runs.pop(run.task)
        self.free = self.free.plus(run.batch.resources)

    def resize(self, before: jobs.Resources, after: jobs.Resources) -> None:
        """Use a changed capacity."""
        self.free = after.minus(before.minus(self.free))

    def find(self, task: workers.TaskName, number: int) -> runs.Run | None:
        """Return a run that this process ordered, by task and number."""
        run = self.runs.get(task)
        return run if run is not None and run.number == number else None

    def count_of(self, batch: runs.Batch) -> int:
        """Return how many tasks of a batch may run here."""
        prefix = batch.task_prefix
        mine = sum(run.batch.key == batch.key for run in self.runs.values())
        return mine + sum(task.startswith(prefix) for task in self.unknown)

    def list_unknown(
        self, listed: Mapping[workers.TaskName, workers.Running]
    ) -> list[workers.Running]:
        """Note which listed runs this process did not order."""
        self.unknown = {
            task: row
            for task, row in listed.items()
            if self.find(task, row.run) is None
        }
        return list(self.unknown.values())
