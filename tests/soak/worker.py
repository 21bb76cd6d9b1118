"""One worker of the soak test: a modelled worker behind a relay."""

import asyncio
import random
from typing import Any

from sardineproxy import ids
from sardineproxy.process.shards import workers
from sardineproxy.request import jobs
from sardineproxy.standin import relay_server, row_store, worker_model
from tests.platform import worker_server
from tests.process.shards import samples

#: Interval at which a worker writes its list entry, in seconds.
ENTRY_INTERVAL_S = 1.5

#: Run times of tasks with a run time factor of 1, in seconds.
RUN_TIMES_S = (0.06, 0.2, 0.9)

SERVICE = ids.ServiceId('service')


class Worker:
    """A worker, its HTTP server and its entry in the worker list."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Any,
        rows: row_store.RowStore,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self._clock = clock
        self._rows = rows

        #: Whether new runs fail, and whether they hang.
        self.fails = False
        self.hangs = False
        self.state = workers.WorkerState.READY
        self.model = worker_model.WorkerModel(
            worker=samples.make_worker(
                name, zone=ids.ZoneId(zone), service=SERVICE, started_ms=1000
            ),
            work_of=self._work_of,
            run_time_factor=rng.choice((0.6, 1.0, 1.4)),
            clock_rate=rng.uniform(0.98, 1),
            started_at=clock.now(),
        )
        self.server = worker_server.WorkerServer(model=self.model, clock=clock)
        self.relay: relay_server.Relay
        self._entry_task: asyncio.Task[None] | None = None

    async def listen(self) -> None:
        """Open the server and its relay, and start writing entries."""
        port = await self.server.listen()
        self.relay = relay_server.Relay(host='127.0.0.1', port=port)
        self.server.set_address(await self.relay.listen('127.0.0.1', 0))
        self._entry_task = asyncio.create_task(self._write_entries())

    def crash(self) -> None:
        """End all runs, and respond to no more calls."""
        self.model.crash(self._clock.now())

    def restart(self) -> None:
        """Restart under the same id, unless the worker is running."""
        if not self.model.is_up:
            self.model.restart(self._clock.now())
            self.state = workers.WorkerState.READY
            self.write_entry()

    def remove(self) -> None:
        """Crash, and remove the list entry permanently."""
        self.crash()
        if self._entry_task is not None:
            self._entry_task.cancel()
        self._rows.put(f'servers/{self.name}', None)

    def write_entry(self) -> None:
        """Write a list entry with the current state."""
        self.model.set_state(self.state)
        self._rows.put(f'servers/{self.name}', self.server.worker_entry())

    async def _write_entries(self) -> None:
        while True:
            if self.model.is_up:
                self.write_entry()
            await asyncio.sleep(ENTRY_INTERVAL_S)

    def _work_of(self, task: workers.TaskName, run: int) -> worker_model.Work:
        result: workers.RunResult | None = workers.RunResult.DONE
        if self.hangs:
            result = None
        elif self.fails:
            result = workers.RunResult.FAILED
        return worker_model.Work(
            resources=jobs.Resources(
                millicores=samples.TASK_MILLICORES, memory_mb=64, gpus=0
            ),
            work_s=0.01
            if self.fails
            else random.Random(task).choice(RUN_TIMES_S),
            result=result,
        )
