"""Copy of a table during changes and failures of the store."""

import asyncio
import random
from typing import Any, Callable, Coroutine

import testtools
from testtools import matchers

from sardineproxy.process import metrics, store
from sardineproxy.process.membership import table_follower
from tests import virtual_time
from tests.process.node import samples


class Rig:
    """A follower of one table of an in-memory store."""

    def __init__(self) -> None:
        self.store = samples.MemoryStore()
        self.received_rows: list[store.Row] = []
        self.timing = table_follower.PollTiming(wait_s=0, pause_s=0.5)
        self.follower = table_follower.TableFollower(
            table='t',
            source=self.store,
            timing=lambda: self.timing,
            clock=virtual_time.LoopClock(),
            rng=random.Random(1),
            metrics=metrics.Metrics(),
            on_rows=self.received_rows.extend,
        )
        self.task = asyncio.create_task(self.follower.run())

    def keys(self) -> list[str]:
        return sorted(self.follower.rows)


def with_rig(scenario: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        await scenario(Rig())

    virtual_time.run(main)


class TestFollower(testtools.TestCase):
    def test_changes_arrive_within_a_pause(self) -> None:
        """Guards against a copy that is not updated after the first read."""

        async def scenario(rig: Rig) -> None:
            rig.store.rows.put('t/a', b'1')
            await asyncio.sleep(1)
            rig.store.rows.put('t/a', None)
            rig.store.rows.put('t/b', b'2')
            await asyncio.sleep(1)
            self.assertEqual(['t/b'], rig.keys())
            self.assertIsNone(rig.received_rows[-2].body)

        with_rig(scenario)

    def test_rows_removed_in_lost_history_are_reported(self) -> None:
        """Guards against workers that stay listed forever.

        After the loss of the change history, the follower must infer
        removals from a full read.
        """

        async def scenario(rig: Rig) -> None:
            rig.store.rows.put('t/a', b'1')
            await asyncio.sleep(1)
            rig.store.rows.put('t/a', None)
            rig.store.rows.truncate_history()
            rig.store.rows.put('t/b', b'2')
            await asyncio.sleep(2)
            self.assertEqual(['t/b'], rig.keys())
            self.assertIn(
                't/a', [row.key for row in rig.received_rows if not row.body]
            )

        with_rig(scenario)

    def test_row_that_causes_an_error_leaves_the_others(self) -> None:
        """Guards against one odd row that ends the process or the following.

        The reader of the table fails for the row in a way that nobody thought
        of.
        """

        async def scenario(rig: Rig) -> None:
            received: list[str] = []

            def receive(rows: tuple[store.Row, ...]) -> None:
                if any(row.key == 't/odd' for row in rows):
                    raise KeyError('odd')
                received.extend(row.key for row in rows)

            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            rig.follower._on_rows = receive
            for key in ('a', 'odd', 'b'):
                rig.store.rows.put(f't/{key}', b'1')
            await asyncio.sleep(1)
            rig.store.rows.put('t/c', b'1')
            await asyncio.sleep(1)
            self.assertEqual(['t/a', 't/b', 't/c'], received)

        with_rig(scenario)

    def test_outage_is_detected_with_back_off(self) -> None:
        """Guards against a high call rate to a store that is down."""

        async def scenario(rig: Rig) -> None:
            await asyncio.sleep(1)
            self.assertIsNotNone(rig.follower.healthy_since)
            rig.store.is_down = True
            await asyncio.sleep(1)
            calls_before = rig.store.calls
            await asyncio.sleep(30)
            self.assertIsNone(rig.follower.healthy_since)
            self.assertThat(
                rig.store.calls - calls_before, matchers.LessThan(70)
            )
            rig.store.is_down = False
            rig.store.rows.put('t/a', b'1')
            await asyncio.sleep(2)
            self.assertEqual(['t/a'], rig.keys())

        with_rig(scenario)

    def test_poll_now_ends_a_pause(self) -> None:
        """Guards against a new leader that waits for its list of workers.

        A VM that leads no shard pauses for many seconds between two polls.
        """

        async def scenario(rig: Rig) -> None:
            await asyncio.sleep(0.1)
            rig.store.rows.put('t/a', b'1')
            rig.follower.poll_now()
            await asyncio.sleep(0.01)
            self.assertEqual(['t/a'], rig.keys())

        with_rig(scenario)

    def test_outdated_table_is_read_as_a_whole(self) -> None:
        """Guards against a new leader that reads minutes of changes.

        The list of workers is much shorter than the changes since its last
        read by a VM that seldom reads it.
        """

        async def scenario(rig: Rig) -> None:
            rig.timing = table_follower.PollTiming(
                wait_s=0, pause_s=10, max_changes_age_s=1.5
            )
            rig.store.rows.put('t/a', b'1')
            await asyncio.sleep(5)
            rig.store.rows.put('t/a', None)
            rig.store.rows.put('t/b', b'1')
            rig.store.rows.changes = None  # type: ignore[assignment]
            rig.follower.poll_now()
            await asyncio.sleep(0.1)
            self.assertEqual(['t/b'], rig.keys())

        with_rig(scenario)

    def test_table_is_read_on_request(self) -> None:
        """Guards against hundreds of VMs that read a list they do not use."""

        async def scenario(rig: Rig) -> None:
            await asyncio.sleep(1)
            rig.timing = table_follower.PollTiming(
                wait_s=0, pause_s=0, on_request=True
            )
            await asyncio.sleep(1)
            calls_before = rig.store.calls
            rig.store.rows.put('t/a', b'1')
            await asyncio.sleep(60)
            self.assertEqual(calls_before, rig.store.calls)
            rig.follower.poll_now()
            await asyncio.sleep(0.1)
            self.assertEqual(['t/a'], rig.keys())
            self.assertEqual(calls_before + 1, rig.store.calls)

        with_rig(scenario)

    def test_requested_reads_become_regular_ones(self) -> None:
        """Guards against a leader that does not follow its list of workers."""

        async def scenario(rig: Rig) -> None:
            regular_timing = rig.timing
            rig.timing = table_follower.PollTiming(
                wait_s=0, pause_s=0, on_request=True
            )
            await asyncio.sleep(60)
            rig.timing = regular_timing
            rig.follower.poll_now()
            await asyncio.sleep(0.1)
            rig.store.rows.put('t/a', b'1')
            await asyncio.sleep(1)
            self.assertEqual(['t/a'], rig.keys())

        with_rig(scenario)
