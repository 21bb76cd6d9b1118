"""Calls of one emulated VM to modelled workers."""

import asyncio
from typing import Any, Callable

from sardineproxy import clock
from sardineproxy.emulator import virtual_loop
from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_calls, worker_model


class WorkerAccess(worker_calls.FaultyWorkerApi):
    """Calls of a VM, which may be cut off from some workers.

    A call that was sent goes on while its process is frozen.
    """

    def __init__(
        self,
        *,
        models: dict[str, worker_model.WorkerModel],
        clock: clock.Clock,
        latency_s: float,
    ) -> None:
        """Create the access of a VM that reaches all workers."""
        super().__init__(models=models, clock=clock, delay_s=lambda: latency_s)
        self.unreachable: set[str] = set()

    async def _call(
        self,
        kind: str,
        worker: workers.Worker,
        call: Callable[[worker_model.WorkerModel, float], Any],
        timeout_s: float,
        wait_s: float = 0,
        acked: int = 0,
    ) -> Any:
        if worker.worker in self.unreachable:
            await asyncio.sleep(timeout_s)
            return workers.Unanswered(unsent=False, cause='cut off')
        sent = virtual_loop.spawn_outside(
            super()._call(kind, worker, call, timeout_s, wait_s, acked)
        )
        response = await sent
        if worker.worker in self.unreachable:
            return workers.Unanswered(unsent=False, cause='cut off')
        return response
