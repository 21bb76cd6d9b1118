"""Decodes the entries that workers register in the platform's store."""

import json
from typing import Any, Mapping

import result

from sardineproxy import ids
from sardineproxy.platform import fields
from sardineproxy.process import store
from sardineproxy.process.shards import workers
from sardineproxy.request import jobs

#: Table in which workers register themselves, one row each, with the worker
#: id as its key.
TABLE = 'servers'

_STATES = {  # noqa: WPS407
    'ready': workers.WorkerState.READY,
    'draining': workers.WorkerState.DRAINING,
}


def parse_worker_id(row: store.Row) -> ids.WorkerId:
    """Return the id of the worker that a row belongs to."""
    return ids.WorkerId(row.key.partition('/')[2])


def decode(row: store.Row) -> result.Result[workers.Worker, str]:
    """Decode an entry; other programs may have written malformed ones."""
    try:
        document = json.loads(row.body or b'')
    except ValueError as exc:
        return result.Err(f'entry {row.key}: not JSON: {exc}')
    if not isinstance(document, dict):
        return result.Err(f'entry {row.key}: not a JSON object')
    try:
        return result.Ok(_to_worker(parse_worker_id(row), document))
    except (fields.FormatError, KeyError) as exc:
        return result.Err(f'entry {row.key}: {exc}')


def _to_worker(
    worker: ids.WorkerId, document: Mapping[str, Any]
) -> workers.Worker:
    labels = fields.get_list(document, 'labels')
    return workers.Worker(
        worker=worker,
        service=ids.ServiceId(fields.get_string(document, 'service')),
        address=fields.parse_address(fields.get_string(document, 'address')),
        zone=ids.ZoneId(fields.get_string(document, 'zone')),
        state=_STATES[fields.get_string(document, 'state')],
        started_ms=fields.get_integer(document, 'born', 0),
        capacity=decode_resources(fields.get_object(document, 'capacity')),
        labels=tuple(label for label in labels if isinstance(label, str)),
    )


def decode_resources(document: Mapping[str, Any]) -> jobs.Resources:
    """Decode resources; ``cpu`` is in thousandths of a core."""
    return jobs.Resources(
        millicores=fields.get_integer(document, 'cpu', 0),
        memory_mb=fields.get_integer(document, 'mem_mb', 0),
        gpus=fields.get_integer(document, 'gpu', 0),
    )
