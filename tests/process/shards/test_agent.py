"""Orders to one worker: lost responses, delayed orders, outages, restarts."""

import asyncio
from typing import Any

import testtools
from testtools import matchers

from sardineproxy.process.shards import workers
from sardineproxy.request import jobs
from sardineproxy.standin import worker_model
from sardineproxy.standin import worker_calls as faults
from tests.process.shards import samples


def _with_faults(*call_faults: faults.CallFault, kind: str = 'start'):
    """Return a function that disturbs the first calls of a kind."""
    remaining = list(call_faults)

    def fault_of(call_kind: str) -> faults.CallFault:
        return (
            remaining.pop(0)
            if call_kind == kind and remaining
            else faults.CallFault.DONE
        )

    return fault_of


def _never_ends(task: workers.TaskName, run: int) -> worker_model.Work:
    typical = samples.typical_work(task, run)
    return worker_model.Work(
        resources=typical.resources, work_s=0.2, result=None
    )


class TestAgent(testtools.TestCase):
    def test_unanswered_order_is_not_executed_later(self) -> None:
        """Guards against a delayed start order that is executed after all.

        The order times out and its task is started again. The worker refuses
        the delayed order, as it has seen a higher fence by then.
        """

        async def scenario(rig: samples.Rig) -> None:
            rig.api.fault_of = _with_faults(faults.CallFault.LATE)
            rig.api.late_s = 0.2
            link = samples.FakeLink()
            leader = await rig.lead_and_sync()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(3)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual([], rig.violations())
            self.assertEqual([2], [record.run for record in rig.records()])

        samples.with_rig(scenario)

    def test_unexpected_errors_are_confined_to_the_worker(self) -> None:
        """Guards against one error that ends the process, or the polls.

        Whether the order was executed is unknown after the error, as after a
        lost response.
        """

        async def scenario(rig: samples.Rig) -> None:
            contexts: list[dict[str, Any]] = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: contexts.append(context)
            )
            raised = faults.CallFault.RAISED
            for kind in ('start', 'poll', 'stop'):
                rig.api.fault_of = _with_faults(raised, raised, kind=kind)
                link = samples.FakeLink()
                leader = await rig.lead_and_sync(epoch=len(contexts) + 1)
                submit = samples.make_submit(f'j-{kind}', slack_s=5.0)
                leader.submit(link, submit, rig.clock.now())
                await asyncio.sleep(0.1)
                if kind == 'stop':
                    leader.withdraw(link, submit.job)
                    leader.submit(link, submit, rig.clock.now())
                await asyncio.sleep(3)
                self.assertEqual({0: 'done'}, link.results(), kind)
                await leader.close()
            self.assertEqual([], rig.violations())
            self.assertEqual(
                {'worker w0'}, {context['unit'] for context in contexts}
            )

        samples.with_rig(scenario)

    def test_lost_response_does_not_start_a_second_run(self) -> None:
        """Guards against a second run if only the response to an order is lost.

        The worker has started the run, and lists it in its next report.
        """

        async def scenario(rig: samples.Rig) -> None:
            rig.api.fault_of = _with_faults(faults.CallFault.RESPONSE_LOST)
            link = samples.FakeLink()
            leader = await rig.lead_and_sync()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(1)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, count=2)

    def test_run_stopped_before_its_order_is_sent_does_not_start(self) -> None:
        """Guards against a bug that sent the order of a withdrawn job.

        The job is withdrawn before the coroutine that sends the order runs.
        """

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.lead_and_sync()
            now = rig.clock.now()
            leader.submit(link, samples.make_submit('j1', 2), now)
            leader.withdraw(link, samples.make_submit('j1').job)
            leader.submit(link, samples.make_submit('j2', 2), now)
            await asyncio.sleep(1)
            self.assertEqual([], rig.violations())
            self.assertEqual(
                {'j2'}, {record.task[:2] for record in rig.records()}
            )

        samples.with_rig(scenario)

    def test_pending_orders_occupy_capacity(self) -> None:
        """Guards against orders that exceed a worker's capacity.

        All jobs are submitted before the first response to an order.
        """

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.lead_and_sync()
            now = rig.clock.now()
            for number in range(6):
                leader.submit(
                    link,
                    samples.make_submit(
                        f'j{number}', estimate_s=2.0, slack_s=9.0
                    ),
                    now,
                )
            await asyncio.sleep(2)
            self.assertEqual([], rig.violations())
            self.assertEqual(6, len(rig.records()))

        samples.with_rig(scenario)

    def test_run_on_unresponsive_worker_is_replaced_after_its_lease(
        self,
    ) -> None:
        """Guards against a second run beside one on an unreachable worker.

        The worker becomes unreachable while it runs the task. The task may
        start on another worker only when the lease has expired.
        """

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.lead_and_sync()
            submit = samples.make_submit(estimate_s=2.0, timeout_s=9.0)
            leader.submit(link, submit, rig.clock.now())
            await asyncio.sleep(0.1)
            first = samples.only_item(rig.records())
            unreachable = faults.FaultyWorkerApi(
                models=rig.models,
                clock=rig.clock,
                fault_of=lambda _: faults.CallFault.REQUEST_LOST,
            )
            silent_worker = rig.models[first.worker].worker.worker

            async def poll(worker, request, *, timeout_s):
                api = unreachable if worker.worker == silent_worker else rig.api
                return await faults.FaultyWorkerApi.poll(
                    api, worker, request, timeout_s=timeout_s
                )

            rig.api.poll = poll
            await asyncio.sleep(4)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual([], rig.violations())
            self.assertEqual(2, len(rig.records()))

        samples.with_rig(
            scenario,
            count=2,
            work_of=lambda task, run: samples.typical_work(task, run, 1.5),
        )

    def test_runs_of_a_restarted_worker_are_requeued(self) -> None:
        """Guards against waiting for runs that a crash of the worker ended.

        The worker restarts under the same id and lists no runs.
        """

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.lead_and_sync()
            submit = samples.make_submit(estimate_s=2.0, timeout_s=9.0)
            leader.submit(link, submit, rig.clock.now())
            await asyncio.sleep(0.1)
            rig.models['w0'].crash(rig.clock.now())
            rig.models['w0'].restart(rig.clock.now())
            await asyncio.sleep(0.2)
            rig.list_workers(leader, list(rig.models.values()))
            await asyncio.sleep(2)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual([], rig.violations())

        samples.with_rig(scenario)

    def test_result_of_a_restarted_idle_worker_is_not_lost(self) -> None:
        """Guards against review case 14: an end that nobody has seen.

        A worker starts again under its id while it is idle. The poll beside the
        next start must not acknowledge the results of its former process: the
        result of the new run would have such a position.
        """

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.lead_and_sync()
            for number in range(4):
                leader.submit(
                    link,
                    samples.make_submit(f'a{number}', slack_s=5.0),
                    rig.clock.now(),
                )
            await asyncio.sleep(2)
            rig.models['w0'].crash(rig.clock.now())
            await asyncio.sleep(0.1)
            rig.models['w0'].restart(rig.clock.now())
            leader.submit(
                link, samples.make_submit('b0', slack_s=5.0), rig.clock.now()
            )
            await asyncio.sleep(2)
            started = [record.task[:2] for record in rig.records()]
            self.assertEqual(1, started.count('b0'), started)
            self.assertEqual(5, len(link.sent), link.sent)

        samples.with_rig(scenario)

    def test_restarted_worker_gets_no_orders_before_it_is_listed(self) -> None:
        """Guards against orders based on the capacity before a restart.

        The worker has less capacity after its restart, which the leader
        learns from the next list of workers.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
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
            self.assertEqual([], rig.violations())
            self.assertEqual([], rig.records())

        samples.with_rig(scenario)

    def test_delayed_order_after_idle_time_is_refused_as_expired(self) -> None:
        """Guards against a run that starts after its replacement.

        The worker's slow clock drifts for 200 s. Then the worker responds to
        no call, and receives the order only after the time for which the
        leader waits for the lease to expire.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
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

    def test_stalled_run_is_started_on_another_worker(self) -> None:
        """Guards against tasks that a hung worker holds until their deadline.

        The worker responds to polls, but its runs make no progress.
        """

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            leader = await rig.lead_and_sync()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.01)
            first = samples.only_item(rig.records())
            await asyncio.sleep(2)
            results = {record.result for record in rig.records()}
            self.assertIn(workers.RunResult.STOPPED, results)
            self.assertNotEqual(first.worker, rig.records()[-1].worker)

        samples.with_rig(scenario, count=2, work_of=_never_ends)

    def test_results_are_acknowledged_without_active_runs(self) -> None:
        """Guards against results that an idle worker lists forever.

        Results are acknowledged in polls, and idle workers are rarely polled.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(2)
            self.assertFalse(rig.models['w0'].has_unacked_results(0))

        samples.with_rig(scenario)

    def test_idle_worker_is_not_polled(self) -> None:
        """Guards against needless polls, each of which has a cost.

        An idle worker is polled only every 15 s, to read its clock.
        """

        async def scenario(rig: samples.Rig) -> None:
            await rig.lead_and_sync()
            before = len(rig.api.calls)
            await asyncio.sleep(5)
            self.assertEqual(before, len(rig.api.calls))

        samples.with_rig(scenario)

    def test_draining_worker_gets_no_orders(self) -> None:
        """Guards against runs on workers that are about to shut down."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.5)
            self.assertEqual([], rig.records())

        samples.with_rig(scenario, state=workers.WorkerState.DRAINING)

    def test_failing_worker_is_ejected_and_then_gets_one_run_at_a_time(
        self,
    ) -> None:
        """Guards against many failed tasks on a worker that fails every run."""

        def work_of(task: workers.TaskName, run: int) -> worker_model.Work:
            return worker_model.Work(
                resources=jobs.Resources(millicores=1000, memory_mb=1, gpus=0),
                work_s=0.05,
                result=workers.RunResult.FAILED,
            )

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            for number in range(30):
                leader.submit(
                    samples.FakeLink(),
                    samples.make_submit(f'j{number}', millicores=1000),
                    rig.clock.now(),
                )
                await asyncio.sleep(0.1)
            self.assertThat(len(rig.records()), matchers.LessThan(12))

        samples.with_rig(scenario, work_of=work_of)
