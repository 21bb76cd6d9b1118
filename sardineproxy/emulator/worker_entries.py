"""Entries of emulated workers in the platform's store.

A worker writes its entry at intervals while it reaches the store, which removes
the entry after some intervals of silence. An entry may also be malformed, or
name another zone, although its worker goes on as before.
"""

import asyncio
import dataclasses
import math
import random
from typing import Mapping

import result

from sardineproxy import ids
from sardineproxy.process import store
from sardineproxy.process.shards import workers
from sardineproxy.standin import row_store, worker_model

TABLE = 'workers'

#: Interval at which a worker writes its entry, in seconds.
HEARTBEAT_S = 1.5

#: Age of an entry at which the store removes it, in seconds.
EXPIRY_S = 3 * HEARTBEAT_S

#: Interval at which the store looks for expired entries, in seconds.
_CHECK_S = 0.1

_MALFORMED = b'?'


class WorkerEntries:
    """Writes and decodes the entries of all workers."""

    def __init__(
        self,
        *,
        rows: row_store.RowStore,
        models: Mapping[str, worker_model.WorkerModel],
        rng: random.Random,
    ) -> None:
        """Create entries of workers that all reach the store."""
        self._rows = rows
        self._models = models
        self._next_write_at = {
            worker: rng.uniform(0, HEARTBEAT_S) for worker in models
        }
        self._written_at = dict.fromkeys(models, -math.inf)

        #: Workers without a path to the store.
        self.cut_off: set[str] = set()

        #: Workers whose entries are malformed.
        self.malformed: set[str] = set()

        #: Zones that entries name instead of the worker's own.
        self.zones: dict[str, ids.ZoneId] = {}

    async def run(self) -> None:
        """Write the entries, and remove those that have expired."""
        loop = asyncio.get_running_loop()
        for worker in self._models:
            self._write(worker, loop.time())
        while True:
            await asyncio.sleep(_CHECK_S)
            for worker, write_at in self._next_write_at.items():
                if loop.time() >= write_at:
                    self._next_write_at[worker] = loop.time() + HEARTBEAT_S
                    self._write(worker, loop.time())
                elif loop.time() >= self._written_at[worker] + EXPIRY_S:
                    self._rows.put(_row_key(worker), None)

    def write_soon(self, worker: str) -> None:
        """Let a worker that has started again write its entry at once."""
        self._next_write_at[worker] = 0

    def worker_id(self, row: store.Row) -> ids.WorkerId:
        """Return the worker of an entry."""
        return ids.WorkerId(row.key.partition('/')[2])

    def decode(self, row: store.Row) -> result.Result[workers.Worker, str]:
        """Return the worker that an entry describes."""
        if not row.body or row.body == _MALFORMED:
            return result.Err('not an entry')
        return result.Ok(
            dataclasses.replace(
                self._models[self.worker_id(row)].worker,
                zone=ids.ZoneId(row.body.decode()),
            )
        )

    def _write(self, worker: str, now: float) -> None:
        if worker in self.cut_off or not self._models[worker].is_up:
            return
        self._written_at[worker] = now
        zone = self.zones.get(worker, self._models[worker].worker.zone)
        body = _MALFORMED if worker in self.malformed else zone.encode()
        self._rows.put(_row_key(worker), body)


def _row_key(worker: str) -> str:
    return f'{TABLE}/{worker}'
