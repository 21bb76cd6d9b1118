"""Free capacity of a shard by class of worker, and what fits into it.

Load patterns: a burst of one kind of job, or the loss of the workers of one
kind, while workers of that kind are idle in other zones; and many VMs that
send tasks to the same gap. A single number of free places is too high for
tasks that need a label or a large worker, and too low for small ones.
"""

import collections
import dataclasses
import math
import sys
from typing import Iterable, Iterator, Sequence

from sardineproxy import ids
from sardineproxy.process.load import placement
from sardineproxy.process.shards import runs
from sardineproxy.request import jobs

#: Largest report of a shard, in bytes. A heartbeat must stay under 1 KB for
#: the free capacity of a shard.
MAX_REPORT_BYTES = 900

#: Most labels of a report from which labels are left out. 900 bytes hold some
#: 25 rows.
MAX_LABELS = 16

#: Bytes of an encoded row without its texts.
ROW_BYTES = 24


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Resolution:
    """What distinguishes the rows of a report."""

    #: Size classes of free capacity for each doubling of it.
    classes_per_doubling: int

    #: True if workers of different speed are in different rows.
    has_speeds: bool


#: The finest first.
_RESOLUTIONS = (
    _Resolution(
        classes_per_doubling=placement.CLASSES_PER_DOUBLING, has_speeds=True
    ),
    _Resolution(classes_per_doubling=1, has_speeds=True),
    _Resolution(classes_per_doubling=1, has_speeds=False),
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskClass:
    """What the tasks of a batch need."""

    service: ids.ServiceId

    #: Label that a worker must have, empty for none.
    label: str
    resources: jobs.Resources

    #: Largest number of the tasks on one worker, 0 for no limit.
    per_worker: int = 0

    #: Lowest speed of a worker.
    min_speed: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerClass:
    """Similar workers, and what each of them has free at least."""

    service: ids.ServiceId
    labels: tuple[str, ...]

    #: Speed of the slowest worker.
    speed: float
    free: jobs.Resources
    worker_count: int

    def per_worker(self, task: TaskClass) -> int:
        """Return how many tasks could start on each of the workers."""
        if self.service != task.service or self.speed < task.min_speed:
            return 0
        if task.label and task.label not in self.labels:
            return 0
        return count_fitting(task, self.free)


def task_class(batch: runs.Batch, min_speed: float = 0) -> TaskClass:
    """Return the class of a batch's tasks."""
    return TaskClass(
        service=batch.service,
        label=batch.required_label,
        resources=batch.resources,
        per_worker=batch.per_worker,
        min_speed=min_speed,
    )


def count_fitting(task: TaskClass, free: jobs.Resources) -> int:
    """Return how many tasks fit into the free capacity of one worker."""
    needed = task.resources
    if not needed.fits(free):
        return 0
    counts = [free.millicores // max(1, needed.millicores)]
    if needed.memory_mb:
        counts.append(free.memory_mb // needed.memory_mb)
    if needed.gpus:
        counts.append(free.gpus // needed.gpus)
    if task.per_worker:
        counts.append(task.per_worker)
    return min(counts)


def count_startable(
    classes: Iterable[WorkerClass], task: TaskClass, limit: int = sys.maxsize
) -> int:
    """Return how many tasks could start, at most ``limit``."""
    count = 0
    for worker_class in classes:
        count += worker_class.worker_count * worker_class.per_worker(task)
        if count >= limit:
            return limit
    return count


def reserve(
    classes: Iterable[WorkerClass], task: TaskClass, count: int
) -> tuple[WorkerClass, ...]:
    """Return what is left once ``count`` tasks have taken their capacity."""
    remaining: list[WorkerClass] = []
    for worker_class in classes:
        per_worker = worker_class.per_worker(task) if count > 0 else 0
        if not per_worker:
            remaining.append(worker_class)
            continue
        taken = min(count, per_worker * worker_class.worker_count)
        count -= taken
        full_workers, rest = divmod(taken, per_worker)
        remaining.extend(
            _split(worker_class, task, per_worker, full_workers, rest)
        )
    return tuple(remaining)


def summarize(
    candidates: Iterable[placement.Candidate], max_bytes: int = MAX_REPORT_BYTES
) -> tuple[WorkerClass, ...]:
    """Return the free capacity of workers in at most ``max_bytes``.

    If it would be larger, size and speed classes are merged, then the labels
    are left out that the fewest workers have, and last the classes with the
    least capacity. The result is never more than what is free.
    """
    rows = _merge(map(_to_row, candidates), _RESOLUTIONS[0])
    labels = _rank_labels(rows)
    while True:
        for resolution in _RESOLUTIONS:
            merged = _merge(rows, resolution)
            if _count_bytes(merged) <= max_bytes:
                return tuple(map(_to_class, merged))
        if not labels:
            break
        # Halves the labels, so that the number of passes is logarithmic.
        labels = labels[: min(MAX_LABELS, len(labels) // 2)]
        rows = _merge(_keep_labels(rows, labels), _RESOLUTIONS[0])
    return tuple(map(_to_class, _drop_smallest(merged, max_bytes)))


def _rank_labels(rows: Iterable['_Row']) -> list[str]:
    """Return the labels, those that the most workers have first."""
    counts: collections.Counter[str] = collections.Counter()
    for row in rows:
        counts.update(dict.fromkeys(row.labels, row.worker_count))
    return [label for label, _ in counts.most_common()]


def _drop_smallest(rows: list['_Row'], max_bytes: int) -> list['_Row']:
    """Return the rows with the most capacity, in at most ``max_bytes``."""
    rows.sort(key=lambda row: -row.worker_count * row.millicores)
    while _count_bytes(rows) > max_bytes:
        rows.pop()
    return rows


def _split(
    worker_class: WorkerClass,
    task: TaskClass,
    per_worker: int,
    full_workers: int,
    rest: int,
) -> Iterable[WorkerClass]:
    """Yield a class after ``full_workers`` and a partly used one took tasks."""
    untouched = worker_class.worker_count - full_workers - bool(rest)
    for worker_count, taken in (
        (untouched, 0),
        (full_workers, per_worker),
        (bool(rest), rest),
    ):
        if worker_count:
            yield dataclasses.replace(
                worker_class,
                worker_count=int(worker_count),
                free=worker_class.free.minus(_times(task.resources, taken)),
            )


def _times(resources: jobs.Resources, count: int) -> jobs.Resources:
    return jobs.Resources(
        millicores=resources.millicores * count,
        memory_mb=resources.memory_mb * count,
        gpus=resources.gpus * count,
    )


@dataclasses.dataclass(slots=True)
class _Row:
    """A class of workers while it is merged with others."""

    service: ids.ServiceId
    labels: tuple[str, ...]
    speed: float
    millicores: int
    memory_mb: int
    gpus: int
    worker_count: int


def _to_row(candidate: placement.Candidate) -> _Row:
    worker = candidate.worker
    free = candidate.ledger.free_capacity
    return _Row(
        worker.service,
        worker.labels,
        candidate.health.speed,
        free.millicores,
        free.memory_mb,
        free.gpus,
        1,
    )


def _to_class(row: _Row) -> WorkerClass:
    return WorkerClass(
        service=row.service,
        labels=row.labels,
        speed=row.speed,
        free=jobs.Resources(
            millicores=row.millicores, memory_mb=row.memory_mb, gpus=row.gpus
        ),
        worker_count=row.worker_count,
    )


def _merge(rows: Iterable[_Row], resolution: _Resolution) -> list[_Row]:
    """Merge the classes that agree in service, labels, speed and size."""
    merged: dict[tuple[object, ...], _Row] = {}
    for row in rows:
        speed_class = round(math.log2(max(row.speed, sys.float_info.min)))
        size = math.log2(max(1, row.millicores))
        key = (
            row.service,
            row.labels,
            speed_class if resolution.has_speeds else 0,
            int(resolution.classes_per_doubling * size),
        )
        known = merged.get(key)
        if known is None:
            merged[key] = _copy(row)
        else:
            _add(known, row)
    return list(merged.values())


def _copy(row: _Row) -> _Row:
    # copy.copy() takes ten times as long.
    return _Row(
        row.service,
        row.labels,
        row.speed,
        row.millicores,
        row.memory_mb,
        row.gpus,
        row.worker_count,
    )


def _add(known: _Row, row: _Row) -> None:
    """Add workers to a class; what they have free at least is kept."""
    known.speed = min(known.speed, row.speed)
    known.millicores = min(known.millicores, row.millicores)
    known.memory_mb = min(known.memory_mb, row.memory_mb)
    known.gpus = min(known.gpus, row.gpus)
    known.worker_count += row.worker_count


def _keep_labels(rows: Iterable[_Row], labels: Sequence[str]) -> Iterator[_Row]:
    kept = frozenset(labels)
    for row in rows:
        row.labels = tuple(label for label in row.labels if label in kept)
        yield row


def _count_bytes(rows: Sequence[_Row]) -> int:
    return sum(
        ROW_BYTES
        + len(row.service.encode())
        + sum(2 + len(label.encode()) for label in row.labels)
        for row in rows
    )
