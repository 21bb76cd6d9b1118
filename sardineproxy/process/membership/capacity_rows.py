"""Free capacity of shards as rows of a heartbeat."""

from typing import Iterable, Mapping, Sequence

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.load import free_capacity
from sardineproxy.request import jobs

#: Speeds are sent in hundredths, rounded down.
SPEED_UNITS = 100

_Classes = tuple[free_capacity.WorkerClass, ...]

#: Free capacity of a shard, None if it accepts no tasks from other shards.
Report = _Classes | None


def encode(reports: Sequence[Report]) -> tuple[messages.FreeCapacity, ...]:
    """Return the rows of shards, which are in the order of their statuses.

    A shard that accepts tasks but has nothing free has one row of no workers.
    """
    return tuple(
        row
        for position, classes in enumerate(reports)
        if classes is not None
        for row in _encode_shard(position, classes)
    )


def decode(heartbeat: messages.Heartbeat) -> Mapping[ids.ShardId, Report]:
    """Return the free capacity of each shard that the sender leads."""
    rows: dict[int, list[free_capacity.WorkerClass]] = {}
    for row in heartbeat.free_capacity:
        worker_class = _decode_class(row)
        classes = rows.setdefault(row[0], [])
        if worker_class.worker_count:
            classes.append(worker_class)
    return {
        status[0]: tuple(rows[position]) if position in rows else None
        for position, status in enumerate(heartbeat.shards)
    }


def _encode_shard(
    position: int, classes: _Classes
) -> Iterable[messages.FreeCapacity]:
    if not classes:
        yield position, ids.ServiceId(''), (), 0, 0, 0, 0, 0  # noqa: WPS227
    for worker_class in classes:
        yield (  # noqa: WPS227
            position,
            worker_class.service,
            worker_class.labels,
            int(worker_class.speed * SPEED_UNITS),
            worker_class.free.millicores,
            worker_class.free.memory_mb,
            worker_class.free.gpus,
            worker_class.worker_count,
        )


def _decode_class(row: messages.FreeCapacity) -> free_capacity.WorkerClass:
    _, service, labels, speed, millicores, memory_mb, gpus, count = row  # noqa: WPS236
    return free_capacity.WorkerClass(
        service=service,
        labels=labels,
        speed=speed / SPEED_UNITS,
        free=jobs.Resources(
            millicores=millicores, memory_mb=memory_mb, gpus=gpus
        ),
        worker_count=count,
    )
