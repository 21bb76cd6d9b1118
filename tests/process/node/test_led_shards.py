"""Stored jobs of a shard while this process leads it."""

import asyncio
import random
from typing import Any, Callable, Coroutine

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process import metrics, store
from sardineproxy.process.membership import registry
from sardineproxy.process.node import claiming, dependencies, node, service
from sardineproxy.process.shards import fencing
from sardineproxy.process.stored_jobs import (
    fenced_rows,
    job_manager,
    records,
)
from tests import virtual_time
from tests.process.node import samples
from tests.process.shards import samples as shard_samples
from tests.process.stored_jobs import cluster as clusters

_Reply = job_manager.JobReply

OTHER_SHARD = ids.ShardId('z2')


class Rig:
    """A node that leads a shard, and the store that others write, too."""

    def __init__(self) -> None:
        self.store = samples.MemoryStore()
        self.node: node.Node = samples.make_node(self.store, None)
        self.shard = self.node.home_shard
        self.jobs = (
            ids.JobId(f'{number:016x}')
            for number in range(10**6)
            if self.home_of(number) == self.shard
        )

    def home_of(self, number: int) -> ids.ShardId:
        return self.node.job_service.home_shard(ids.JobId(f'{number:016x}'))

    async def lead(self, epoch: int) -> None:
        """Lead the shard, or renew the token; wait for the store."""
        self.node.led_shards.lead(self.shard, make_token(epoch))
        await asyncio.sleep(0.2)

    def stored_job(self) -> records.StoredJob:
        return records.StoredJob(
            job=samples.make_job(job_id=next(self.jobs), stored=True),
            route=samples.ROUTE,
            accepted_at=virtual_time.LoopClock().wall(),
        )

    async def store_job(self) -> ids.JobId:
        """Store a job through the node; return its id."""
        stored_job = self.stored_job()
        reply = await self.node.job_service.store(stored_job, 3)
        assert reply is _Reply.ACCEPTED, reply
        return stored_job.job.job_id

    async def store_job_elsewhere(
        self, token: fencing.FencingToken
    ) -> ids.JobId:
        """Store a job through another process that has taken over the jobs."""
        manager = dependencies.new_job_manager(
            dependencies.Dependencies(
                clock=virtual_time.LoopClock(),
                rng=random.Random(1),
                store=self.store,
                workers=None,  # type: ignore[arg-type]
                formats=service.platform_formats(),
                metrics=metrics.Metrics(),
            ),
            shard=self.shard,
            writer=fenced_rows.Writer(
                token=token, incarnation=ids.Incarnation('other')
            ),
            router=self.node,
            retention_s=120,
            unconfirmed_s=2,
            inquiries=clusters.Inquiries(),
            on_lost=lambda _: None,
        )
        manager.start()
        await asyncio.sleep(0.1)
        stored_job = self.stored_job()
        reply = await manager.accept(stored_job)
        assert reply is _Reply.ACCEPTED, reply
        await manager.close()
        return stored_job.job.job_id

    async def move_task(self, job: ids.JobId) -> None:
        """Let the home shard's leader refer the job's task to another shard.

        The link to the leader of that shard is lost afterwards.
        """
        other = self.open_link()
        await asyncio.sleep(0.2)
        self.node.received(
            self.node.leader_link(self.shard),  # type: ignore[arg-type]
            messages.Declined(
                shard=self.shard,
                job=job,
                step=0,
                indices=(0,),
                suggested_shard=OTHER_SHARD,
                cause='more room there',
                retry_after_s=1.0,
                stored=True,
            ),
        )
        await asyncio.sleep(0.2)
        self.close_link(other)

    def open_link(self) -> Any:
        """Open a link to the leader of another shard."""
        opened = shard_samples.FakeLink('other-vm')
        links: Any = self.node.links
        links.open_links['other-vm'] = [opened]
        self.node.opened(opened)  # type: ignore[arg-type]
        self.node.received(
            opened,  # type: ignore[arg-type]
            messages.Heartbeat(
                version=0, shards=((OTHER_SHARD, 1, 0, 5, True),), pending=()
            ),
        )
        return opened

    def close_link(self, closed: Any) -> None:
        """Close the link to the leader of another shard."""
        links: Any = self.node.links
        links.open_links.pop('other-vm')
        closed.timed_out = False
        self.node.closed(closed)

    async def query(self, job: ids.JobId) -> job_manager.JobReply:
        return await self.node.job_service.query(job, 3)

    @property
    def manager(self) -> job_manager.JobManager:
        return self.node.job_service.managers[self.shard]


def make_token(epoch: int, rank: int = 0) -> fencing.FencingToken:
    return fencing.FencingToken(epoch=epoch, rank=rank)


def with_rig(scenario: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        await scenario(Rig())

    virtual_time.run(main)


class TestRenewedToken(testtools.TestCase):
    def test_jobs_stored_by_another_process_are_loaded(self) -> None:
        """Guards against 410 or 503 for good after a renewal (review case 4).

        Another process led the shard for a while, and this one has kept the
        jobs that it had loaded before.
        """

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            kept = await rig.store_job()
            other = await rig.store_job_elsewhere(make_token(1, rank=1))
            await rig.lead(2)
            self.assertEqual(_Reply.QUEUED, await rig.query(other))
            self.assertEqual(_Reply.QUEUED, await rig.query(kept))
            later = await rig.store_job()
            self.assertEqual(_Reply.QUEUED, await rig.query(later))

        with_rig(scenario)

    def test_jobs_are_kept_if_no_other_process_wrote_them(self) -> None:
        """Guards against interrupted jobs after each change of successors."""

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            job = await rig.store_job()
            manager = rig.manager
            await rig.lead(2)
            self.assertIs(manager, rig.manager)
            self.assertEqual(_Reply.QUEUED, await rig.query(job))
            await rig.store_job()

        with_rig(scenario)

    def test_delayed_takeover_of_a_former_leader_fails(self) -> None:
        """Guards against a former leader that takes over the jobs again.

        Its token is lower than the renewed one, which the store must know.
        """

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            await rig.lead(3)
            with testtools.ExpectedException(AssertionError, '.*UNAVAILABLE.*'):
                await rig.store_job_elsewhere(make_token(2))
            await rig.store_job()

        with_rig(scenario)

    def test_token_is_renewed_once_the_store_is_available(self) -> None:
        """Guards against jobs that are refused for good after an outage."""

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            rig.store.is_down = True
            await rig.lead(2)
            await asyncio.sleep(5)
            rig.store.is_down = False
            await asyncio.sleep(1)
            await rig.store_job()

        with_rig(scenario)


class TestLostTable(testtools.TestCase):
    def test_leader_steps_down_if_a_newer_one_writes_the_table(self) -> None:
        """Guards against jobs that are refused for good.

        A leader that has no link to its successor learns of it from the store
        only.
        """

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            await rig.store_job_elsewhere(make_token(2))
            reply = await rig.node.job_service.store(rig.stored_job(), 1)
            self.assertNotEqual(_Reply.ACCEPTED, reply)
            self.assertNotIn(rig.shard, rig.node.led_shards.shards)

        with_rig(scenario)

    def test_jobs_are_loaded_again_after_an_error(self) -> None:
        """Guards against jobs that are refused for good after one error."""

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            commit = fenced_rows.FencedRows.commit

            async def fail(*_: Any) -> None:
                raise ValueError('test')

            self.patch(fenced_rows.FencedRows, 'commit', fail)
            reply = await rig.node.job_service.store(rig.stored_job(), 1)
            self.assertNotEqual(_Reply.ACCEPTED, reply)
            self.patch(fenced_rows.FencedRows, 'commit', commit)
            await asyncio.sleep(2)
            await rig.store_job()

        with_rig(scenario)


class TestReplacedManager(testtools.TestCase):
    """A manager that has not learned that another process took over."""

    def test_manager_asks_the_store_before_it_sends_over_a_new_link(
        self,
    ) -> None:
        """Guards against tasks that start again (review cases 1, 6 and 7).

        The link to another zone's leader opens before the one to the new
        leader of the home shard. The other leader need not know of it.
        """

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            job = await rig.store_job()
            await rig.move_task(job)
            await rig.store_job_elsewhere(make_token(2))
            other = rig.open_link()
            await asyncio.sleep(1)
            self.assertEqual([], submissions(other))
            self.assertNotIn(rig.shard, rig.node.led_shards.shards)

        with_rig(scenario)

    def test_confirmed_manager_sends_over_a_new_link(self) -> None:
        """Guards against jobs that wait for good after a lost link."""

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            job = await rig.store_job()
            await rig.move_task(job)
            other = rig.open_link()
            await asyncio.sleep(0.2)
            submission = shard_samples.only_item(submissions(other))
            self.assertEqual(job, submission.job)
            self.assertEqual((rig.shard, 1, 0), submission.authority)

        with_rig(scenario)

    def test_nothing_is_sent_while_the_store_is_down(self) -> None:
        """Guards against unconfirmed work, and against work that is lost."""

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            job = await rig.store_job()
            await rig.move_task(job)
            rig.store.is_down = True
            other = rig.open_link()
            await asyncio.sleep(5)
            self.assertEqual([], submissions(other))
            rig.store.is_down = False
            await asyncio.sleep(1)
            self.assertEqual(1, len(submissions(other)))

        with_rig(scenario)

    def test_refused_manager_steps_down(self) -> None:
        """Guards against a replaced manager that holds its jobs for good."""

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            job = await rig.store_job()
            rig.node.received(
                rig.open_link(), outdated_authority(rig.shard, job, 2)
            )
            await asyncio.sleep(0.1)
            self.assertNotIn(rig.shard, rig.node.led_shards.shards)

        with_rig(scenario)

    def test_refused_tasks_are_sent_again_under_a_renewed_token(self) -> None:
        """Guards against a job that stays without runs (review case 1)."""

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            job = await rig.store_job()
            await rig.move_task(job)
            other = rig.open_link()
            await asyncio.sleep(0.2)
            await rig.lead(2)
            rig.node.received(other, outdated_authority(rig.shard, job, 2))
            await asyncio.sleep(0.2)
            self.assertEqual(
                [(rig.shard, epoch, 0) for epoch in (1, 2)],
                [submission.authority for submission in submissions(other)],
            )

        with_rig(scenario)

    def test_replaced_without_a_higher_token_is_sent_again(self) -> None:
        """Guards against jobs that stay running for good (review case 1).

        The execution of the valid manager ended permanently.
        """

        async def scenario(rig: Rig) -> None:
            await rig.lead(1)
            job = await rig.store_job()
            await rig.move_task(job)
            other = rig.open_link()
            await asyncio.sleep(0.2)
            rig.node.received(
                other,
                messages.RunEnded(
                    shard=OTHER_SHARD,
                    job=job,
                    step=0,
                    index=0,
                    run=1,
                    result='replaced',
                    stored=True,
                ),
            )
            await asyncio.sleep(0.2)
            self.assertEqual(2, len(submissions(other)))

        with_rig(scenario)


def submissions(link: Any) -> list[messages.Submit]:
    """Return the submissions that were sent over a link."""
    return [
        message for message in link.sent if isinstance(message, messages.Submit)
    ]


def outdated_authority(
    home: ids.ShardId, job: ids.JobId, epoch: int
) -> messages.OutdatedAuthority:
    return messages.OutdatedAuthority(
        shard=OTHER_SHARD, job=job, authority=(home, epoch, 0)
    )


class Zone:
    """VMs of one zone whose links are all silent, with a common store."""

    def __init__(self, *names: str) -> None:
        self.store = samples.MemoryStore()
        self.nodes = {
            name: samples.make_node(self.store, None, vm=ids.VmId(name))
            for name in names
        }
        self.shard = self.nodes[names[0]].home_shard
        self.frozen: set[str] = set()

    async def run(self, duration_s: float) -> None:
        """Let the VMs that are not frozen read the store, and tick."""
        clock = virtual_time.LoopClock()
        until = clock.now() + duration_s
        while clock.now() < until:
            for name, member_node in self.nodes.items():
                if name not in self.frozen:
                    member_node.registry_changed(
                        self.store.rows.read(registry.TABLE).rows
                    )
                    member_node.led_shards.tick(clock.now(), may_claim=True)
            await asyncio.sleep(0.01)

    def register(self) -> None:
        for member_node in self.nodes.values():
            write = registry.member_write(member_node.member)
            self.store.rows.put(write.key, write.body)

    def link_to_another_vm(self, name: str) -> None:
        """Link a VM to one that does nothing, so that it is not isolated."""
        links: Any = self.nodes[name].links
        links.open_links['other'] = [shard_samples.FakeLink('other')]

    def leaders(self) -> list[str]:
        return [
            name
            for name, member_node in self.nodes.items()
            if self.shard in member_node.led_shards.shards
        ]


class TestSilentLinks(testtools.TestCase):
    def test_live_leader_is_not_replaced(self) -> None:
        """Guards against 410 for accepted jobs (review case 4).

        A VM whose links are silent claimed the shards of live leaders, whose
        workers then refused these leaders' orders.
        """

        async def scenario() -> None:
            zone = Zone('a', 'b')
            zone.register()
            await zone.run(5)
            leader = zone.leaders()[0]
            zone.link_to_another_vm(leader)
            for _ in range(20):
                await zone.run(0.5)
                self.assertEqual([leader], zone.leaders())

        virtual_time.run(scenario)

    def test_frozen_leader_is_replaced_and_steps_down(self) -> None:
        """Guards against two leaders for good, and against none."""

        async def scenario() -> None:
            zone = Zone('a', 'b')
            zone.register()
            await zone.run(5)
            leader = zone.leaders()[0]
            zone.frozen.add(leader)
            # Nothing is dialed here, which takes up to this long.
            await zone.run(claiming.CHECK_TIMEOUT_S + 1)
            zone.frozen.clear()
            await zone.run(0.05)
            self.assertEqual(
                [name for name in zone.nodes if name != leader],
                zone.leaders(),
            )
            await zone.run(5)
            self.assertEqual(1, len(zone.leaders()))

        virtual_time.run(scenario)


class TestNewerClaims(testtools.TestCase):
    def test_shards_with_newer_claims_may_be_lost_together(self) -> None:
        """Guards against an error in the task that follows the registry.

        Stepping down from one shard may end the leadership of another.
        """

        async def scenario() -> None:
            member_node = samples.make_node(samples.MemoryStore(), None)
            led_shards = member_node.led_shards
            led = [member_node.home_shard, ids.ShardId('another')]
            for shard in led:
                led_shards.lead(shard, make_token(1))

            def lose_others(_: ids.ShardId) -> None:  # noqa: WPS430
                for other in list(led_shards.shards):
                    led_shards.step_down(other, 'a VM has a higher token')

            self.patch(member_node, 'shard_lost', lose_others)
            member_node.registry_changed(
                tuple(
                    store.Row(key=write.key, revision=number, body=write.body)
                    for number, write in enumerate(
                        map(claim_by_another_process, led), start=1
                    )
                )
            )
            self.assertEqual({}, led_shards.shards)

        virtual_time.run(scenario)


def claim_by_another_process(shard: ids.ShardId) -> store.Write:
    return registry.claim_write(
        registry.Claim(
            cell=shard,
            epoch=2,
            owner=(ids.VmId('other'), ids.Incarnation('other')),
            heirs=(),
            revision=0,
        )
    )
