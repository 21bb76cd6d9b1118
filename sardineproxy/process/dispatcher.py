"""Match waiting tasks with free slots."""

import asyncio
import random

from sardineproxy import clock, problems, verdicts
from sardineproxy.connection import endpoint as endpoint_conn
from sardineproxy.process import directory, slots
from sardineproxy.request import work


class Dispatcher:
    """Runs tasks on the slots that this process may use."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        rng: random.Random,
        directory: directory.Directory,
        slot_table: slots.SlotTable,
        client: endpoint_conn.EndpointClient,
    ) -> None:
        """Start with no waiting tasks."""
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._slots = slot_table
        self._client = client
        self._freed = asyncio.Condition()

    async def run(self, *, task: work.Task) -> work.Outcome:
        """Run the task once when a slot is free, and return its outcome."""
        ticket = await self._wait_for_slot(task)
        if ticket is None:
            return work.Refused(problem=_deadline_passed())
        vm = self._directory.endpoint(ticket.endpoint)
        try:
            if vm is None:
                return work.Refused(problem=_deadline_passed())
            return await self._client.attempt(task=task, vm=vm)
        finally:
            self._slots.release(ticket=ticket, now=self._clock.now())
            async with self._freed:
                self._freed.notify_all()

    async def _wait_for_slot(self, task: work.Task) -> slots.Ticket | None:
        async with self._freed:
            while True:
                now = self._clock.now()
                if now >= task.deadline:
                    return None
                free = self._slots.free_endpoints(
                    customer=task.customer, now=now
                )
                if free:
                    return self._slots.take(
                        endpoint=self._rng.choice(free),
                        customer=task.customer,
                        now=now,
                    )
                try:
                    await asyncio.wait_for(
                        self._freed.wait(), task.deadline - now
                    )
                except TimeoutError:
                    return None


def _deadline_passed() -> problems.Problem:
    return problems.Problem(
        code='deadline_passed',
        verdict=verdicts.Verdict.NOT_RUN,
        status=504,
        detail='The deadline passed before the task started.',
        retry_after_s=1,
    )
