"""Match waiting tasks with free slots."""

import asyncio
import dataclasses
import random
from typing import Mapping

import reactivex
from reactivex import subject

from sardineproxy import clock, ids, problems, verdicts
from sardineproxy.connection import endpoint as endpoint_conn
from sardineproxy.process import demand, directory, health, metrics, slots
from sardineproxy.request import work


#: Default of ``Dispatcher.run``: any endpoint will do.
NOTHING_EXCLUDED: frozenset[ids.EndpointId] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Bounds of the dispatcher."""


class Dispatcher:
    """Runs tasks on the slots that this process may use."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        rng: random.Random,
        zone: ids.ZoneId,
        directory: directory.Directory,
        slot_table: slots.SlotTable,
        client: endpoint_conn.EndpointClient,
        health: health.Health,
        metrics: metrics.Metrics,
        cfg: Config | None = None,
    ) -> None:
        """Start with no waiting tasks."""
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._directory = directory
        self._slots = slot_table
        self._client = client
        self._health = health
        self._metrics = metrics
        self._cfg = cfg or Config()
        self._freed = asyncio.Condition()
        self._backlog: subject.Subject[demand.Demand] = subject.Subject()

    @property
    def backlog(self) -> reactivex.Observable[demand.Demand]:
        """Return the stream of demands while tasks wait for slots."""
        return self._backlog

    def cancel(self, *, request_id: ids.RequestId) -> None:
        """End the waiting tasks of a request as not run."""

    def waiting(self, *, customer: ids.CustomerId) -> int:
        """Return the number of the customer's waiting tasks."""
        return 0

    def set_weights(self, weights: Mapping[ids.CustomerId, float]) -> None:
        """Replace the customers' shares."""

    def demand(self) -> demand.Demand:
        """Return the waiting and running work."""
        return demand.Demand(customers=())

    def wake(self) -> None:
        """Look again for free slots, because the slot table changed."""

    def close(self) -> None:
        """Refuse all waiting tasks."""

    def state(self, *, now: float) -> dict[str, object]:
        """Return the state dump."""
        return {}

    async def run(
        self,
        *,
        task: work.Task,
        exclude: frozenset[ids.EndpointId] = NOTHING_EXCLUDED,
    ) -> work.Outcome:
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
