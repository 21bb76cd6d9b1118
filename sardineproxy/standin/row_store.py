"""In-memory model of the platform's table service.

Holds tables of rows with revisions, and offers conditional transactions and a
change feed whose history can be truncated.
"""

import dataclasses

from sardineproxy.process import store

#: Maximum number of rows in one page.
PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Rows of one consistent read, and whether more follow."""

    rows: tuple[store.Row, ...]
    revision: int
    has_more: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Current rows of the conditions, at least one of which did not hold."""

    rows: tuple[store.Row, ...]


#: Maximum number of conditions, writes and removals in one transaction.
MAX_ENTRIES = 100

#: Part and key of a row; the key starts with the table's name and a slash.
_RowId = tuple[str, str]


class RowStore:
    """All tables; parts of a table exist as soon as rows are written there."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self._rows: dict[_RowId, store.Row] = {}
        self._changes: list[store.Row] = []
        self._truncated_through = 0

    def transact(
        self,
        *,
        conditions: tuple[store.Condition, ...],
        writes: tuple[store.Write, ...],
        removals: tuple[store.Removal, ...] = (),
    ) -> int | Conflict:
        """Apply all changes if all conditions hold; return the revision."""
        entries = len(conditions) + len(writes) + len(removals)
        if entries > MAX_ENTRIES:
            raise ValueError(f'{entries} entries exceed the transaction limit')
        current_rows = [
            self._rows.get((condition.part, condition.key))
            for condition in conditions
        ]
        conditions_hold = all(
            condition.revision == _revision_of(row)
            for condition, row in zip(conditions, current_rows)
        )
        if not conditions_hold:
            return Conflict(rows=tuple(row for row in current_rows if row))
        self.revision += 1
        for write in writes:
            self._put(write.part, write.key, write.body)
        for removal in removals:
            self._put(removal.part, removal.key, None)
        return self.revision

    def put(self, key: str, body: bytes | None) -> int:
        """Write or remove one row without a condition."""
        if body is None:
            removals = (store.Removal(key=key),)
            revision = self.transact(
                conditions=(), writes=(), removals=removals
            )
        else:
            revision = self.transact(
                conditions=(), writes=(store.Write(key=key, body=body),)
            )
        assert isinstance(revision, int)
        return revision

    def read(
        self,
        table: str,
        *,
        part: str = '',
        start: str = '',
        end: str = '',
        limit: int = PAGE_ROWS,
    ) -> Page:
        """Return rows of a part from ``start`` to ``end``, sorted by key.

        ``start`` and ``end`` lack the table prefix; ``end`` is exclusive.
        """
        prefix = f'{table}/'
        keys = sorted(
            key
            for row_part, key in self._rows
            if row_part == part
            and key.startswith(prefix)
            and key >= f'{prefix}{start}'
            and (not end or key < f'{prefix}{end}')
        )
        return Page(
            rows=tuple(self._rows[(part, key)] for key in keys[:limit]),
            revision=self.revision,
            has_more=len(keys) > limit,
        )

    def changes(self, table: str, *, after: int) -> Page | None:
        """Return rows changed after a revision, None if history is truncated.

        Rows are sorted by revision.
        """
        if after < self._truncated_through:
            return None
        prefix = f'{table}/'
        newest = {
            row.key: row
            for row in self._changes
            if row.revision > after and row.key.startswith(prefix)
        }
        rows = sorted(newest.values(), key=_by_revision)[:PAGE_ROWS]
        has_more = len(newest) > PAGE_ROWS
        return Page(
            rows=tuple(rows),
            revision=rows[-1].revision if has_more else self.revision,
            has_more=has_more,
        )

    def truncate_history(self) -> None:
        """Remove the history of all changes made so far."""
        self._truncated_through = self.revision
        self._changes.clear()

    def get(self, key: str, *, part: str = '') -> store.Row | None:
        """Return a row."""
        return self._rows.get((part, key))

    def _put(self, part: str, key: str, body: bytes | None) -> None:
        row = store.Row(key=key, revision=self.revision, body=body)
        if body is not None:
            self._rows[(part, key)] = row
        elif self._rows.pop((part, key), None) is None:
            return
        self._changes.append(row)


def _by_revision(row: store.Row) -> tuple[int, str]:
    return row.revision, row.key


def _revision_of(row: store.Row | None) -> int:
    return row.revision if row else 0
