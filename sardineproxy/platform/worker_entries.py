"""Decodes the entries that workers register in the platform's store."""

from typing import Any, Mapping

import result

from sardineproxy import fields, ids, json_text
from sardineproxy.process import store
from sardineproxy.process.shards import workers
from sardineproxy.request import jobs

#: Table in which workers register themselves, one row each, with the worker
#: id as its key.
TABLE = 'servers'

#: Largest entry, in bytes: the platform's largest row.
MAX_ENTRY_BYTES = 65_536

#: Largest number of labels of a worker.
MAX_LABELS = 64

#: Largest resources of a worker or a task, in thousandths of a core, MB and
#: accelerators.
MAX_MILLICORES = 100_000_000
MAX_MEMORY_MB = 1_000_000_000
MAX_GPUS = 100_000

#: Latest start of a worker, in Unix milliseconds: the end of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999

_MS_PER_S = 1000

_STATES = {  # noqa: WPS407
    'ready': workers.WorkerState.READY,
    'draining': workers.WorkerState.DRAINING,
}


def parse_worker_id(row: store.Row) -> ids.WorkerId:
    """Return the id of the worker that a row belongs to."""
    return ids.WorkerId(row.key.partition('/')[2])


def decode(row: store.Row) -> result.Result[workers.Worker, str]:
    """Decode an entry; other programs may have written malformed ones."""
    decoded = json_text.decode_object(
        row.body or b'', max_bytes=MAX_ENTRY_BYTES
    )
    if isinstance(decoded, result.Err):
        return decoded
    try:
        return result.Ok(_to_worker(parse_worker_id(row), decoded.ok_value))
    except fields.FormatError as exc:
        return result.Err(str(exc))


def _to_worker(
    worker: ids.WorkerId, document: Mapping[str, Any]
) -> workers.Worker:
    if not worker.isprintable():
        raise fields.FormatError(
            f'id: expected printable text, found {fields.describe(worker)}'
        )
    labels = fields.get_list(document, 'labels', max_items=MAX_LABELS)
    return workers.Worker(
        worker=worker,
        service=ids.ServiceId(fields.get_string(document, 'service')),
        address=fields.parse_address(fields.get_string(document, 'address')),
        zone=ids.ZoneId(fields.get_string(document, 'zone')),
        state=fields.get_choice(document, 'state', _STATES),
        started_ms=fields.get_integer(document, 'born', 0, maximum=MAX_UNIX_MS),
        capacity=decode_resources(fields.get_object(document, 'capacity')),
        labels=tuple(label for label in labels if isinstance(label, str)),
        cold_left_s=fields.get_number(document, 'cold_left_ms', 0) / _MS_PER_S,
    )


def decode_resources(document: Mapping[str, Any]) -> jobs.Resources:
    """Decode resources; ``cpu`` is in thousandths of a core."""
    return jobs.Resources(
        millicores=fields.get_integer(
            document, 'cpu', 0, maximum=MAX_MILLICORES
        ),
        memory_mb=fields.get_integer(
            document, 'mem_mb', 0, maximum=MAX_MEMORY_MB
        ),
        gpus=fields.get_integer(document, 'gpu', 0, maximum=MAX_GPUS),
    )
