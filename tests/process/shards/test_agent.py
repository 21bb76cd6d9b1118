"""Orders to one worker: lost answers, late orders, silence, new lives."""

import asyncio

import testtools
from testtools import matchers

from sardineproxy.process.shards import workers
from sardineproxy.request import jobs
from sardineproxy.standin import worker_model
from tests.process.shards import samples, faults


def _fates(*fates: faults.CallFault, kind: str = 'start'):
    """Return a function that gives the first calls of a kind these fates."""
    left = list(fates)

    def fault_of(called: str) -> faults.CallFault:
        return left.pop(0) if called == kind and left else faults.CallFault.DONE

    return fault_of


def _never_ends(task: workers.TaskName, run: int) -> worker_model.Work:
    usual = samples.typical_work(task, run)
    return worker_model.Work(resources=usual.resources, work_s=0.2, result=None)


class TestAgent(testtools.TestCase):
    def test_unanswered_order_is_not_carried_out_later(self) -> None:
        """Guards against a run that starts seconds after its replacement."""

        async def scenario(rig: samples.Rig) -> None:
            rig.api.fault_of = _fates(faults.CallFault.LATE)
            rig.api.late_s = 0.2
            link = samples.FakeLink()
            leader = await rig.ready()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(3)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual([], rig.complaints())
            self.assertEqual([2], [record.run for record in rig.records()])

        samples.with_rig(scenario)

    def test_lost_answer_does_not_start_a_second_run(self) -> None:
        """Guards against a repeat of an order that was carried out."""

        async def scenario(rig: samples.Rig) -> None:
            rig.api.fault_of = _fates(faults.CallFault.ANSWER_LOST)
            link = samples.FakeLink()
            leader = await rig.ready()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(1)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, count=2)

    def test_run_stopped_before_its_order_left_takes_no_room(self) -> None:
        """Guards the bug by which a withdrawn order still went out."""

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.ready()
            now = rig.clock.now()
            leader.submit(link, samples.make_submit('j1', 2), now)
            leader.withdraw(link, samples.make_submit('j1').job)
            leader.submit(link, samples.make_submit('j2', 2), now)
            await asyncio.sleep(1)
            self.assertEqual([], rig.complaints())
            self.assertEqual(
                {'j2'}, {record.task[:2] for record in rig.records()}
            )

        samples.with_rig(scenario)

    def test_capacity_counts_orders_on_their_way(self) -> None:
        """Guards against orders beyond a worker's capacity."""

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.ready()
            now = rig.clock.now()
            for number in range(6):
                leader.submit(
                    link,
                    samples.make_submit(f'j{number}', estimate_s=2.0),
                    now,
                )
            await asyncio.sleep(2)
            self.assertEqual([], rig.complaints())
            self.assertEqual(6, len(rig.records()))

        samples.with_rig(scenario)

    def test_silent_worker_keeps_its_runs_until_their_lease_ends(self) -> None:
        """Guards against a second run beside one on a worker cut off."""

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.ready()
            submit = samples.make_submit(estimate_s=2.0, timeout_s=9.0)
            leader.submit(link, submit, rig.clock.now())
            await asyncio.sleep(0.1)
            first = samples.only(rig.records())
            cut = faults.FaultyWorkerApi(
                models=rig.models,
                clock=rig.clock,
                fault_of=lambda _: faults.CallFault.REQUEST_LOST,
            )
            silent = rig.models[first.worker].worker.worker

            async def poll(worker, asked, *, timeout_s):
                api = cut if worker.worker == silent else rig.api
                return await faults.FaultyWorkerApi.poll(
                    api, worker, asked, timeout_s=timeout_s
                )

            rig.api.poll = poll
            await asyncio.sleep(4)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual([], rig.complaints())
            self.assertEqual(2, len(rig.records()))

        samples.with_rig(
            scenario,
            count=2,
            work_of=lambda task, run: samples.typical_work(task, run, 1.5),
        )

    def test_new_life_of_a_worker_knows_nothing(self) -> None:
        """Guards against waiting for runs that ended with a former life."""

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.ready()
            submit = samples.make_submit(estimate_s=2.0, timeout_s=9.0)
            leader.submit(link, submit, rig.clock.now())
            await asyncio.sleep(0.1)
            rig.models['w0'].crash(rig.clock.now())
            rig.models['w0'].restart(rig.clock.now())
            await asyncio.sleep(0.2)
            rig.list_workers(leader, list(rig.models.values()))
            await asyncio.sleep(2)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual([], rig.complaints())

        samples.with_rig(scenario)

    def test_new_life_gets_no_orders_before_it_is_listed(self) -> None:
        """Guards against orders by the capacity of a former life."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            model = rig.models['w0']
            model.crash(rig.clock.now())
            model.restart(rig.clock.now())
            model.set_capacity(samples.TASK_MILLICORES - 1)
            leader.mark_all_unconfirmed('test')
            await asyncio.sleep(0.1)
            leader.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.2)
            self.assertEqual([], rig.complaints())
            self.assertEqual([], rig.records())

        samples.with_rig(scenario)

    def test_late_order_after_a_long_rest_finds_its_lease_expired(self) -> None:
        """Guards against a run on a slow clock after its replacement.

        The order leaves no answer and the worker stays silent, but carries it
        out after the lease that the owner has waited for.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            rig.models['w0'].set_clock_rate(0.98)
            await asyncio.sleep(200)
            rig.api.late_s = 1.1
            rig.api.fault_of = lambda kind: (
                faults.CallFault.LATE
                if kind == 'start'
                else faults.CallFault.REQUEST_LOST
            )
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(estimate_s=2.0, timeout_s=9.0),
                rig.clock.now(),
            )
            await asyncio.sleep(3)
            self.assertEqual([], rig.records())

        samples.with_rig(scenario)

    def test_run_that_stands_still_starts_elsewhere(self) -> None:
        """Guards against tasks held on a hung worker to the deadline."""

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.ready()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.01)
            first = samples.only(rig.records())
            await asyncio.sleep(2)
            results = {record.result for record in rig.records()}
            self.assertIn(workers.RunResult.STOPPED, results)
            self.assertNotEqual(first.worker, rig.records()[-1].worker)

        samples.with_rig(scenario, count=2, work_of=_never_ends)

    def test_ends_are_acknowledged_when_nothing_runs_any_more(self) -> None:
        """Guards against ends that a worker has to list for good."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            leader.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(2)
            self.assertFalse(rig.models['w0'].has_unacked_results(0))

        samples.with_rig(scenario)

    def test_idle_worker_is_not_looked_at(self) -> None:
        """Guards against looks that nothing needs; each is priced."""

        async def scenario(rig: samples.Rig) -> None:
            await rig.ready()
            before = len(rig.api.calls)
            await asyncio.sleep(5)
            self.assertEqual(before, len(rig.api.calls))

        samples.with_rig(scenario)

    def test_draining_worker_gets_no_orders(self) -> None:
        """Guards against work for workers that are about to leave."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            leader.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.5)
            self.assertEqual([], rig.records())

        samples.with_rig(scenario, state=workers.WorkerState.DRAINING)

    def test_failing_worker_is_closed_and_then_tried_with_one_run(self) -> None:
        """Guards against failing many tasks on a worker that fails all."""

        def work_of(task: workers.TaskName, run: int) -> worker_model.Work:
            return worker_model.Work(
                resources=jobs.Resources(millicores=1000, memory_mb=1, gpus=0),
                work_s=0.05,
                result=workers.RunResult.FAILED,
            )

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            for number in range(30):
                leader.submit(
                    samples.FakeLink(),
                    samples.make_submit(f'j{number}', millicores=1000),
                    rig.clock.now(),
                )
                await asyncio.sleep(0.1)
            self.assertThat(len(rig.records()), matchers.LessThan(12))

        samples.with_rig(scenario, work_of=work_of)
