"""State of the stand-in platform: rows, objects and the list of VMs."""

import bisect
import collections
import dataclasses
import itertools
from typing import Iterator

from sardineproxy.process import platform, store

MAX_KEY_BYTES = 256
MAX_ROW_BYTES = 1_048_576
MAX_OBJECT_BYTES = 16_777_216
MAX_ENTRIES = 200_000

#: Limit of all rows and objects together.
MAX_TOTAL_BYTES = 268_435_456

#: A page ends with the row with which it reaches this size.
PAGE_BYTES = 1_048_576

#: Former VM lists that are stored for requests with a list lag.
MAX_LISTS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Rows sorted by key."""

    rows: tuple[platform.Row, ...]

    #: Whether rows with greater keys follow.
    has_more: bool


class Table:
    """Rows by key, with a sorted list of the keys."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, platform.Row] = {}
        self._keys: list[str] = []

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def copy(self) -> 'Table':
        """Return a copy that later writes do not change."""
        copied_table = Table()
        copied_table._rows = dict(self._rows)
        copied_table._keys = list(self._keys)
        return copied_table

    def get(self, key: str) -> platform.Row:
        """Return the row, with revision 0 if it does not exist."""
        return self._rows.get(key, platform.Row(key=key, revision=0, body=b''))

    def put(self, key: str, body: bytes) -> None:
        """Write one row."""
        current = self.get(key)
        if not current.revision:
            bisect.insort(self._keys, key)
        self._rows[key] = platform.Row(
            key=key, revision=current.revision + 1, body=body
        )

    def page(self, prefix: str, after: str) -> Page:
        """Return a page of rows with ``prefix`` and keys above ``after``."""
        rows: list[platform.Row] = []
        size = 0
        for key in self._iterate_keys(prefix, after):
            if size >= PAGE_BYTES:
                return Page(rows=tuple(rows), has_more=True)
            row = self._rows[key]
            rows.append(row)
            size += len(row.body) + len(key)
        return Page(rows=tuple(rows), has_more=False)

    def _iterate_keys(self, prefix: str, after: str) -> Iterator[str]:
        start = max(
            bisect.bisect_left(self._keys, prefix),
            bisect.bisect_right(self._keys, after),
        )
        remaining_keys = itertools.islice(self._keys, start, None)
        return itertools.takewhile(
            lambda key: key.startswith(prefix), remaining_keys
        )


class Store:
    """Complete state of the platform."""

    def __init__(self) -> None:
        """Start empty."""
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self._total_bytes = 0
        self._lists: collections.deque[tuple[float, platform.VmList]] = (
            collections.deque(maxlen=MAX_LISTS)
        )

    def transact(
        self,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
    ) -> str | None:
        """Write all rows, or return the reason why none was written."""
        for condition in conditions:
            revision = self.table.get(condition.key).revision
            if revision != condition.revision:
                return (
                    f'row {condition.key} has revision {revision}, '
                    f'not {condition.revision}'
                )
        for write in writes:
            current = self.table.get(write.key)
            self._total_bytes += len(write.body) - len(current.body)
            self.table.put(write.key, write.body)
        return None

    def put_object(self, name: str, body: bytes) -> None:
        """Store one object."""
        self._total_bytes += len(body) - len(self.objects.get(name, b''))
        self.objects[name] = body

    def has_capacity(self, added_bytes: int) -> bool:
        """Return whether a write of this size stays within the limits."""
        entries = len(self.table) + len(self.objects)
        return (
            entries < MAX_ENTRIES
            and self._total_bytes + added_bytes <= MAX_TOTAL_BYTES
        )

    def set_vms(self, vms: tuple[platform.Vm, ...], *, now: float) -> int:
        """Replace the list of VMs and return its revision."""
        revision = self.newest_list().revision + 1
        self._lists.append((now, platform.VmList(revision=revision, vms=vms)))
        return revision

    def newest_list(self) -> platform.VmList:
        """Return the list without lag."""
        if not self._lists:
            return platform.VmList(revision=0, vms=())
        return self._lists[-1][1]

    def list_at(self, time: float) -> platform.VmList:
        """Return the list in force at ``time``, empty if none is stored."""
        for since, vm_list in reversed(self._lists):
            if since <= time:
                return vm_list
        return platform.VmList(revision=0, vms=())
