"""Waiting and running tasks of a shard whose zone is evacuated."""

import asyncio
from typing import Any

import testtools
from testtools import matchers

from sardineproxy import ids
from sardineproxy.process.membership import evacuations
from sardineproxy.process.shards import shard as shards
from sardineproxy.process.shards import times, workers
from sardineproxy.standin import worker_model
from tests.process.shards import samples

OTHER = ids.ShardId('zone-b')


def evacuate(rig: samples.Rig, leader: shards.ShardLeader) -> None:
    leader.set_evacuation(evacuations.Status.EVACUATED, rig.clock.now())


def _speed_of(leader: shards.ShardLeader, rig: samples.Rig) -> float:
    workers_state: Any = leader.state(rig.clock.now())['workers']
    speed: float = workers_state[0]['health']['speed']
    return speed


def _long_work(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 30)


class TestWaitingTasks(testtools.TestCase):
    def test_waiting_tasks_move_at_once(self) -> None:
        """Guards against tasks that wait for a zone that starts nothing."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            now = rig.clock.now()
            leader.submit(link, samples.make_submit('j1', 2), now)
            leader.submit(
                link,
                samples.make_submit('j2', 2, pinned=True, estimate_s=5.0),
                now,
            )
            rig.report_capacity(OTHER, 5)
            evacuate(rig, leader)
            declined = samples.only_item(link.declined())
            self.assertEqual('j2', declined.job)
            self.assertEqual((0, 1), declined.indices)
            self.assertEqual(OTHER, declined.suggested_shard)
            await asyncio.sleep(1)
            self.assertEqual({0: 'done', 1: 'done'}, link.results())

        samples.with_rig(scenario)

    def test_job_is_refused_at_once_without_capacity(self) -> None:
        """Guards against clients that wait until their deadline in vain."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            evacuate(rig, leader)
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('j1', 2), rig.clock.now())
            declined = samples.only_item(link.declined())
            self.assertEqual('', declined.suggested_shard)
            self.assertThat(declined.retry_after_s, matchers.GreaterThan(0.9))
            await asyncio.sleep(1)
            self.assertEqual(0, rig.count_starts())

        samples.with_rig(scenario)

    def test_stored_tasks_wait_for_capacity(self) -> None:
        """Guards against stored jobs that are sent back and forth or lost."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            evacuate(rig, leader)
            link = samples.FakeLink()
            leader.submit(
                link,
                samples.make_submit('j1', 2, stored=True),
                rig.clock.now(),
            )
            await asyncio.sleep(5)
            self.assertEqual([], link.declined())
            rig.report_capacity(OTHER, 1)
            await asyncio.sleep(0.2)
            self.assertEqual((0,), samples.only_item(link.declined()).indices)
            leader.set_evacuation(evacuations.Status.OPEN, rig.clock.now())
            await asyncio.sleep(1)
            self.assertEqual({1: 'done'}, link.results())

        samples.with_rig(scenario)

    def test_detached_tasks_are_not_declined(self) -> None:
        """Guards against a decline that no coordinator receives."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link, new_link = samples.FakeLink(), samples.FakeLink()
            evacuate(rig, leader)
            submit = samples.make_submit('j1', stored=True)
            leader.submit(link, submit, rig.clock.now())
            leader.link_lost(link, rig.clock.now())
            rig.report_capacity(OTHER, 5)
            await asyncio.sleep(0.1)
            self.assertEqual(1, leader.state(rig.clock.now())['batches'])
            leader.submit(new_link, submit, rig.clock.now())
            samples.only_item(new_link.declined())

        samples.with_rig(scenario)

    def test_task_with_a_run_of_the_former_leader_is_not_moved(self) -> None:
        """Guards against two runs of a task, one of them in another zone.

        The client sends its job again while the new leader does not know yet
        what runs on its workers.
        """

        async def scenario(rig: samples.Rig) -> None:
            former = await rig.lead_and_sync()
            former.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.05)
            await former.close()
            leader = rig.lead(epoch=2)
            evacuate(rig, leader)
            rig.report_capacity(OTHER, 5)
            link = samples.FakeLink('vm-2')
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.1)
            self.assertEqual([], link.declined())
            rig.report_capacity(OTHER, 5)
            await asyncio.sleep(1)
            self.assertEqual(1, rig.count_starts())

        samples.with_rig(scenario)


class TestRunningTasks(testtools.TestCase):
    def test_late_run_on_a_slow_worker_is_stopped_and_moved(self) -> None:
        """Guards against runs that hold the zone long after the request."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link, samples.make_submit(stored=True), rig.clock.now()
            )
            await asyncio.sleep(0.1)
            evacuate(rig, leader)
            await asyncio.sleep(1)
            self.assertEqual([], link.declined())
            for _ in range(20):
                rig.report_capacity(OTHER, 5)
                await asyncio.sleep(0.1)
            declined = samples.only_item(link.declined())
            self.assertEqual(OTHER, declined.suggested_shard)
            self.assertEqual(
                [workers.RunResult.STOPPED],
                [record.result for record in rig.records()],
            )
            self.assertEqual([], rig.violations())

        samples.with_rig(scenario, work_of=_long_work)


class TestColdWorkers(testtools.TestCase):
    CFG = times.ShardTiming(calls=times.CallTiming(cold_overage=1.5))

    def test_cold_workers_get_tasks_in_steps(self) -> None:
        """Guards against a zone whose first tasks are all late together."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            evacuate(rig, leader)
            await asyncio.sleep(1)
            leader.set_evacuation(evacuations.Status.OPEN, rig.clock.now())
            counts = []
            for _ in range(5):
                counts.append(leader.count_startable_tasks())
                await asyncio.sleep(0.55)
            self.assertEqual([2, 4, 6, 8, 8], counts)

        samples.with_rig(scenario, count=4, cold_left_s=60, cfg=self.CFG)

    def test_warm_workers_get_tasks_at_once(self) -> None:
        """Guards against idle workers for which no reason exists."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            evacuate(rig, leader)
            await asyncio.sleep(1)
            leader.set_evacuation(evacuations.Status.OPEN, rig.clock.now())
            self.assertEqual(8, leader.count_startable_tasks())

        samples.with_rig(scenario, count=4, cold_left_s=0.5, cfg=self.CFG)

    def test_platform_without_an_overage_holds_no_worker(self) -> None:
        """Guards against an effect on a deployment that does not ask for it."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            evacuate(rig, leader)
            leader.set_evacuation(evacuations.Status.OPEN, rig.clock.now())
            self.assertEqual(8, leader.count_startable_tasks())
            self.assertEqual(1, _speed_of(leader, rig))

        samples.with_rig(scenario, count=4, cold_left_s=60)

    def test_speed_of_a_cold_worker_rises_when_it_is_warm(self) -> None:
        """Guards against tasks that are late because a worker is cold.

        The run times on the cold worker must not count as those of a slow one
        afterwards.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            self.assertAlmostEqual(1 / 1.5, _speed_of(leader, rig), 2)
            link = samples.FakeLink()
            for number in range(4):
                submit = samples.make_submit(f'j{number}', slack_s=1.0)
                leader.submit(link, submit, rig.clock.now())
                await asyncio.sleep(0.4)
            await asyncio.sleep(1)
            self.assertAlmostEqual(1, _speed_of(leader, rig), 1)

        samples.with_rig(
            scenario,
            work_of=lambda task, run: samples.typical_work(task, run, 0.3),
            cold_left_s=2,
            cfg=self.CFG,
        )


class TestReport(testtools.TestCase):
    def test_evacuated_shard_reports_no_capacity(self) -> None:
        """Guards against tasks that other leaders move into the zone."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            self.assertEqual(2, leader.count_startable_tasks())
            evacuate(rig, leader)
            self.assertEqual(0, leader.count_startable_tasks())
            rig.report_capacity(OTHER, 5)
            rig.capacities.evacuated = {OTHER}
            self.assertEqual({}, rig.capacities.find_accepting(rig.clock.now()))
            self.assertIsNone(leader.free_capacity())

        samples.with_rig(scenario)
