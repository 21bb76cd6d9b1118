"""The platform's table service as its callers see it.

Tables of rows with a version counter, conditional transactions and a feed of
changes whose history ends.
"""

import dataclasses

from sardineproxy.process import store

#: Most rows in one page.
PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Rows as of one moment, and whether more follow."""

    rows: tuple[store.Row, ...]
    revision: int
    has_more: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Present rows of the conditions, one of which did not hold."""

    rows: tuple[store.Row, ...]


#: Most conditions, writes and removals of a transaction together.
MAX_ENTRIES = 100

#: Part and key of a row; the key starts with the table's name and a slash.
_Place = tuple[str, str]


class RowStore:
    """All tables, each in parts of any name."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self._rows: dict[_Place, store.Row] = {}
        self._log: list[store.Row] = []
        self._forgotten = 0

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
            raise ValueError(f'{entries} entries in a transaction')
        present = [self._rows.get((each.part, each.key)) for each in conditions]
        held = all(
            each.revision == _revision_of(row)
            for each, row in zip(conditions, present)
        )
        if not held:
            return Conflict(rows=tuple(row for row in present if row))
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
            done = self.transact(conditions=(), writes=(), removals=removals)
        else:
            done = self.transact(
                conditions=(), writes=(store.Write(key=key, body=body),)
            )
        assert isinstance(done, int)
        return done

    def read(
        self,
        table: str,
        *,
        part: str = '',
        start: str = '',
        end: str = '',
        limit: int = PAGE_ROWS,
    ) -> Page:
        """Return rows of a part between two keys, in order of their keys."""
        prefix = f'{table}/'
        keys = sorted(
            key
            for of_part, key in self._rows
            if of_part == part
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
        """Return changed rows in order, None if history does not reach."""
        if after < self._forgotten:
            return None
        prefix = f'{table}/'
        newest = {
            row.key: row
            for row in self._log
            if row.revision > after and row.key.startswith(prefix)
        }
        rows = sorted(newest.values(), key=_by_revision)[:PAGE_ROWS]
        is_cut = len(newest) > PAGE_ROWS
        return Page(
            rows=tuple(rows),
            revision=rows[-1].revision if is_cut else self.revision,
            has_more=is_cut,
        )

    def truncate_history(self) -> None:
        """Drop all history up to now."""
        self._forgotten = self.revision
        self._log.clear()

    def get(self, key: str, *, part: str = '') -> store.Row | None:
        """Return a row."""
        return self._rows.get((part, key))

    def _put(self, part: str, key: str, body: bytes | None) -> None:
        row = store.Row(key=key, revision=self.revision, body=body)
        if body is not None:
            self._rows[(part, key)] = row
        elif self._rows.pop((part, key), None) is None:
            return
        self._log.append(row)


def _by_revision(row: store.Row) -> tuple[int, str]:
    return row.revision, row.key


def _revision_of(row: store.Row | None) -> int:
    return row.revision if row else 0
