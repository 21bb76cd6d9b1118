"""Tests that the record store never reports a used key as new."""

import asyncio
import random
from typing import Any

import testtools
from testtools import matchers

from sardineproxy import verdicts
from sardineproxy.request import documents, keys, records, work
from tests.request import test_keys

CUSTOMER, OTHER_CUSTOMER = test_keys.CUSTOMER, test_keys.OTHER_CUSTOMER
RAN = verdicts.Verdict.RAN
TTL_S = 900


class RecordStoreCase(testtools.TestCase):
    """Base class with a record store and a key issuer."""

    def make_record_store(self, **bounds: Any) -> None:
        self.key_issuer = test_keys.make_key_issuer()
        bounds = {'max_records': 10, 'max_reply_bytes': 1000, **bounds}
        self.record_store = records.RecordStore(
            key_issuer=self.key_issuer,
            key_ttl_s=TTL_S,
            record_ttl_s=TTL_S,
            **bounds,
        )

    def issue_key(self, customer: Any = CUSTOMER, now: float = 0) -> keys.Key:
        key = keys.parse(self.key_issuer.issue(customer=customer, now=now))
        assert key is not None
        return key

    def open_record(
        self, key: keys.Key, customer: Any = CUSTOMER, now: float = 0
    ) -> records.Record:
        record = records.Record(
            request_id=key.text,
            customer=customer,
            kind=work.TaskKind.SINGLE,
            fingerprint=b'f',
            size=1,
            task_count=1,
            started_at=now,
            reply_future=asyncio.Future(loop=self.loop),
            sequence=key.sequence,
        )
        self.record_store.open(record=record)
        return record

    def close_record(
        self, record: records.Record, now: float = 0, size: int = 1
    ) -> None:
        record.ended_at = now
        record.reply_future.set_result(
            documents.Reply(
                status=200, headers=(), body=bytes(size), verdict=RAN
            )
        )
        self.record_store.close(record=record)

    def add_tombstone(
        self, key: keys.Key, customer: Any = CUSTOMER, now: float = 0
    ) -> None:
        arguments = {
            'fingerprint': None,
            'problem': keys.malformed_key(),
            'now': now,
        }
        self.record_store.add_tombstone(key=key, customer=customer, **arguments)

    def find(
        self, key: keys.Key, customer: Any = CUSTOMER, now: float = 0
    ) -> Any:
        return self.record_store.find(key=key, customer=customer, now=now)

    def setUp(self) -> None:
        super().setUp()
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)


class RetentionTest(RecordStoreCase):
    """Guards against evicted entries whose keys start work again."""

    def test_verdict_outlives_the_evicted_reply(self) -> None:
        self.make_record_store(max_reply_bytes=5)
        first, second = self.issue_key(), self.issue_key()
        for key in (first, second):
            self.close_record(self.open_record(key), size=4)
        tombstone = self.find(first)
        self.assertEqual('answer_dropped', tombstone.problem.code)
        self.assertIs(RAN, tombstone.problem.verdict)
        self.assertIsInstance(self.find(second), records.Record)

    def test_records_of_the_busiest_customer_are_evicted_first(self) -> None:
        """Guards against one customer's load that evicts another's replies."""
        self.make_record_store(max_records=3)
        kept_key = self.issue_key()
        self.close_record(self.open_record(kept_key))
        for _ in range(20):
            self.close_record(
                self.open_record(self.issue_key(OTHER_CUSTOMER), OTHER_CUSTOMER)
            )
        self.assertIsInstance(self.find(kept_key), records.Record)

    def test_evicted_tombstone_voids_older_keys_of_its_customer(self) -> None:
        self.make_record_store(max_records=2)
        older, kept_key = self.issue_key(OTHER_CUSTOMER), self.issue_key()
        keys_with_tombstone = [self.issue_key(OTHER_CUSTOMER) for _ in range(3)]
        for key in keys_with_tombstone:
            self.add_tombstone(key, OTHER_CUSTOMER)
        for key in (older, keys_with_tombstone[0]):
            self.assertIs(
                self.find(key, OTHER_CUSTOMER), records.UnrecordedKey.VOID
            )
        self.assertIs(self.find(kept_key), records.UnrecordedKey.NEW)

    def test_no_used_key_becomes_new(self) -> None:
        """Guards against a used key that starts work again after eviction.

        A small store is used at random and compared with the set of used keys.
        """
        rng = random.Random(7)
        self.make_record_store(max_records=4, max_reply_bytes=20)
        now, issued, running = 0, [], []
        used: set[keys.Key] = set()
        for _ in range(5000):
            now += rng.choice((0, 9, 45))
            issued = [*issued, self.issue_key(now=now)][-30:]
            key = rng.choice(issued)
            entry = self.find(key, now=now)
            if entry is records.UnrecordedKey.NEW:
                self.assertThat(used, matchers.Not(matchers.Contains(key)))
                used.add(key)
                if self.record_store.is_full() or rng.randrange(10) < 3:
                    self.add_tombstone(key, now=now)
                else:
                    running.append(self.open_record(key, now=now))
            if running and rng.randrange(2):
                record = running.pop(rng.randrange(len(running)))
                self.close_record(record, now=now, size=rng.randrange(10))
        self.assertThat(len(used), matchers.GreaterThan(1000))

    def test_expired_entries_are_removed(self) -> None:
        self.make_record_store()
        key = self.issue_key()
        self.close_record(self.open_record(key), now=50)
        self.assertIsInstance(self.find(key, now=949), records.Record)
        self.assertIs(self.find(key, now=951), records.UnrecordedKey.VOID)
        self.assertEqual(0, self.record_store.state()[CUSTOMER]['answer_bytes'])
