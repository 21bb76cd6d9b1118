"""Records of the submissions that this incarnation has received.

A key's work starts at most once as long as its record, or the tombstone that
replaced it, outlives the key. Records that are evicted early are replaced by
tombstones without the reply; evicting a tombstone early voids all older keys
of the same customer that have no record. Eviction starts with the customer
that has the most records, reply bytes or tombstones, depending on the exceeded
limit, so that no customer can evict the entries of one that has fewer.
"""

import asyncio
import collections
import dataclasses
import enum

from sardineproxy import ids, problems
from sardineproxy.request import documents, keys, work

#: Interval at which expired records and tombstones are removed, in seconds.
SWEEP_INTERVAL_S = 1


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """One submission, from its admission until its reply is dropped."""

    request_id: ids.RequestId
    customer: ids.CustomerId
    kind: work.TaskKind

    #: Hash of the submission, to compare it with a repeated one.
    fingerprint: bytes

    #: Size of the submission's body, in bytes.
    size: int

    #: Number of tasks, and of those that have ended.
    task_count: int
    ended_tasks: int = 0

    #: Times of admission and of the reply, in monotonic seconds.
    started_at: float
    ended_at: float = 0

    cancelled: bool = False

    #: Reply to the caller; set once all tasks have ended.
    reply_future: asyncio.Future[documents.Reply]

    #: Sequence number of the key, None for a keyless request.
    sequence: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tombstone:
    """Entry of a key that must not start work any more, without a reply."""

    problem: problems.Problem

    #: Hash of the refused or evicted submission; None if the problem applies to
    #: every submission with the key.
    fingerprint: bytes | None

    #: Time in monotonic seconds.
    created_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Totals:
    """Sums over all customers, so that limits are checked in constant time."""

    ended: int = 0
    tombstones: int = 0
    reply_bytes: int = 0


class UnrecordedKey(enum.Enum):
    """Why a key has neither a record nor a tombstone."""

    #: It was not issued by this process for the customer.
    UNKNOWN = 'unknown'

    #: It may have been used; its record may have been dropped.
    VOID = 'void'

    #: It was never used and may start work.
    NEW = 'new'


class _CustomerEntries:
    """Ended records and tombstones of one customer, oldest first."""

    def __init__(self, totals: _Totals) -> None:
        self.ended: collections.OrderedDict[int, Record] = (
            collections.OrderedDict()
        )
        self.tombstones: collections.OrderedDict[int, Tombstone] = (
            collections.OrderedDict()
        )
        self.reply_bytes = 0

        #: Keys without an entry are void up to this sequence number.
        self.void_up_to = 0
        self._totals = totals

    def add_record(self, sequence: int, record: Record) -> None:
        self.ended[sequence] = record
        self._totals.ended += 1
        self._add_bytes(len(record.reply_future.result().body))

    def pop_record(self) -> tuple[int, Record]:
        sequence, record = self.ended.popitem(last=False)
        self._totals.ended -= 1
        self._add_bytes(-len(record.reply_future.result().body))
        return sequence, record

    def add_tombstone(self, sequence: int, tombstone: Tombstone) -> None:
        self.tombstones[sequence] = tombstone
        self._totals.tombstones += 1

    def pop_tombstone(self) -> int:
        sequence, _ = self.tombstones.popitem(last=False)
        self._totals.tombstones -= 1
        return sequence

    def remove_expired(
        self, *, ended_before: float, created_before: float
    ) -> None:
        while self.ended:
            if next(iter(self.ended.values())).ended_at > ended_before:
                break
            self.pop_record()
        while self.tombstones:
            if next(iter(self.tombstones.values())).created_at > created_before:
                break
            self.pop_tombstone()

    def _add_bytes(self, count: int) -> None:
        self.reply_bytes += count
        self._totals.reply_bytes += count


class RecordStore:
    """All records and tombstones, bounded in number, size and lifetime."""

    def __init__(
        self,
        *,
        key_issuer: keys.KeyIssuer,
        key_ttl_s: float,
        record_ttl_s: float,
        max_records: int,
        max_reply_bytes: int,
    ) -> None:
        """Create an empty store."""
        self._key_issuer = key_issuer
        self._key_ttl_s = key_ttl_s
        self._record_ttl_s = record_ttl_s
        self._max_records = max_records
        self._max_reply_bytes = max_reply_bytes
        self._running: dict[int, Record] = {}
        self._by_customer: dict[ids.CustomerId, _CustomerEntries] = {}
        self._totals = _Totals()
        self._next_sweep_at = float('-inf')

    def find(
        self, *, key: keys.Key, customer: ids.CustomerId, now: float
    ) -> Record | Tombstone | UnrecordedKey:
        """Return the entry of a key, or why the key has none."""
        if not self._key_issuer.is_genuine(key=key, customer=customer):
            return UnrecordedKey.UNKNOWN
        self._remove_expired(now)
        entries = self._entries_of(customer)
        entry = (
            self._running.get(key.sequence)
            or entries.ended.get(key.sequence)
            or entries.tombstones.get(key.sequence)
        )
        if entry is not None:
            return entry
        if now >= key.expires_at or key.sequence <= entries.void_up_to:
            return UnrecordedKey.VOID
        return UnrecordedKey.NEW

    def is_full(self) -> bool:
        """Return whether there are ``max_records`` running records."""
        return len(self._running) >= self._max_records

    def open(self, *, record: Record) -> None:
        """Add the record of a key that is about to start work."""
        assert record.sequence is not None
        assert not self.is_full()
        self._running[record.sequence] = record
        self._enforce_limits(record.started_at)

    def close(self, *, record: Record) -> None:
        """Move a record whose reply is complete to the ended ones."""
        if record.sequence is None:
            return
        self._running.pop(record.sequence)
        self._entries_of(record.customer).add_record(record.sequence, record)
        self._enforce_limits(record.ended_at)

    def add_tombstone(
        self,
        *,
        key: keys.Key,
        customer: ids.CustomerId,
        fingerprint: bytes | None,
        problem: problems.Problem,
        now: float,
    ) -> Tombstone:
        """Add a tombstone, so that a key without a record starts no work."""
        tombstone = Tombstone(
            problem=problem, fingerprint=fingerprint, created_at=now
        )
        self._entries_of(customer).add_tombstone(key.sequence, tombstone)
        self._enforce_limits(now)
        return tombstone

    def state(self) -> dict[str, dict[str, int]]:
        """Return the numbers of entries by customer, for the state dump."""
        return {
            customer: {
                'ended': len(entries.ended),
                'notes': len(entries.tombstones),
                'answer_bytes': entries.reply_bytes,
                'void_up_to': entries.void_up_to,
            }
            for customer, entries in sorted(self._by_customer.items())
        }

    def _entries_of(self, customer: ids.CustomerId) -> _CustomerEntries:
        entries = self._by_customer.get(customer)
        if entries is None:
            entries = _CustomerEntries(self._totals)
            self._by_customer[customer] = entries
        return entries

    def _enforce_limits(self, now: float) -> None:
        totals = self._totals
        all_entries = self._by_customer.values()
        while totals.ended and self._exceeds_max_records():
            _replace_oldest_record(max(all_entries, key=_ended_count), now)
        while totals.reply_bytes > self._max_reply_bytes:
            _replace_oldest_record(max(all_entries, key=_reply_bytes), now)
        while totals.tombstones > self._max_records:
            entries = max(all_entries, key=_tombstone_count)
            entries.void_up_to = max(
                entries.void_up_to, entries.pop_tombstone()
            )

    def _exceeds_max_records(self) -> bool:
        return len(self._running) + self._totals.ended > self._max_records

    def _remove_expired(self, now: float) -> None:
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + SWEEP_INTERVAL_S
        for entries in self._by_customer.values():
            entries.remove_expired(
                ended_before=now - self._record_ttl_s,
                created_before=now - self._key_ttl_s,
            )


def _replace_oldest_record(entries: _CustomerEntries, now: float) -> None:
    """Replace the oldest ended record by a tombstone with its verdict."""
    sequence, record = entries.pop_record()
    entries.add_tombstone(
        sequence,
        Tombstone(
            problem=documents.answer_dropped(
                record.reply_future.result().verdict
            ),
            fingerprint=record.fingerprint,
            created_at=now,
        ),
    )


def _ended_count(entries: _CustomerEntries) -> int:
    return len(entries.ended)


def _tombstone_count(entries: _CustomerEntries) -> int:
    return len(entries.tombstones)


def _reply_bytes(entries: _CustomerEntries) -> int:
    return entries.reply_bytes
