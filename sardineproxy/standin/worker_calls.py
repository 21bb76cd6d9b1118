"""Calls from leaders to modelled workers over an unreliable network."""

import asyncio
import enum
import random
from typing import Any, Callable

from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_model

#: Interval at which a waiting poll checks for new results, in seconds.
_POLL_STEP_S = 0.002


class CallFault(enum.Enum):
    """Outcome of one call."""

    DONE = 'done'
    REQUEST_LOST = 'request_lost'
    RESPONSE_LOST = 'answer_lost'

    #: No response in time; executed seconds later.
    LATE = 'late'
    REFUSED = 'refused'

    #: The call is executed and an unexpected exception is raised.
    RAISED = 'raised'


def draw_fault(rng: random.Random, fault_share: float) -> CallFault:
    """Return the outcome of a call; ``fault_share`` of the calls fail."""
    if rng.random() >= fault_share:
        return CallFault.DONE
    return rng.choice(
        (
            CallFault.REQUEST_LOST,
            CallFault.RESPONSE_LOST,
            CallFault.LATE,
            CallFault.REFUSED,
        )
    )


class FaultyWorkerApi:
    """Implements ``workers.WorkerApi`` for one leader."""

    def __init__(
        self,
        *,
        models: dict[str, worker_model.WorkerModel],
        clock: Any,
        fault_of: Callable[[str], CallFault] | None = None,
        delay_s: Callable[[], float] | None = None,
    ) -> None:
        self.models = models
        self.clock = clock
        self.fault_of = fault_of or (lambda _: CallFault.DONE)
        self.delay_s = delay_s or (lambda: 0.0005)
        self.late_s = 3.0
        self.calls: list[tuple[str, Any]] = []
        self.background: set[asyncio.Task[Any]] = set()

    async def start(
        self, worker: workers.Worker, order: workers.Order, *, timeout_s: float
    ) -> Any:
        self.calls.append(('start', order))
        return await self._call(
            'start',
            worker,
            lambda model, now: model.start(order, now),
            timeout_s,
        )

    async def stop(
        self,
        worker: workers.Worker,
        *,
        task: workers.TaskName,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> Any:
        self.calls.append(('stop', task))
        return await self._call(
            'stop',
            worker,
            lambda model, now: model.stop(task, run, fence, now),
            timeout_s,
        )

    async def poll(
        self, worker: workers.Worker, poll: workers.Poll, *, timeout_s: float
    ) -> Any:
        self.calls.append(('poll', poll))
        return await self._call(
            'poll',
            worker,
            lambda model, now: model.poll(poll, now),
            timeout_s,
            wait_s=poll.wait_s,
            acked=poll.acked,
        )

    async def _call(
        self,
        kind: str,
        worker: workers.Worker,
        call: Callable[[worker_model.WorkerModel, float], Any],
        timeout_s: float,
        wait_s: float = 0,
        acked: int = 0,
    ) -> Any:
        model = self.models[worker.worker]
        fault = self.fault_of(kind)
        if fault is CallFault.REFUSED:
            return workers.Unanswered(unsent=True, cause='refused')
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(self.delay_s())
                if not model.is_up or fault is CallFault.REQUEST_LOST:
                    await asyncio.sleep(timeout_s)
                if fault is CallFault.LATE:
                    self._call_later(model, call)
                    await asyncio.sleep(timeout_s)
                response = call(model, self.clock.now())
                if fault is CallFault.RAISED:
                    raise RuntimeError('unexpected')
                if fault is CallFault.RESPONSE_LOST:
                    await asyncio.sleep(timeout_s)
                if wait_s and isinstance(response, workers.Report):
                    response = await self._wait(model, call, wait_s, acked)
                await asyncio.sleep(self.delay_s())
                return response
        except TimeoutError:
            return workers.Unanswered(unsent=False, cause='no answer')

    async def _wait(
        self,
        model: worker_model.WorkerModel,
        call: Callable[[worker_model.WorkerModel, float], Any],
        wait_s: float,
        acked: int,
    ) -> Any:
        """Wait for a result; the fence of the poll is already in effect."""
        until = self.clock.now() + wait_s
        while self.clock.now() < until and model.is_up:
            model.advance(self.clock.now())
            if model.has_unacked_results(acked):
                break
            await asyncio.sleep(_POLL_STEP_S)
        return call(model, self.clock.now())

    def _call_later(
        self,
        model: worker_model.WorkerModel,
        call: Callable[[worker_model.WorkerModel, float], Any],
    ) -> None:
        task = asyncio.create_task(self._call_late(model, call))
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _call_late(
        self,
        model: worker_model.WorkerModel,
        call: Callable[[worker_model.WorkerModel, float], Any],
    ) -> None:
        """Execute a delayed call, which is lost if the worker restarts."""
        started_ms = model.worker.started_ms
        await asyncio.sleep(self.late_s)
        if model.is_up and model.worker.started_ms == started_ms:
            call(model, self.clock.now())
