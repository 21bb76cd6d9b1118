"""What may run on one worker, and the room that it takes."""

from typing import Mapping

from sardineproxy.process.cells import runs, workers
from sardineproxy.request import jobs


class Ledger:
    """Runs that this process ordered, and those that others did."""

    def __init__(self, *, capacity: jobs.Shape) -> None:
        """Start without runs."""
        self.runs: dict[workers.TaskName, runs.Run] = {}

        #: Runs that were ordered by another process, by task.
        self.unknown: dict[workers.TaskName, workers.Running] = {}

        #: Ends of such runs, kept while coordinators may ask for them.
        self.foreign_ends: dict[workers.TaskName, workers.End] = {}
        self.keeps_foreign_ends = True

        #: Room that nothing takes.
        self.free = capacity

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing may run."""
        return not self.runs and not self.unknown

    def hold(self, run: runs.Run) -> None:
        """Take room for a run."""
        self.runs[run.task] = run
        self.free = self.free.minus(run.batch.shape)

    def release(self, run: runs.Run) -> None:
        """Free the room of a run that does not exist any more."""
        self.runs.pop(run.task)
        self.free = self.free.plus(run.batch.shape)

    def resize(self, before: jobs.Shape, after: jobs.Shape) -> None:
        """Use a changed capacity."""
        self.free = after.minus(before.minus(self.free))

    def find(self, task: workers.TaskName, number: int) -> runs.Run | None:
        """Return a run that this process ordered, by task and number."""
        run = self.runs.get(task)
        return run if run is not None and run.number == number else None

    def end_foreign(self, end: workers.End) -> None:
        """Note the end of a run that another process ordered."""
        self.unknown.pop(end.task, None)
        if self.keeps_foreign_ends:
            self.foreign_ends[end.task] = end

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

    def drop_foreign(self) -> None:
        """Forget the ends of other processes' runs; keep no more of them."""
        self.keeps_foreign_ends = False
        self.foreign_ends.clear()
