"""Records of the submissions that this incarnation has seen.

A key's work starts at most once as long as its record, or the note that
replaced it, outlives the key. Records that have to make room early are
replaced by notes without the answer; notes that have to make room early
void all older keys of the same customer that have no record. The customer
that holds the most makes room first, so that no customer can push out what
is kept for another.
"""

import asyncio
import collections
import dataclasses
import enum

from sardineproxy import ids, problems
from sardineproxy.request import documents, keys, work

#: Seconds between two searches for records and notes past their time.
SWEEP_INTERVAL_S = 1


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """One submission, from its admission until its answer is dropped."""

    request_id: ids.RequestId
    customer: ids.CustomerId
    kind: work.TaskKind

    #: Hash of the submission, to recognize it when it is sent again.
    fingerprint: bytes

    #: Bytes of the submission.
    size: int

    #: Number of tasks, and how many of them have ended.
    task_count: int
    ended_tasks: int = 0

    #: Monotonic seconds.
    started_at: float
    ended_at: float = 0

    cancelled: bool = False

    #: Done once all tasks have ended.
    reply_future: asyncio.Future[documents.Reply]

    #: Sequence number of the key; keyless requests have none.
    sequence: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tombstone:
    """What is still known of a key that will never start work again."""

    problem: problems.Problem

    #: None if any submission with the key gets this answer.
    fingerprint: bytes | None

    #: Monotonic seconds.
    created_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Totals:
    """Sums over all shelves, so that bounds are checked without a walk."""

    ended: int = 0
    notes: int = 0
    answer_bytes: int = 0


class UnrecordedKey(enum.Enum):
    """Why nothing is known of a key."""

    #: It was not minted by this process for the customer.
    UNKNOWN = 'unknown'

    #: It may have been used; its record may have been dropped.
    VOID = 'void'

    #: It was never used and may start work.
    NEW = 'new'


class _CustomerRecords:
    """What is kept for one customer, oldest first."""

    def __init__(self, totals: _Totals) -> None:
        self.ended: collections.OrderedDict[int, Record] = (
            collections.OrderedDict()
        )
        self.notes: collections.OrderedDict[int, Tombstone] = (
            collections.OrderedDict()
        )
        self.answer_bytes = 0
        self.void_up_to = 0
        self._totals = totals

    def put(self, sequence: int, record: Record) -> None:
        self.ended[sequence] = record
        self._totals.ended += 1
        self._add_bytes(len(record.reply_future.result().body))

    def pop(self) -> tuple[int, Record]:
        sequence, record = self.ended.popitem(last=False)
        self._totals.ended -= 1
        self._add_bytes(-len(record.reply_future.result().body))
        return sequence, record

    def put_note(self, sequence: int, note: Tombstone) -> None:
        self.notes[sequence] = note
        self._totals.notes += 1

    def pop_note(self) -> int:
        sequence, _ = self.notes.popitem(last=False)
        self._totals.notes -= 1
        return sequence

    def sweep(self, *, records_until: float, notes_until: float) -> None:
        while self.ended:
            if next(iter(self.ended.values())).ended_at > records_until:
                break
            self.pop()
        while self.notes:
            if next(iter(self.notes.values())).created_at > notes_until:
                break
            self.pop_note()

    def _add_bytes(self, count: int) -> None:
        self.answer_bytes += count
        self._totals.answer_bytes += count


class RecordStore:
    """All records and notes, bounded in number, size and time."""

    def __init__(
        self,
        *,
        key_issuer: keys.KeyIssuer,
        key_ttl_s: float,
        record_ttl_s: float,
        max_records: int,
        max_answer_bytes: int,
    ) -> None:
        """Start empty; times in seconds."""
        self._key_issuer = key_issuer
        self._key_ttl_s = key_ttl_s
        self._record_ttl_s = record_ttl_s
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._running: dict[int, Record] = {}
        self._by_customer: dict[ids.CustomerId, _CustomerRecords] = {}
        self._totals = _Totals()
        self._sweep_at = float('-inf')

    def find(
        self, *, key: keys.Key, customer: ids.CustomerId, now: float
    ) -> Record | Tombstone | UnrecordedKey:
        """Return what is known of a key that ``customer`` presents."""
        if not self._key_issuer.is_genuine(key=key, customer=customer):
            return UnrecordedKey.UNKNOWN
        self._sweep(now)
        shelf = self._customer_records(customer)
        held = (
            self._running.get(key.sequence)
            or shelf.ended.get(key.sequence)
            or shelf.notes.get(key.sequence)
        )
        if held is not None:
            return held
        if now >= key.expires_at or key.sequence <= shelf.void_up_to:
            return UnrecordedKey.VOID
        return UnrecordedKey.NEW

    def is_full(self) -> bool:
        """Tell whether no record can make room for another one."""
        return len(self._running) >= self._max_records

    def open(self, *, record: Record) -> None:
        """Add the record of a key that is about to start work."""
        assert record.sequence is not None
        assert not self.is_full()
        self._running[record.sequence] = record
        self._make_room(record.started_at)

    def close(self, *, record: Record) -> None:
        """Keep a record that has been answered."""
        if record.sequence is None:
            return
        self._running.pop(record.sequence)
        self._customer_records(record.customer).put(record.sequence, record)
        self._make_room(record.ended_at)

    def add_tombstone(
        self,
        *,
        key: keys.Key,
        customer: ids.CustomerId,
        fingerprint: bytes | None,
        problem: problems.Problem,
        now: float,
    ) -> Tombstone:
        """Remember that a key without a record will never start work."""
        note = Tombstone(
            problem=problem, fingerprint=fingerprint, created_at=now
        )
        self._customer_records(customer).put_note(key.sequence, note)
        self._make_room(now)
        return note

    def sizes(self) -> dict[str, dict[str, int]]:
        """Return what is held for each customer, for the state dump."""
        return {
            customer: {
                'ended': len(shelf.ended),
                'notes': len(shelf.notes),
                'answer_bytes': shelf.answer_bytes,
                'void_up_to': shelf.void_up_to,
            }
            for customer, shelf in sorted(self._by_customer.items())
        }

    def _customer_records(self, customer: ids.CustomerId) -> _CustomerRecords:
        shelf = self._by_customer.get(customer)
        if shelf is None:
            shelf = _CustomerRecords(self._totals)
            self._by_customer[customer] = shelf
        return shelf

    def _make_room(self, now: float) -> None:
        totals = self._totals
        shelves = self._by_customer.values()
        while totals.ended and self._exceeds_count():
            _replace_oldest(max(shelves, key=_count_of_ended), now)
        while totals.answer_bytes > self._max_answer_bytes:
            _replace_oldest(max(shelves, key=_answer_bytes), now)
        while totals.notes > self._max_records:
            shelf = max(shelves, key=_count_of_notes)
            shelf.void_up_to = max(shelf.void_up_to, shelf.pop_note())

    def _exceeds_count(self) -> bool:
        return len(self._running) + self._totals.ended > self._max_records

    def _sweep(self, now: float) -> None:
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL_S
        for shelf in self._by_customer.values():
            shelf.sweep(
                records_until=now - self._record_ttl_s,
                notes_until=now - self._key_ttl_s,
            )


def _replace_oldest(shelf: _CustomerRecords, now: float) -> None:
    sequence, record = shelf.pop()
    shelf.put_note(
        sequence,
        Tombstone(
            problem=documents.answer_dropped(
                record.reply_future.result().verdict
            ),
            fingerprint=record.fingerprint,
            created_at=now,
        ),
    )


def _count_of_ended(shelf: _CustomerRecords) -> int:
    return len(shelf.ended)


def _count_of_notes(shelf: _CustomerRecords) -> int:
    return len(shelf.notes)


def _answer_bytes(shelf: _CustomerRecords) -> int:
    return shelf.answer_bytes
