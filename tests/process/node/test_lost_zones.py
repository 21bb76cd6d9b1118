"""Stored jobs of a zone that is gone (review case 5)."""

import asyncio
from typing import Any

import testtools

from sardineproxy import ids
from sardineproxy.process.membership import registry
from sardineproxy.process.node import leadership_contact, lost_zones, node
from sardineproxy.process.shards import fencing
from sardineproxy.process.stored_jobs import job_manager, records
from tests import virtual_time
from tests.process.node import samples
from tests.process.shards import samples as shard_samples

LOST = ids.ShardId('z1')
OTHER = ids.ShardId('z2')


class Rig:
    """A node that leads its zone's shard, beside a zone whose VM is gone."""

    def __init__(self) -> None:
        self.clock = virtual_time.LoopClock()
        self.store = samples.MemoryStore()
        self.node = self.make_node('other', OTHER)
        self.lost_node = self.make_node('lost', LOST)
        self.ticking = [self.node]

    def make_node(self, vm: str, shard: ids.ShardId) -> node.Node:
        made = samples.make_node(
            self.store,
            None,
            vm=ids.VmId(vm),
            zone=ids.ZoneId(shard),
            zones=(ids.ZoneId(LOST), ids.ZoneId(OTHER)),
        )
        write = registry.member_write(made.member)
        self.store.rows.put(write.key, write.body)
        return made

    async def lose_zone(self) -> None:
        """Let the VM of a zone claim its shard; it writes nothing later."""
        self.ticking = [self.node, self.lost_node]
        await self.run(3)
        assert LOST in self.lost_node.led_shards.shards
        assert OTHER in self.node.led_shards.shards
        self.ticking = [self.node]

    async def run(self, duration_s: float) -> None:
        """Let the nodes read the store and tick; they have no links."""
        until = self.clock.now() + duration_s
        while self.clock.now() < until:
            for ticked in self.ticking:
                ticked.registry_changed(
                    self.store.rows.read(registry.TABLE).rows
                )
                ticked.led_shards.tick(self.clock.now(), may_claim=True)
            await asyncio.sleep(0.05)

    async def store_job(self) -> ids.JobId:
        """Store a job whose home is the lost zone, at its own VM."""
        stored_job = self.stored_job()
        reply = await self.lost_node.job_service.store(stored_job, 3)
        assert reply is job_manager.JobReply.ACCEPTED, reply
        return stored_job.job.job_id

    def stored_job(self) -> records.StoredJob:
        candidates = [ids.JobId(f'{number:016x}') for number in range(100)]
        job = next(
            candidate
            for candidate in candidates
            if self.node.job_service.home_shard(candidate) == LOST
        )
        return records.StoredJob(
            job=samples.make_job(job_id=job, stored=True),
            route=samples.ROUTE,
            accepted_at=self.clock.wall(),
        )

    def takes_over(self) -> bool:
        return LOST in self.node.led_shards.shards


def with_rig(scenario: Any) -> None:
    async def main() -> None:
        await scenario(Rig())

    virtual_time.run(main)


class TestLostZone(testtools.TestCase):
    def test_unfinished_jobs_are_taken_over(self) -> None:
        """Guards against 503 for good for accepted jobs (review case 5).

        Nobody claims a shard none of whose workers responds.
        """

        async def scenario(rig: Rig) -> None:
            await rig.lose_zone()
            job = await rig.store_job()
            await rig.run(0.4)
            self.assertFalse(rig.takes_over())
            await rig.run(5)
            self.assertTrue(rig.takes_over())
            reply = await rig.node.job_service.query(job, 3)
            self.assertIn(reply.value, {'queued', 'running'})

        with_rig(scenario)

    def test_waiting_request_is_served(self) -> None:
        """Guards against new jobs that are refused for good (review case 5)."""

        async def scenario(rig: Rig) -> None:
            await rig.lose_zone()
            await rig.run(5)
            self.assertFalse(rig.takes_over())
            submitted = asyncio.create_task(
                rig.node.job_service.store(rig.stored_job(), 3)
            )
            await rig.run(3)
            self.assertEqual(job_manager.JobReply.ACCEPTED, await submitted)

        with_rig(scenario)

    def test_zone_without_jobs_is_left_alone(self) -> None:
        """Guards against changes for deployments without stored jobs."""

        async def scenario(rig: Rig) -> None:
            await rig.lose_zone()
            await rig.run(30)
            self.assertFalse(rig.takes_over())

        with_rig(scenario)

    def test_leader_that_answers_through_the_store_keeps_its_jobs(self) -> None:
        """Guards against two managers of a zone that is only partitioned."""

        async def scenario(rig: Rig) -> None:
            await rig.lose_zone()
            await rig.store_job()
            rig.ticking.append(rig.lost_node)
            await rig.run(30)
            self.assertFalse(rig.takes_over())

        with_rig(scenario)

    def test_nothing_is_taken_over_without_the_store(self) -> None:
        """Guards against a partitioned VM that manages others' jobs."""

        async def scenario(rig: Rig) -> None:
            await rig.lose_zone()
            await rig.store_job()
            rig.store.is_down = True
            await rig.run(30)
            self.assertFalse(rig.takes_over())

        with_rig(scenario)


class TestCapacities(testtools.TestCase):
    def test_leader_of_two_shards_refers_tasks_to_its_own_one(self) -> None:
        """Guards against idle workers in the zone of the VM that takes over."""

        async def scenario(rig: Rig) -> None:
            led_shards = rig.node.led_shards
            for shard in (LOST, OTHER):
                led_shards.lead(shard, fencing.FencingToken(epoch=1, rank=0))
            self.patch(
                led_shards.shards[OTHER],
                'free_capacity',
                lambda: shard_samples.make_classes(3),
            )
            rig.node.tick(rig.clock.now())
            self.assertEqual(
                {OTHER: shard_samples.make_classes(3)},
                {
                    shard: classes
                    for shard, classes in rig.node.capacities.find_accepting(
                        rig.clock.now()
                    ).items()
                    if classes
                },
            )

        with_rig(scenario)


class TestTakeoverDelay(testtools.TestCase):
    def test_leaders_take_over_one_after_the_other(self) -> None:
        """Guards against many VMs that read the jobs at the same time."""
        shards = [ids.ShardId(f'z{number}') for number in range(3)]
        self.assertEqual(
            [3.5, 4.5, 5.5],
            [
                lost_zones.takeover_delay_s(shard, shards, 3.5)
                for shard in shards
            ],
        )


class TestLeadershipContact(testtools.TestCase):
    """A leader must know of each takeover, or stop extending leases."""

    def setUp(self) -> None:
        super().setUp()
        self.received_at = {ids.VmId('successor'): 3, ids.VmId('leader'): 4}
        self.contact = leadership_contact.LeadershipContact(
            last_received_at=self.received_at.get,
            last_store_response_at=lambda: 1,
        )

    def check(self, now: float, **leaders: str) -> leadership_contact.Contact:
        return self.contact.check(
            LOST,
            successors=[ids.VmId('successor')],
            claimed_shards=[LOST, OTHER],
            leaders={
                ids.ShardId(shard): ids.VmId(vm)
                for shard, vm in leaders.items()
            },
            now=now,
        )

    def test_leaders_of_other_shards_count(self) -> None:
        """Guards against runs of a partitioned zone that start elsewhere.

        All successors are in the zone; the leader of another zone takes over.
        """
        contact = self.check(5, z2='leader')
        self.assertEqual((5, 3), (contact.confirmed_at, contact.heard_at))
        contact = self.check(7)
        self.assertEqual((5, None), (contact.confirmed_at, contact.heard_at))

    def test_lost_successor_counts(self) -> None:
        """Guards against a successor that takes over without the store."""
        self.received_at.pop(ids.VmId('successor'))
        contact = self.check(5, z2='leader')
        self.assertEqual((1, None), (contact.confirmed_at, contact.heard_at))
