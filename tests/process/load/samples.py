"""Workers and batches for tests of decisions."""

import dataclasses
from typing import Any

from sardineproxy import ids
from sardineproxy.process.shards import health, ledger, runs, workers
from tests.process.shards import samples


@dataclasses.dataclass(kw_only=True, eq=False)
class FakeWorker:
    """A worker as placement sees it."""

    worker: workers.Worker
    health: health.Health
    ledger: ledger.Ledger
    is_usable: bool = True

    def accepts_work(self, now: float) -> bool:
        return self.is_usable

    def occupy(self, batch: runs.Batch) -> None:
        """Occupy the capacity of one task."""
        free = self.ledger.free_capacity
        self.ledger.free_capacity = free.minus(batch.resources)


def make_worker(
    name: str = 'w0',
    *,
    millicores: int = 32_000,
    speed: float = 1.0,
    **changes: Any,
) -> FakeWorker:
    capacity = dataclasses.replace(
        samples.make_worker().capacity, millicores=millicores
    )
    estimated = health.Health()
    estimated.speed = speed
    return FakeWorker(
        worker=samples.make_worker(name, capacity=capacity, **changes),
        health=estimated,
        ledger=ledger.Ledger(capacity=capacity),
    )


def make_batch(
    job: str = 'j1', count: int = 1, now: float = 0, **changes: Any
) -> runs.Batch:
    """Return a batch of which all tasks wait."""
    batch = runs.make_batch(
        samples.make_submit(job, count, **changes),
        link=samples.FakeLink(),
        late_factor=3,
        now=now,
    )
    for index in range(count):
        batch.add_task(index, 1)
    return batch


def make_run(batch: runs.Batch, index: int = 0) -> runs.Run:
    return runs.Run(
        task=batch.task_name(index),
        number=1,
        batch=batch,
        index=index,
        worker=ids.WorkerId('w0'),
        expected_s=batch.expected_s,
        ordered_at=0,
    )
