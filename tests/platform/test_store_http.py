"""Tests of the store's client against a server with fault injection."""

import asyncio
import contextlib
from typing import Any, Callable, Coroutine

import result
import testtools

from sardineproxy import deployment
from sardineproxy.platform import http_calls, store_http
from sardineproxy.process import store
from sardineproxy.standin import row_store
from tests.platform import store_server

_Kind = store.ErrorKind
_Fault = store_server.Fault


class Rig:
    """A store server and its client."""

    def __init__(self) -> None:
        self.rows = row_store.RowStore()
        self.server = store_server.StoreServer(rows=self.rows)
        self.client: store_http.HttpStore

    async def write(self, key: str, revision: int | None = None) -> Any:
        conditions = ()
        if revision is not None:
            conditions = (store.Condition(key=key, revision=revision),)
        return await self.client.transact(
            conditions=conditions, writes=(store.Write(key=key, body=b'new'),)
        )


def with_rig(scenario: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        rig = Rig()
        port = await rig.server.listen()
        async with contextlib.aclosing(http_calls.new_client()) as client:
            rig.client = store_http.HttpStore(
                client=client,
                address=deployment.Address(host='127.0.0.1', port=port),
            )
            await scenario(rig)

    asyncio.run(main())


def kind_of(outcome: Any) -> Any:
    return (
        outcome.err_value.kind if isinstance(outcome, result.Err) else outcome
    )


class TestReading(testtools.TestCase):
    def test_all_pages_of_a_table_are_read(self) -> None:
        """Guards against missing workers in large deployments.

        Their entries do not fit into one page of the store.
        """

        async def scenario(rig: Rig) -> None:
            for number in range(1203):
                rig.rows.put(f't/{number:05}', b'%d' % number)
            rig.rows.put('other/1', b'')
            outcome = await rig.client.read('t')
            self.assertEqual(1203, len(outcome.ok_value.rows))
            self.assertEqual('t/01202', outcome.ok_value.rows[-1].key)
            self.assertEqual(1204, outcome.ok_value.revision)

        with_rig(scenario)

    def test_changes_are_in_order_and_include_removals(self) -> None:
        """Guards against keeping rows that have been removed."""

        async def scenario(rig: Rig) -> None:
            rig.rows.put('t/a', b'1')
            rig.rows.put('t/b', b'2')
            rig.rows.put('t/a', None)
            outcome = await rig.client.changes('t', after=1, wait_s=0)
            self.assertEqual(
                [('t/b', b'2'), ('t/a', None)],
                [(row.key, row.body) for row in outcome.ok_value.rows],
            )

        with_rig(scenario)

    def test_all_pages_of_changes_are_read(self) -> None:
        """Guards against a list of workers that falls behind.

        The feed returns at most 500 changes. A VM that paused after each page
        started tasks on workers that had been draining for over 3 s.
        """

        async def scenario(rig: Rig) -> None:
            for number in range(1203):
                rig.rows.put(f't/{number:05}', b'%d' % number)
            outcome = await rig.client.changes('t', after=0, wait_s=0)
            self.assertEqual(1203, len(outcome.ok_value.rows))
            self.assertEqual(1203, outcome.ok_value.revision)

        with_rig(scenario)

    def test_change_during_a_read_of_several_pages_is_not_missed(self) -> None:
        """Guards against a row that stays outdated after a read.

        It changed after its page was read and before the last page was.
        """

        async def scenario(rig: Rig) -> None:
            for number in range(503):
                rig.rows.put(f't/{number:05}', b'old')
            get_page = rig.client._get

            async def get_and_change(*args: Any, **kwargs: Any) -> Any:
                response = await get_page(*args, **kwargs)
                rig.rows.put('t/00001', b'new')
                return response

            rig.client._get = get_and_change  # type: ignore[method-assign]
            table = (await rig.client.read('t')).ok_value
            rig.client._get = get_page  # type: ignore[method-assign]
            later = await rig.client.changes(
                't', after=table.revision, wait_s=0
            )
            self.assertEqual(
                [b'new'], [row.body for row in later.ok_value.rows]
            )

        with_rig(scenario)

    def test_feed_waits_for_a_change(self) -> None:
        """Guards against polling a feed that returns at once without changes."""

        async def scenario(rig: Rig) -> None:
            reading = asyncio.create_task(
                rig.client.changes('t', after=0, wait_s=20)
            )
            await asyncio.sleep(0.05)
            self.assertFalse(reading.done())
            rig.rows.put('t/a', b'1')
            outcome = await reading
            self.assertEqual(1, len(outcome.ok_value.rows))

        with_rig(scenario)

    def test_lost_history_is_an_error(self) -> None:
        """Guards against missing changes that the store no longer lists."""

        async def scenario(rig: Rig) -> None:
            rig.rows.put('t/a', b'1')
            rig.rows.truncate_history()
            outcome = await rig.client.changes('t', after=0, wait_s=0)
            self.assertEqual(_Kind.HISTORY_LOST, kind_of(outcome))

        with_rig(scenario)

    def test_refused_and_unanswered_reads_are_unavailable(self) -> None:
        """Guards against treating an outage as an empty table."""

        async def scenario(rig: Rig) -> None:
            for fault in (
                _Fault.UNAVAILABLE,
                _Fault.TOO_MANY_REQUESTS,
                _Fault.NO_RESPONSE,
            ):
                rig.server.fault = fault
                outcome = await rig.client.read('t')
                self.assertEqual(_Kind.UNAVAILABLE, kind_of(outcome))

        with_rig(scenario)


class TestWriting(testtools.TestCase):
    def test_condition_on_a_changed_row_is_a_conflict(self) -> None:
        """Guards against two shard leaders with the same fencing token.

        Two processes that read the same row both try to claim it.
        """

        async def scenario(rig: Rig) -> None:
            first = await rig.write('t/a', 0)
            self.assertEqual(1, first.ok_value)
            self.assertEqual(_Kind.CONFLICT, kind_of(await rig.write('t/a', 0)))
            second = await rig.write('t/a', 1)
            self.assertEqual(2, second.ok_value)

        with_rig(scenario)

    def test_refused_write_had_no_effect(self) -> None:
        """Guards against reporting a write as failed that took effect.

        A process would not know that it holds a claim.
        """

        async def scenario(rig: Rig) -> None:
            rig.server.fault = _Fault.UNAVAILABLE
            self.assertEqual(_Kind.UNAVAILABLE, kind_of(await rig.write('t/a')))
            self.assertIsNone(rig.rows.get('t/a'))

        with_rig(scenario)

    def test_unanswered_write_is_unknown(self) -> None:
        """Guards against reporting a write as refused that took effect.

        The store commits the write, and the response is lost.
        """

        async def scenario(rig: Rig) -> None:
            rig.server.fault = _Fault.RESPONSE_LOST
            self.assertEqual(_Kind.UNKNOWN, kind_of(await rig.write('t/a')))
            self.assertIsNotNone(rig.rows.get('t/a'))

        with_rig(scenario)

    def test_unsent_write_had_no_effect(self) -> None:
        """Guards against an unknown outcome while the store is unreachable."""

        async def scenario(rig: Rig) -> None:
            rig.client.set_address(deployment.Address(host='127.0.0.1', port=1))
            self.assertEqual(_Kind.UNAVAILABLE, kind_of(await rig.write('t/a')))

        with_rig(scenario)
