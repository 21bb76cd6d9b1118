"""Tasks that leave a shard for others, on arrival and while they wait."""

import asyncio

import testtools
from testtools import matchers

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.shards import shard_capacities, times, workers
from sardineproxy.standin import worker_model
from tests.process.load import test_free_capacity
from tests.process.shards import samples


class TestArrival(testtools.TestCase):
    def test_tasks_go_to_the_shard_that_can_run_them(self) -> None:
        """Guards against review case 8: the zone with the most free workers
        got the tasks, although none of them had the label."""

        async def scenario(rig: samples.Rig) -> None:
            rig.report_capacity('zone-b', 50)
            rig.report_capacity('zone-c', 2, labels=('b',))
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link,
                samples.make_submit(count=3, requires='b', stored=True),
                rig.clock.now(),
            )
            declined = samples.only_item(link.declined())
            self.assertEqual('zone-c', declined.suggested_shard)
            self.assertEqual(2, len(declined.indices))

        samples.with_rig(scenario)

    def test_job_is_accepted_if_suitable_workers_are_free(self) -> None:
        """Guards against refusals because other kinds of workers are busy."""

        async def scenario(rig: samples.Rig) -> None:
            rig.report_capacity('zone-c', 1, labels=('b',))
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit('j1', 2, estimate_s=9.0),
                rig.clock.now(),
            )
            link = samples.FakeLink()
            leader.submit(
                link, samples.make_submit('j2', requires='b'), rig.clock.now()
            )
            declined = samples.only_item(link.declined())
            self.assertEqual('zone-c', declined.suggested_shard)

        samples.with_rig(scenario)


class TestReservations(testtools.TestCase):
    def test_gap_is_not_filled_twice(self) -> None:
        """Guards against tasks that many VMs send to the same free workers.

        The next report does not show the tasks that are on their way.
        """
        tested = shard_capacities.ShardCapacities()
        task = test_free_capacity.make_task()
        shard = samples.SHARD
        tested.update(shard, samples.make_classes(5), 0)
        tested.reserve(shard, task, 3, stored=True, now=0)
        self.assertEqual({shard: 2}, tested.find_available(task, 0))
        tested.update(shard, samples.make_classes(5), 0.2)
        self.assertEqual({shard: 2}, tested.find_available(task, 0.2))
        tested.update(shard, samples.make_classes(2), 0.4)
        self.assertEqual({shard: 2}, tested.find_available(task, 0.4))

    def test_shard_without_a_recent_report_gets_nothing(self) -> None:
        """Guards against tasks sent to a leader that may be lost."""
        tested = shard_capacities.ShardCapacities()
        task = test_free_capacity.make_task()
        tested.update(samples.SHARD, samples.make_classes(5), 0)
        self.assertEqual({}, tested.find_available(task, 0.6))
        tested.update(samples.SHARD, None, 1)
        self.assertEqual({}, tested.find_available(task, 1))
        self.assertEqual({}, tested.find_accepting(1))


def _long_work(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 60)


def _work_of_2_or_60_s(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 2 if task.endswith('.0') else 60)


async def _report_for(
    rig: samples.Rig, shard: str, count: int, duration_s: float
) -> None:
    """Report free workers of a shard repeatedly, as a live leader does."""
    for _ in range(round(duration_s / 0.05)):
        rig.report_capacity(shard, count, labels=('b',))
        await asyncio.sleep(0.05)


class TestWaiting(testtools.TestCase):
    def test_waiting_task_moves_once_another_shard_is_free(self) -> None:
        """Guards against review case 2: tasks that wait for good in a shard
        whose workers are lost, while others are idle."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link, samples.make_submit(count=3, stored=True), rig.clock.now()
            )
            await asyncio.sleep(1)
            self.assertEqual([], link.declined())
            await _report_for(rig, 'zone-b', 1, 0.2)
            declined = samples.only_item(link.declined())
            self.assertEqual(('zone-b', (2,)), _summary(declined))

        samples.with_rig(scenario, work_of=_long_work)

    def test_task_that_came_back_stays_longer_each_time(self) -> None:
        """Guards against tasks that are sent back and forth without bound."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            waits_s = []
            for moves in range(4):
                leader.submit(
                    link,
                    samples.make_submit(
                        requires='b', stored=True, pinned=moves > 0
                    ),
                    rig.clock.now(),
                )
                submitted_at = rig.clock.now()
                if not moves:
                    await asyncio.sleep(0.1)
                while len(link.declined()) <= moves:
                    await _report_for(rig, 'zone-b', 5, 0.05)
                waits_s.append(rig.clock.now() - submitted_at)
            for waited_s, expected_s in zip(waits_s, (0.3, 2, 4, 8)):
                self.assertThat(
                    waited_s, matchers.GreaterThan(expected_s - 0.01)
                )
                self.assertThat(waited_s, matchers.LessThan(expected_s + 0.3))

        samples.with_rig(scenario)

    def test_pinned_tasks_of_jobs_that_are_not_stored_stay(self) -> None:
        """Guards against refusals of jobs that were moved once already."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link,
                samples.make_submit(
                    requires='b', pinned=True, timeout_s=60.0, slack_s=30.0
                ),
                rig.clock.now(),
            )
            await _report_for(rig, 'zone-b', 5, 3)
            self.assertEqual([], link.declined())

        samples.with_rig(scenario)

    def test_task_without_a_worker_moves_to_a_busy_shard(self) -> None:
        """Guards against review case 10: moved tasks that stay in a shard
        which has no worker for them."""

        async def scenario(rig: samples.Rig) -> None:
            rig.listed_elsewhere['zone-b'] = [
                samples.make_worker('b0', labels=('b',))
            ]
            leader = await rig.lead_and_sync()
            link, other = samples.FakeLink(), samples.FakeLink()
            leader.submit(
                link,
                samples.make_submit(requires='b', stored=True, pinned=True),
                rig.clock.now(),
            )
            leader.submit(
                other,
                samples.make_submit('j2', 3, stored=True),
                rig.clock.now(),
            )
            await _report_for(rig, 'zone-b', 0, 1.5)
            declined = samples.only_item(link.declined())
            self.assertEqual(('zone-b', (0,)), _summary(declined))
            self.assertEqual([], other.declined())

        samples.with_rig(scenario, work_of=_long_work)

    def test_moved_task_is_declined_with_its_lost_run(self) -> None:
        """Guards against review case 11: a lost run that nobody hears of.

        The worker crashes, and the task waits as no other one can run it.
        """

        async def scenario(rig: samples.Rig) -> None:
            rig.listed_elsewhere['zone-b'] = [samples.make_worker('b0')]
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link,
                samples.make_submit(timeout_s=60.0, slack_s=30.0),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            rig.models['w0'].crash(rig.clock.now())
            await _report_for(rig, 'zone-b', 0, 3)
            declined = samples.only_item(link.declined())
            self.assertEqual(('zone-b', (0,)), _summary(declined))
            self.assertTrue(declined.started)

        samples.with_rig(scenario, work_of=_long_work)

    def test_batches_that_cannot_move_do_not_hide_others(self) -> None:
        """Guards against a queue whose first kind of task blocks the rest."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            links = [samples.FakeLink() for _ in range(150)]
            for number, link in enumerate(links):
                leader.submit(
                    link,
                    samples.make_submit(
                        f'j{number}',
                        requires='c' if number < 149 else 'b',
                        stored=True,
                    ),
                    rig.clock.now(),
                )
            await _report_for(rig, 'zone-b', 1, 1.5)
            self.assertEqual(1, len(links[-1].declined()))

        samples.with_rig(scenario)


class TestDetached(testtools.TestCase):
    def test_tasks_without_a_manager_neither_start_nor_stay(self) -> None:
        """Guards against two runs of a task that its manager takes back.

        The first run ends meanwhile, so that there is capacity for the third.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link, samples.make_submit(count=3, stored=True), rig.clock.now()
            )
            await asyncio.sleep(0.1)
            leader.link_lost(link, rig.clock.now())
            rig.find_manager = lambda job: None
            await asyncio.sleep(times.DETACHED_S - 0.5)
            self.assertEqual(2, len(rig.records()))
            await asyncio.sleep(1)
            self.assertEqual(2, len(rig.records()))
            self.assertEqual(
                {workers.RunResult.DONE, workers.RunResult.STOPPED},
                {record.result for record in rig.records()},
            )

        samples.with_rig(scenario, work_of=_work_of_2_or_60_s)

    def test_tasks_of_a_replaced_manager_are_detached(self) -> None:
        """Guards against review case 12: a manager's VM that stays linked.

        The new manager may have no link to this leader. The former one learns
        that it must submit the tasks again if it manages them after all.
        """

        async def scenario(rig: samples.Rig) -> None:
            home, vm = ids.ShardId('zone-b'), ids.VmId('vm-1')
            rig.managers[home] = vm
            leader = await rig.lead_and_sync()
            link = samples.FakeLink(vm)
            leader.submit(
                link,
                samples.make_submit(
                    stored=True, pinned=True, authority=(home, 1, 0)
                ),
                rig.clock.now(),
            )
            await asyncio.sleep(3)
            self.assertEqual({}, link.results())
            rig.managers.clear()
            rig.find_manager = lambda job: None  # type: ignore[method-assign]
            await asyncio.sleep(times.MANAGER_REPORT_S + 0.1)
            self.assertEqual({0: 'replaced'}, link.results())
            self.assertEqual([None], [run.ended_at for run in rig.records()])
            await asyncio.sleep(times.DETACHED_S)
            self.assertNotEqual([None], [run.ended_at for run in rig.records()])

        samples.with_rig(scenario, work_of=_long_work)

    def test_withdrawn_tasks_do_not_start(self) -> None:
        """Guards against a start after the task's end was stored."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link, samples.make_submit(count=3, stored=True), rig.clock.now()
            )
            await asyncio.sleep(0.1)
            leader.withdraw_tasks(
                link,
                messages.WithdrawTasks(
                    shard=samples.SHARD,
                    job=ids.JobId('j1'),
                    step=0,
                    indices=(0, 2, 7),
                ),
            )
            await asyncio.sleep(2)
            self.assertEqual(2, len(rig.records()))
            self.assertEqual({}, link.results())

        samples.with_rig(scenario, work_of=_long_work)


def _summary(declined: messages.Declined) -> tuple[str, tuple[int, ...]]:
    return declined.suggested_shard, declined.indices
