"""List of workers while entries expire and return."""

import json
import random
from typing import Any

import testtools

from sardineproxy import ids
from sardineproxy.platform import worker_entries
from sardineproxy.process import metrics, store
from sardineproxy.process.membership import table_follower, worker_list
from sardineproxy.process.shards import workers
from tests import virtual_time
from tests.platform import samples
from tests.process.node import samples as node_samples

SHARD = ids.ShardId('z1')


def make_list() -> worker_list.WorkerList:
    return worker_list.WorkerList(
        worker_id=worker_entries.parse_worker_id,
        decode=worker_entries.decode,
        metrics=metrics.Metrics(),
    )


def row(document: Any, key: str = 'i-1') -> store.Row:
    body = None if document is None else json.dumps(document).encode()
    return store.Row(key=f'servers/{key}', revision=1, body=body)


def names(found: list[workers.Worker] | None) -> list[str]:
    return sorted(worker.worker for worker in found or ())


class TestWorkerList(testtools.TestCase):
    def test_removed_entry_stays_listed_for_the_removal_delay(self) -> None:
        """Guards against dropping workers whose heartbeat is late.

        Their entries expire, and return with the next heartbeat.
        """
        tested = make_list()
        tested.update((row(samples.worker_entry()),), 10)
        tested.update((row(None),), 20)
        tested.drop_removed(healthy_since=0, now=22)
        self.assertEqual(1, len(tested.of_shard(SHARD)))
        tested.drop_removed(healthy_since=0, now=23)
        self.assertEqual([], tested.of_shard(SHARD))

    def test_entry_that_expired_in_an_outage_may_return(self) -> None:
        """Guards against dropping workers as soon as an outage ends.

        Entries that expired during the outage return shortly after its end.
        """
        tested = make_list()
        tested.update((row(samples.worker_entry()),), 10)
        tested.update((row(None),), 20)
        tested.drop_removed(healthy_since=None, now=40)
        tested.drop_removed(healthy_since=40, now=42)
        self.assertEqual(1, len(tested.of_shard(SHARD)))
        tested.update((row(samples.worker_entry()),), 42)
        tested.drop_removed(healthy_since=40, now=60)
        self.assertEqual(1, len(tested.of_shard(SHARD)))

    def test_malformed_entry_counts_as_removed(self) -> None:
        """Guards against orders based on an outdated entry.

        The last valid entry must not stay in use after a malformed one.
        """
        tested = make_list()
        tested.update((row(samples.worker_entry()),), 10)
        tested.update((row({'state': 'ready'}),), 20)
        tested.drop_removed(healthy_since=0, now=30)
        self.assertEqual([], tested.of_shard(SHARD))

    def test_malformed_entry_leaves_the_others_and_may_return(self) -> None:
        """Guards against an odd entry that hides the list behind it.

        Its worker gets no orders while the entry is malformed, and is used
        again with the worker's next heartbeat.
        """
        tested = make_list()
        deep = b'[' * 20_000
        odd = store.Row(key='servers/i-1', revision=2, body=deep)
        tested.update((row(samples.worker_entry()),), 10)
        tested.update((odd, row(samples.worker_entry(), 'i-2')), 11)
        self.assertEqual(
            ['i-2'], [worker.worker for worker in tested.of_shard(SHARD)]
        )
        self.assertEqual(['i-1'], list(tested.malformed_entries()))
        tested.update((row(samples.worker_entry()),), 12)
        self.assertEqual(2, len(tested.of_shard(SHARD)))
        self.assertEqual({}, tested.malformed_entries())

    def test_workers_that_left_the_list_are_known_for_a_while(self) -> None:
        """Guards against a new leader that misses a worker with runs.

        Its entry has expired or is malformed, and it runs on (review/15).
        """
        tested = make_list()
        tested.record_read(1)
        tested.update((row(samples.worker_entry()),), 10)
        tested.update((row(samples.worker_entry(), 'i-2'),), 10)
        for key, revision, body in (('i-1', 8, None), ('i-2', 9, b'odd')):
            tested.update(
                (
                    store.Row(
                        key=f'servers/{key}', revision=revision, body=body
                    ),
                ),
                20,
            )
        tested.drop_removed(healthy_since=0, now=30)
        self.assertEqual(
            ['i-1', 'i-2'], names(tested.find_former(SHARD, revision=7))
        )
        self.assertEqual(['i-2'], names(tested.find_former(SHARD, revision=8)))
        self.assertFalse(tested.is_listed(ids.WorkerId('i-1')))
        tested.drop_removed(
            healthy_since=0, now=20 + worker_list.FORMER_RETENTION_S
        )
        self.assertIsNone(tested.find_former(SHARD, revision=7))
        self.assertEqual(['i-2'], names(tested.find_former(SHARD, revision=8)))

    def test_former_workers_are_unknown_before_the_first_read(self) -> None:
        """Guards against a process that takes a gap for an empty list."""
        tested = make_list()
        self.assertIsNone(tested.find_former(SHARD, revision=3))
        tested.record_read(5)
        self.assertIsNone(tested.find_former(SHARD, revision=3))
        self.assertEqual([], tested.find_former(SHARD, revision=5))
        odd = store.Row(key='servers/i-7', revision=8, body=b'odd')
        tested.update((odd,), 10)
        self.assertIsNone(tested.find_former(SHARD, revision=7))
        self.assertEqual([], tested.find_former(SHARD, revision=8))

    def test_entry_that_names_another_zone_is_malformed(self) -> None:
        """Guards against two leaders that use one worker.

        A worker that has started again may be in another zone.
        """
        tested = make_list()
        tested.update((row(samples.worker_entry()),), 10)
        tested.update((row(samples.worker_entry(zone='z2')),), 11)
        tested.drop_removed(healthy_since=0, now=20)
        tested.update((row(samples.worker_entry(zone='z2')),), 20)
        for shard in (SHARD, ids.ShardId('z2')):
            self.assertEqual([], tested.of_shard(shard))
        restarted = samples.worker_entry(zone='z2', born=1_700_000_000_001)
        tested.update((row(restarted),), 21)
        self.assertEqual(1, len(tested.of_shard(ids.ShardId('z2'))))

    def test_list_is_complete_once_the_store_has_been_healthy(self) -> None:
        """Guards against a new leader that misses a worker with runs.

        Shortly after an outage, the worker's entry may still be missing.
        """

        async def main() -> table_follower.TableFollower:
            return table_follower.TableFollower(
                table='servers',
                source=node_samples.MemoryStore(),
                timing=lambda: table_follower.PollTiming(wait_s=0, pause_s=1),
                clock=virtual_time.LoopClock(),
                rng=random.Random(1),
                metrics=metrics.Metrics(),
                on_rows=lambda _: None,
            )

        def is_complete(healthy_since: float | None, now: float) -> bool:
            return worker_list.is_complete(
                source, store_healthy_since=healthy_since, now=now
            )

        source = virtual_time.run(main)
        self.assertFalse(is_complete(None, 10))
        self.assertFalse(is_complete(1, 10))
        source.last_success_at = 11
        self.assertFalse(is_complete(10, 11))
        source.last_success_at = 13
        self.assertTrue(is_complete(10, 13))
        self.assertFalse(is_complete(None, 13))
        self.assertFalse(is_complete(10, 30))
