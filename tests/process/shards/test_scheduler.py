"""Where tasks are ordered, and when they must not be."""

import asyncio
import dataclasses

import testtools

from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_model
from tests.process.shards import samples


def long_work(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 30)


class TestConfirmation(testtools.TestCase):
    def test_stored_runs_expire_while_another_leader_may_exist(self) -> None:
        """Guards against two runs, one by an owner that is cut off."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(stored=True),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            rig.is_confirmed = False
            await asyncio.sleep(3)
            record = samples.only(rig.records())
            self.assertIs(workers.RunResult.LEASE_EXPIRED, record.result)
            rig.is_confirmed = True
            await asyncio.sleep(1)
            self.assertEqual(2, len(rig.records()))

        samples.with_rig(scenario, work_of=long_work)

    def test_other_runs_go_on_while_another_leader_may_exist(self) -> None:
        """Guards against outages for jobs that need not be kept."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            rig.is_confirmed = False
            await asyncio.sleep(3)
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.5)
            self.assertEqual({0: 'done'}, link.results())

        samples.with_rig(scenario)


class TestEstimates(testtools.TestCase):
    def test_task_without_an_estimate_runs(self) -> None:
        """Guards against a watch that ends over an expected time of 0."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            link = samples.FakeLink()
            leader.submit(
                link,
                samples.make_submit(estimate_s=float(0), slack_s=5.0),
                rig.clock.now(),
            )
            await asyncio.sleep(2)
            self.assertEqual({0: 'done'}, link.results())

        samples.with_rig(
            scenario,
            work_of=lambda task, run: samples.typical_work(task, run, 1),
        )


class TestPlacement(testtools.TestCase):
    def test_task_goes_to_the_rack_of_its_data(self) -> None:
        """Guards against tasks that take longer for want of their data."""

        async def scenario(rig: samples.Rig) -> None:
            for name, model in rig.models.items():
                model.worker = dataclasses.replace(
                    model.worker, labels=('a', f'rack-{name}')
                )
            leader = await rig.ready()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(count=2, rack='rack-w2'),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            found = {record.worker for record in rig.records()}
            self.assertEqual({'w2'}, found)

        samples.with_rig(scenario, count=4)

    def test_tasks_of_a_step_are_spread_as_asked(self) -> None:
        """Guards against more tasks on one worker than the job allows."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(count=3, per_worker=1, pinned=True),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            found = [record.worker for record in rig.records()]
            self.assertEqual(['w0', 'w1'], sorted(found))

        samples.with_rig(scenario, count=2)
