"""Records of the submissions that this incarnation has seen.

A key's work starts at most once as long as its record, or the note that
replaced it, outlives the key. Records that have to make room early are
replaced by notes without the answer; notes that have to make room early
void all older keys that have no record.
"""

import asyncio
import collections
import dataclasses

from sardineproxy import ids, problems, verdicts
from sardineproxy.request import documents, keys, work


@dataclasses.dataclass(kw_only=True, slots=True)
class Record:
    """One submission, from its admission until its answer is dropped."""

    request_id: ids.RequestId
    customer: ids.CustomerId
    kind: work.Kind

    #: Hash of the submission, to recognize it when it is sent again.
    fingerprint: bytes

    #: Number of tasks, and how many of them have ended.
    tasks: int
    ended_tasks: int = 0

    #: Monotonic seconds.
    started_at: float
    ended_at: float | None = None

    cancelled: bool = False
    done: asyncio.Future[documents.Reply]

    #: Position of the key; keyless requests have none.
    sequence: int | None = None

    #: What became of the whole submission, once it has ended.
    verdict: verdicts.Verdict | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Note:
    """What is still known of a key that will never start work again."""

    problem: problems.Problem

    #: None if any submission with the key gets this answer.
    fingerprint: bytes | None

    #: Monotonic seconds.
    noted_at: float


class Table:
    """All records and notes, bounded in number, size and time."""

    def __init__(
        self,
        *,
        key_ttl_s: float,
        record_ttl_s: float,
        max_records: int,
        max_answer_bytes: int,
    ) -> None:
        """Start empty; times in seconds."""
        self._key_ttl_s = key_ttl_s
        self._record_ttl_s = record_ttl_s
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._running: dict[int, Record] = {}
        self._ended: collections.OrderedDict[int, Record] = (
            collections.OrderedDict()
        )
        self._notes: collections.OrderedDict[int, Note] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0
        self._void_up_to = 0

    def find(self, *, key: keys.Key, now: float) -> Record | Note | None:
        """Return what is known of a genuine key."""
        self._drop_old(now)
        sequence = key.sequence
        return (
            self._running.get(sequence)
            or self._ended.get(sequence)
            or self._notes.get(sequence)
        )

    def is_void(self, *, key: keys.Key, now: float) -> bool:
        """Tell whether the record of a used key could be gone by now."""
        return now >= key.expires_at or key.sequence <= self._void_up_to

    def is_full(self) -> bool:
        """Tell whether no record can make room for another one."""
        return len(self._running) >= self._max_records

    def open(self, *, record: Record, now: float) -> None:
        """Add the record of a key that is about to start work."""
        assert record.sequence is not None
        assert not self.is_full()
        self._running[record.sequence] = record
        while len(self._running) + len(self._ended) > self._max_records:
            self._replace_oldest(now)

    def end(self, *, record: Record, reply: documents.Reply) -> None:
        """Keep the answer of a record whose ``ended_at`` has been set."""
        if record.sequence is None:
            return
        self._running.pop(record.sequence)
        self._ended[record.sequence] = record
        self._answer_bytes += len(reply.body)
        assert record.ended_at is not None
        while self._answer_bytes > self._max_answer_bytes:
            self._replace_oldest(record.ended_at)

    def note(
        self,
        *,
        key: keys.Key,
        fingerprint: bytes | None,
        problem: problems.Problem,
        now: float,
    ) -> None:
        """Remember that a key without a record will never start work."""
        self._add_note(
            key.sequence,
            Note(problem=problem, fingerprint=fingerprint, noted_at=now),
        )

    def sizes(self) -> dict[str, int]:
        """Return counts for the state dump."""
        return {
            'running': len(self._running),
            'ended': len(self._ended),
            'notes': len(self._notes),
            'answer_bytes': self._answer_bytes,
            'void_up_to': self._void_up_to,
        }

    def _drop_old(self, now: float) -> None:
        while self._ended:
            record = next(iter(self._ended.values()))
            if now < (record.ended_at or 0) + self._record_ttl_s:
                break
            self._pop_oldest()
        while self._notes:
            if (
                now
                < next(iter(self._notes.values())).noted_at + self._key_ttl_s
            ):
                break
            self._notes.popitem(last=False)

    def _pop_oldest(self) -> tuple[int, Record]:
        sequence, record = self._ended.popitem(last=False)
        self._answer_bytes -= len(record.done.result().body)
        return sequence, record

    def _replace_oldest(self, now: float) -> None:
        sequence, record = self._pop_oldest()
        self._add_note(
            sequence,
            Note(
                problem=documents.answer_dropped(record.verdict),
                fingerprint=record.fingerprint,
                noted_at=now,
            ),
        )

    def _add_note(self, sequence: int, note: Note) -> None:
        self._notes[sequence] = note
        if len(self._notes) > self._max_records:
            dropped, _ = self._notes.popitem(last=False)
            self._void_up_to = max(self._void_up_to, dropped)
