"""Evacuated zones at several VMs, of which some cannot reach the store."""

import asyncio
import dataclasses
import random
from typing import Any, Callable, Coroutine

import result
import testtools
from testtools import matchers

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process import store
from sardineproxy.process.membership import capacity_rows, evacuations
from sardineproxy.process.node import feeds, node
from sardineproxy.process.shards import fencing
from sardineproxy.process.stored_jobs import job_manager, records
from sardineproxy.standin import worker_model
from tests import virtual_time
from tests.process.node import samples
from sardineproxy.standin import worker_calls as faults
from tests.process.shards import samples as shard_samples

HOME = ids.ShardId('z1')
ROW = 'op/evacuate/z1'
EVACUATE_S = 5.0

_Status = evacuations.Status


class SlowStore(samples.MemoryStore):
    """Delays responses, waits for changes, and can lose responses."""

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.004
        self.is_silent = False
        self.lost_share: float = 0
        self._rng = random.Random(7)

    async def read(self, table: str, *, part: str = '') -> Any:
        return await self._respond(await super().read(table, part=part))

    async def changes(self, table: str, *, after: int, wait_s: float) -> Any:
        ends_at = asyncio.get_running_loop().time() + wait_s
        outcome = await super().changes(table, after=after, wait_s=wait_s)
        while (
            isinstance(outcome, result.Ok)
            and not outcome.ok_value.rows
            and asyncio.get_running_loop().time() < ends_at
        ):
            await asyncio.sleep(0.01)
            outcome = await super().changes(table, after=after, wait_s=wait_s)
        return await self._respond(outcome)

    async def transact(self, **changes: Any) -> Any:
        return await self._respond(await super().transact(**changes))

    async def _respond(self, outcome: Any) -> Any:
        if self.is_silent or self._rng.random() < self.lost_share:
            await asyncio.sleep(0.6)
            return result.Err(
                store.StoreError(
                    kind=store.ErrorKind.UNAVAILABLE, detail='lost'
                )
            )
        await asyncio.sleep(self.delay_s)
        return outcome


class Rig:
    """A node with one modelled worker that leads its home shard."""

    def __init__(self, rows: SlowStore, **changes: Any) -> None:
        self.clock = virtual_time.LoopClock()
        self.store = rows
        self.model = worker_model.WorkerModel(
            worker=shard_samples.make_worker(zone=ids.ZoneId(HOME)),
            work_of=shard_samples.typical_work,
        )
        bounds = dataclasses.replace(
            samples.make_deployment().bounds, evacuate_s=EVACUATE_S
        )
        self.node = samples.make_node(
            rows,
            faults.FaultyWorkerApi(models={'w0': self.model}, clock=self.clock),
            bounds=bounds,
            **changes,
        )
        self.feeds: feeds.Feeds = self.node._feeds
        self.feeds.configuration.read_at = None
        self._tasks: list[asyncio.Task[None]] = []
        self._jobs = 0

    def start(self) -> None:
        """Follow the operator's table and the registry, and tick."""
        for follower in (self.feeds.configuration, self.feeds.registry):
            self._tasks.append(asyncio.create_task(follower.run()))
        self._tasks.append(asyncio.create_task(self._tick()))

    def lead(self) -> None:
        self.node.led_shards.lead(HOME, fencing.FencingToken(epoch=1, rank=0))
        self.list_workers()
        self.node.led_shards.shards[HOME].set_workers(
            [self.model.worker], complete=True
        )

    async def count_starts(self, time_s: float) -> int:
        """Submit a job every 0.1 s; return how many tasks were started."""
        before = len(self.model.records)
        for _ in range(round(time_s / 0.1)):
            self._jobs += 1
            self.node.led_shards.submit(
                shard_samples.FakeLink(),  # type: ignore[arg-type]
                shard_samples.make_submit(
                    f'{self._jobs:016x}', shard=HOME, millicores=100
                ),
                self.clock.now(),
            )
            self.list_workers()
            await asyncio.sleep(0.1)
            self.model.advance(self.clock.now())
        return len(self.model.records) - before

    def list_workers(self) -> None:
        """Read the list of workers, if the store responds."""
        if self.store.is_silent or self.store.is_down:
            return
        self.feeds.worker_list.last_success_at = self.clock.now()
        self.feeds.worker_list.read_at = self.clock.now()

    def report_capacity(self, shard: str) -> None:
        """Receive the heartbeat of another shard's leader."""
        self.node.leaders.update(
            ids.VmId(f'vm-{shard}'),
            messages.Heartbeat(
                version=1,
                shards=((ids.ShardId(shard), 1, 0, 10, True),),
                pending=(),
                free_capacity=capacity_rows.encode(
                    (
                        shard_samples.make_classes(
                            10, service=samples.ROUTE.service
                        ),
                    )
                ),
            ),
            self.clock.now(),
        )
        self.node._choose_leaders()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.node.close()

    async def _tick(self) -> None:
        while True:
            self.node.led_shards.tick(self.clock.now(), may_claim=False)
            await asyncio.sleep(node.TICK_S)


def with_rig(
    scenario: Callable[[Rig], Coroutine[Any, Any, None]],
) -> None:
    async def main() -> None:
        rig = Rig(SlowStore())
        rig.start()
        await scenario(rig)
        await rig.close()

    virtual_time.run(main)


class TestEvacuation(testtools.TestCase):
    def test_no_task_is_started_until_the_row_is_removed(self) -> None:
        """Guards against starts in a zone that an operator has evacuated.

        A second evacuation must take effect like the first one.
        """

        async def scenario(rig: Rig) -> None:
            rig.lead()
            await asyncio.sleep(0.2)
            for _ in range(2):
                self.assertThat(
                    await rig.count_starts(2), matchers.GreaterThan(0)
                )
                rig.store.rows.put(ROW, b'')
                await rig.count_starts(0.1)
                self.assertEqual(0, await rig.count_starts(10))
                rig.store.rows.put(ROW, None)
                await rig.count_starts(2)

        with_rig(scenario)

    def test_slow_store_and_lost_responses_stay_within_the_bound(self) -> None:
        """Guards against starts after the bound because a response was lost."""

        async def scenario(rig: Rig) -> None:
            rig.lead()
            rig.store.delay_s = 0.38
            rig.store.lost_share = 0.3
            for _ in range(5):
                await rig.count_starts(4)
                rig.store.rows.put(ROW, b'')
                await rig.count_starts(EVACUATE_S)
                self.assertEqual(0, await rig.count_starts(5))
                rig.store.rows.put(ROW, None)

        with_rig(scenario)

    def test_copy_that_is_too_old_is_not_used(self) -> None:
        """Guards against a leader whose reads of one table are all refused.

        The store can be reached, as other tables show.
        """

        async def scenario(rig: Rig) -> None:
            rig.lead()
            await rig.count_starts(1)
            rig.feeds.configuration._fetch_changes = _refuse  # type: ignore
            await rig.count_starts(EVACUATE_S)
            self.assertEqual(0, await rig.count_starts(5))

        with_rig(scenario)

    def test_outage_does_not_stop_the_starts(self) -> None:
        """Guards against zones that stand still while the store is down."""

        async def scenario(rig: Rig) -> None:
            rig.lead()
            await rig.count_starts(1)
            rig.store.is_silent = True
            await rig.count_starts(EVACUATE_S)
            self.assertThat(await rig.count_starts(5), matchers.GreaterThan(20))

        with_rig(scenario)


class TestWorkerList(testtools.TestCase):
    def test_one_lost_read_is_no_outage(self) -> None:
        """Guards against starts with an old list after a failed read.

        Other tables show that the store can be read.
        """

        async def scenario(rig: Rig) -> None:
            await asyncio.sleep(1)
            worker_list = rig.feeds.worker_list
            worker_list._failures = 1
            worker_list.healthy_since = None
            self.assertTrue(rig.node.is_worker_list_available())
            rig.store.is_silent = True
            await asyncio.sleep(3)
            self.assertFalse(rig.node.is_worker_list_available())

        with_rig(scenario)

    def test_leader_that_the_store_turns_away_goes_on(self) -> None:
        """Guards against a zone that stands still while its leader is refused.

        The store may refuse all calls of some VMs for seconds and serve others.
        """

        async def scenario(rig: Rig) -> None:
            rig.lead()
            await rig.count_starts(1)
            rig.store.is_down = True
            rig.feeds.worker_list._failures = 1
            await rig.count_starts(EVACUATE_S)
            self.assertThat(await rig.count_starts(5), matchers.GreaterThan(20))

        with_rig(scenario)

    def test_list_is_as_old_as_the_call_that_read_it(self) -> None:
        """Guards against a change that a delayed response does not contain."""

        async def scenario(rig: Rig) -> None:
            sent_at = rig.clock.now()
            rig.store.delay_s = 0.5
            rig.feeds.worker_list.poll_now()
            reading = asyncio.create_task(rig.feeds.worker_list.run())
            await asyncio.sleep(0.6)
            reading.cancel()
            self.assertEqual(sent_at, rig.node.workers_listed_at())

        with_rig(scenario)


class TestTakeover(testtools.TestCase):
    def test_new_leader_reads_the_row_before_its_first_start(self) -> None:
        """Guards against starts by a process that has just started.

        Its first read is lost, and the second one takes long.
        """

        async def main() -> None:
            rows = SlowStore()
            rows.rows.put(ROW, b'')
            rig = Rig(rows)
            rows.is_silent = True
            rig.start()
            rig.lead()
            rig.feeds.registry.last_success_at = rig.clock.now()
            await asyncio.sleep(0.3)
            rows.is_silent = False
            rows.delay_s = 0.38
            self.assertEqual(0, await rig.count_starts(10))
            await rig.close()

        virtual_time.run(main)

    def test_evacuated_zone_without_a_leader_stays_evacuated(self) -> None:
        """Guards against starts after a zone was lost and taken over."""

        async def scenario(rig: Rig) -> None:
            rig.store.rows.put(ROW, b'')
            await asyncio.sleep(1)
            rig.lead()
            self.assertEqual(0, await rig.count_starts(2))
            rig.node.led_shards.step_down(HOME, 'test')
            rig.node.led_shards.lead(
                HOME, fencing.FencingToken(epoch=2, rank=0)
            )
            rig.node.led_shards.shards[HOME].set_workers(
                [rig.model.worker], complete=True
            )
            self.assertEqual(0, await rig.count_starts(2))

        with_rig(scenario)


class TestPeers(testtools.TestCase):
    def test_set_reaches_a_vm_without_a_store(self) -> None:
        """Guards against starts by a VM that cannot read the row itself."""

        async def main() -> None:
            rows = SlowStore()
            reader, cut_off = Rig(rows), Rig(SlowStore())
            cut_off.store.is_silent = True
            reader.start()
            cut_off.start()
            cut_off.lead()
            await asyncio.sleep(2)
            rows.rows.put(ROW, b'')
            await asyncio.sleep(0.1)
            link: Any = shard_samples.FakeLink()
            reader.node._evacuation_sync.opened(link)
            cut_off.node.received(link, shard_samples.only_item(link.sent))
            self.assertEqual(0, await cut_off.count_starts(5))
            await reader.close()
            await cut_off.close()

        virtual_time.run(main)

    def test_older_set_of_a_peer_is_answered_with_the_newer_one(self) -> None:
        """Guards against a peer that was cut off before the request."""

        async def scenario(rig: Rig) -> None:
            rig.store.rows.put(ROW, b'')
            await asyncio.sleep(0.2)
            link: Any = shard_samples.FakeLink()
            rig.node.received(
                link, messages.EvacuatedZones(revision=0, zones=())
            )
            self.assertEqual(_Status.EVACUATED, _status(rig))
            self.assertEqual(
                (('z1', 1),), shard_samples.only_item(link.sent).zones
            )

        with_rig(scenario)

    def test_removed_row_does_not_return_from_a_peer(self) -> None:
        """Guards against a zone that stays evacuated for good.

        A peer that has lost the store before the removal still sends the row,
        also to a process that started afterwards.
        """

        async def scenario(rig: Rig) -> None:
            revision = rig.store.rows.put(ROW, b'')
            rig.store.rows.put(ROW, None)
            await asyncio.sleep(0.2)
            link: Any = shard_samples.FakeLink()
            rig.node.received(
                link,
                messages.EvacuatedZones(
                    revision=revision,
                    zones=(('z1', revision),),  # type: ignore
                ),
            )
            self.assertEqual(_Status.OPEN, _status(rig))
            self.assertEqual((), shard_samples.only_item(link.sent).zones)

        with_rig(scenario)

    def test_nothing_is_sent_if_no_zone_was_evacuated(self) -> None:
        """Guards against messages that older processes do not know."""

        async def scenario(rig: Rig) -> None:
            await asyncio.sleep(0.5)
            link: Any = shard_samples.FakeLink()
            rig.node._evacuation_sync.opened(link)
            self.assertEqual([], link.sent)

        with_rig(scenario)


class TestStoredJobs(testtools.TestCase):
    def test_job_of_an_evacuated_home_shard_runs_elsewhere(self) -> None:
        """Guards against stored jobs that stand still with their home shard.

        The zone's leader still stores and manages them.
        """

        async def scenario(rig: Rig) -> None:
            rig.lead()
            rig.store.rows.put(ROW, b'')
            await asyncio.sleep(0.5)
            job = next(
                job
                for job in map(ids.JobId, map('{:016x}'.format, range(99)))
                if rig.node.job_service.home_shard(job) == HOME
            )
            link: Any = shard_samples.FakeLink('vm-z2')
            rig.node.links.open_links[link.peer.vm] = [link]
            rig.report_capacity('z2')
            reply = await rig.node.job_service.store(
                records.StoredJob(
                    job=samples.make_job(job_id=job, stored=True),
                    route=samples.ROUTE,
                    accepted_at=rig.clock.wall(),
                ),
                3,
            )
            self.assertIs(job_manager.JobReply.ACCEPTED, reply)
            await asyncio.sleep(0.5)
            submitted = [
                message
                for message in link.sent
                if isinstance(message, messages.Submit)
            ]
            self.assertEqual('z2', shard_samples.only_item(submitted).shard)
            rig.node.links.open_links.clear()

        with_rig(scenario)


class TestDefaultShard(testtools.TestCase):
    def test_jobs_of_an_evacuated_zone_go_to_all_others(self) -> None:
        """Guards against jobs that are sent to the evacuated zone.

        Neither may all of them go to one other zone.
        """

        async def scenario(rig: Rig) -> None:
            rig.lead()
            for shard in ('z2', 'z3', 'z4'):
                rig.report_capacity(shard)
            self.assertEqual(HOME, rig.node.default_shard())
            rig.store.rows.put(ROW, b'')
            rig.store.rows.put('op/evacuate/z4', b'')
            await asyncio.sleep(0.1)
            chosen = [rig.node.default_shard() for _ in range(200)]
            self.assertEqual({'z2', 'z3'}, set(chosen))
            self.assertThat(chosen.count(ids.ShardId('z2')), _is_about(100))

        with_rig(scenario)


def _is_about(number: int) -> Any:
    return matchers.MatchesAll(
        matchers.GreaterThan(number * 0.7), matchers.LessThan(number * 1.3)
    )


def _status(rig: Rig) -> evacuations.Status:
    return rig.node.evacuation_status(HOME)


async def _refuse() -> Any:
    await asyncio.sleep(0.01)
    return result.Err(
        store.StoreError(kind=store.ErrorKind.UNAVAILABLE, detail='rate')
    )
