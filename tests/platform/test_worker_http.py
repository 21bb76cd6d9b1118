"""Tests of the workers' client against a simulated worker."""

import asyncio
import contextlib
import dataclasses
from typing import Any, Callable, Coroutine

import testtools
from testtools import matchers

from sardineproxy import clock, ids
from sardineproxy.platform import http_calls, worker_http
from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_model
from tests.platform import worker_server
from tests.process.shards import samples

#: Timeout of calls whose response is not delayed, in seconds.
LONG_S = 10


class Rig:
    """A worker server and its client."""

    def __init__(self) -> None:
        self.clock = clock.SystemClock()
        self.model = worker_model.WorkerModel(
            worker=samples.make_worker(),
            work_of=lambda task, run: samples.typical_work(task, run, 30),
            started_at=self.clock.now(),
        )
        self.server = worker_server.WorkerServer(
            model=self.model, clock=self.clock
        )
        self.api: worker_http.HttpWorkerApi

    async def start(self, task: str = 't', **changes: Any) -> Any:
        fields: dict[str, Any] = {
            'task': workers.TaskName(task),
            'run': 1,
            'payload': 'text',
            'fence': 1,
            'expires_ms': self.model.clock_ms(self.clock.now()) + 1000,
        }
        return await self.api.start(
            self.model.worker,
            workers.Order(**{**fields, **changes}),
            timeout_s=LONG_S,
        )

    async def stop(self, timeout_s: float = LONG_S) -> Any:
        return await self.api.stop(
            self.model.worker,
            task=workers.TaskName('t'),
            run=1,
            fence=1,
            timeout_s=timeout_s,
        )

    async def poll(self, **changes: Any) -> Any:
        fields = {'fence': 1, 'acked': 0, 'expires_ms': None, 'wait_s': 0}
        return await self.api.poll(
            self.model.worker,
            workers.Poll(**{**fields, **changes}),
            timeout_s=LONG_S,
        )


def with_rig(scenario: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        rig = Rig()
        await rig.server.listen()
        async with contextlib.aclosing(http_calls.new_client()) as client:
            rig.api = worker_http.HttpWorkerApi(client=client)
            await scenario(rig)

    asyncio.run(main())


class TestOrders(testtools.TestCase):
    def test_started_run_is_reported_until_it_is_stopped(self) -> None:
        """Guards against field names that differ from those of the worker."""

        async def scenario(rig: Rig) -> None:
            self.assertIsInstance(await rig.start(), workers.Accepted)
            self.assertEqual({'t': 'text'}, rig.server.payloads)
            report = await rig.poll()
            self.assertEqual('t', report.active[0].task)
            self.assertIsInstance(await rig.stop(), workers.Accepted)
            report = await rig.poll()
            self.assertEqual((), report.active)
            self.assertEqual(
                workers.RunResult.STOPPED, report.finished[0].result
            )

        with_rig(scenario)

    def test_refusals_are_decoded_to_their_reasons(self) -> None:
        """Guards against confusing the reasons for a refusal.

        A leader that has been fenced off must not conclude that the worker is
        full.
        """

        async def scenario(rig: Rig) -> None:
            await rig.start(fence=5)
            fenced = await rig.start('u', fence=4)
            self.assertEqual(workers.Refusal.FENCED, fenced.reason)
            expired = await rig.start('v', fence=5, expires_ms=1)
            self.assertEqual(workers.Refusal.EXPIRED, expired.reason)
            old_run = await rig.start('t', fence=5, run=0)
            self.assertEqual(workers.Refusal.OLD_RUN, old_run.reason)

        with_rig(scenario)

    def test_order_refused_with_503_was_not_executed(self) -> None:
        """Guards against treating a refused order as possibly executed."""

        async def scenario(rig: Rig) -> None:
            rig.server.is_unhealthy = True
            refused = await rig.start()
            self.assertEqual(workers.Refusal.NOT_EXECUTED, refused.reason)

        with_rig(scenario)

    def test_order_is_refused_by_another_worker_at_the_address(self) -> None:
        """Guards against orders to a worker that has reused an address."""

        async def scenario(rig: Rig) -> None:
            rig.model.worker = dataclasses.replace(
                rig.model.worker, worker=ids.WorkerId('other')
            )
            listed = dataclasses.replace(
                rig.model.worker, worker=ids.WorkerId('w0')
            )
            outcome = await rig.api.stop(
                listed,
                task=workers.TaskName('t'),
                run=1,
                fence=1,
                timeout_s=LONG_S,
            )
            self.assertEqual(workers.Refusal.OTHER_WORKER, outcome.reason)

        with_rig(scenario)

    def test_unanswered_order_may_have_been_executed(self) -> None:
        """Guards against running a task twice.

        A worker may execute an order after the call has timed out.
        """

        async def scenario(rig: Rig) -> None:
            rig.server.order_delay_s = LONG_S
            outcome = await rig.stop(timeout_s=0.05)
            self.assertIsInstance(outcome, workers.Unanswered)
            self.assertFalse(outcome.unsent)

        with_rig(scenario)

    def test_order_to_a_closed_port_was_not_sent(self) -> None:
        """Guards against reserving capacity for a run that cannot start."""

        async def scenario(rig: Rig) -> None:
            rig.server.set_address(1)
            outcome = await rig.stop()
            self.assertTrue(outcome.unsent)

        with_rig(scenario)


class TestPolls(testtools.TestCase):
    def test_poll_waits_for_a_result(self) -> None:
        """Guards against repeated polls without results, which have a cost."""

        async def scenario(rig: Rig) -> None:
            await rig.start()
            expires_ms = rig.model.clock_ms(rig.clock.now()) + 1000
            waiting = asyncio.create_task(
                rig.poll(wait_s=1.5, expires_ms=expires_ms)
            )
            await asyncio.sleep(0.05)
            self.assertFalse(waiting.done())
            await rig.stop()
            report = await waiting
            self.assertThat(report.finished, matchers.HasLength(1))

        with_rig(scenario)

    def test_acknowledged_results_are_not_reported_again(self) -> None:
        """Guards against reports that grow without limit."""

        async def scenario(rig: Rig) -> None:
            await rig.start()
            await rig.stop()
            first = await rig.poll()
            second = await rig.poll(acked=first.finished[0].position)
            self.assertEqual((), second.finished)

        with_rig(scenario)
