"""Tasks that leave a shard for others, on arrival and while they wait."""

import testtools

from sardineproxy.process.shards import shard_capacities
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
