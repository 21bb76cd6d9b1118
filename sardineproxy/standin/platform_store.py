"""State of the stand-in platform: tables, objects, and the list of VMs."""

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

#: Most bytes of all rows and objects together.
MAX_TOTAL_BYTES = 268_435_456

#: A page of rows ends with the row that reaches this size.
PAGE_BYTES = 1_048_576

#: Older lists are kept only as long as a lag can ask for them.
MAX_LISTS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Rows in the order of their keys."""

    rows: tuple[platform.Row, ...]

    #: Whether rows with greater keys were left out.
    more: bool


class Table:
    """Rows by key, with their keys in order."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, platform.Row] = {}
        self._keys: list[str] = []

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def copy(self) -> 'Table':
        """Return a table that later writes do not change."""
        other = Table()
        other._rows = dict(self._rows)
        other._keys = list(self._keys)
        return other

    def get(self, key: str) -> platform.Row:
        """Return the row, of revision 0 if it does not exist."""
        return self._rows.get(key, platform.Row(key=key, revision=0, body=b''))

    def put(self, key: str, body: bytes) -> None:
        """Write one row."""
        old = self.get(key)
        if not old.revision:
            bisect.insort(self._keys, key)
        self._rows[key] = platform.Row(
            key=key, revision=old.revision + 1, body=body
        )

    def page(self, prefix: str, after: str) -> Page:
        """Return a page of rows with ``prefix`` and keys over ``after``."""
        rows: list[platform.Row] = []
        size = 0
        for key in self._matching(prefix, after):
            if size >= PAGE_BYTES:
                return Page(rows=tuple(rows), more=True)
            row = self._rows[key]
            rows.append(row)
            size += len(row.body) + len(key)
        return Page(rows=tuple(rows), more=False)

    def _matching(self, prefix: str, after: str) -> Iterator[str]:
        start = max(
            bisect.bisect_left(self._keys, prefix),
            bisect.bisect_right(self._keys, after),
        )
        following = itertools.islice(self._keys, start, None)
        return itertools.takewhile(
            lambda key: key.startswith(prefix), following
        )


class Store:
    """Everything that the platform keeps."""

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
            old = self.table.get(write.key)
            self._total_bytes += len(write.body) - len(old.body)
            self.table.put(write.key, write.body)
        return None

    def put_object(self, name: str, body: bytes) -> None:
        """Store one object."""
        self._total_bytes += len(body) - len(self.objects.get(name, b''))
        self.objects[name] = body

    def has_room(self, added_bytes: int) -> bool:
        """Tell whether that many more bytes stay within the bounds."""
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

    def list_at(self, moment: float) -> platform.VmList:
        """Return the list as it was at ``moment``, as far as it is kept."""
        for since, vm_list in reversed(self._lists):
            if since <= moment:
                return vm_list
        return platform.VmList(revision=0, vms=())
