"""Placement of tasks, and their start while leadership is unconfirmed."""

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
        """Guards against two runs at a time, one of them by an isolated leader.

        A leader that is not confirmed stops extending the leases of stored
        jobs' runs, because a new leader may start their tasks again.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(stored=True),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            rig.is_leadership_confirmed = False
            await asyncio.sleep(3)
            record = samples.only_item(rig.records())
            self.assertIs(workers.RunResult.LEASE_EXPIRED, record.result)
            rig.is_leadership_confirmed = True
            await asyncio.sleep(1)
            self.assertEqual(2, len(rig.records()))

        samples.with_rig(scenario, work_of=long_work)

    def test_other_jobs_run_while_another_leader_may_exist(self) -> None:
        """Guards against an outage for jobs that are not stored.

        A leader that is not confirmed must still start their tasks.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            rig.is_leadership_confirmed = False
            await asyncio.sleep(3)
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.5)
            self.assertEqual({0: 'done'}, link.results())

        samples.with_rig(scenario)


class TestEstimates(testtools.TestCase):
    def test_task_without_an_estimate_is_run(self) -> None:
        """Guards against a poller that fails on an expected run time of 0."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
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
    def test_task_is_placed_on_the_rack_of_its_data(self) -> None:
        """Guards against tasks that are slow because their data is far away."""

        async def scenario(rig: samples.Rig) -> None:
            for name, model in rig.models.items():
                model.worker = dataclasses.replace(
                    model.worker, labels=('a', f'rack-{name}')
                )
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(count=2, rack='rack-w2'),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            used_workers = {record.worker for record in rig.records()}
            self.assertEqual({'w2'}, used_workers)

        samples.with_rig(scenario, count=4)

    def test_number_of_tasks_on_one_worker_is_limited(self) -> None:
        """Guards against more tasks on one worker than their job allows."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(count=3, per_worker=1, pinned=True),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            used_workers = [record.worker for record in rig.records()]
            self.assertEqual(['w0', 'w1'], sorted(used_workers))

        samples.with_rig(scenario, count=2)
