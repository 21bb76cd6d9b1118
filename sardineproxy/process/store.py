"""Interface to the table service that keeps what must last."""

import dataclasses
import enum
from typing import Protocol

import result


class ErrorKind(enum.Enum):
    """Why a call to the store failed."""

    #: The call certainly had no effect.
    UNAVAILABLE = 'unavailable'

    #: The write may have taken effect, or may still take effect.
    UNKNOWN = 'unknown'

    #: A condition of a transaction did not hold; nothing was written.
    CONFLICT = 'conflict'

    #: The changes that were asked for are no longer kept.
    HISTORY_LOST = 'history_lost'

    #: The store's answer was malformed or over its bound.
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreError:
    """A failed call to the store."""

    kind: ErrorKind

    #: One sentence for a person.
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One row; its key starts with the table's name and a slash."""

    key: str

    #: Number that rises with each write of the row; 0 if there is no row.
    revision: int

    #: Contents, None for a row that was removed.
    body: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """A row's revision that a transaction depends on, 0 for no such row."""

    key: str
    revision: int

    #: Part of the table that holds the row.
    part: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """A row's new contents."""

    key: str
    body: bytes

    #: Part of the table that holds the row. All rows of a transaction are in
    #: one part.
    part: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Removal:
    """A row that is to exist no longer."""

    key: str
    part: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rows:
    """Rows of a table as of one moment, or what changed in it since one."""

    rows: tuple[Row, ...]

    #: Revision of the store at that moment.
    revision: int


class Store(Protocol):
    """Tables of rows with transactions and a feed of changes."""

    async def read(
        self, table: str, *, part: str = ''
    ) -> result.Result[Rows, StoreError]:
        """Return all rows of a part of a table; linearizable page by page."""

    async def get(
        self, key: str, *, part: str = ''
    ) -> result.Result[Row | None, StoreError]:
        """Return one row, None if there is none; linearizable."""

    async def changes(
        self, table: str, *, after: int, wait_s: float
    ) -> result.Result[Rows, StoreError]:
        """Return what changed after a revision.

        Waits up to ``wait_s`` for the first change.
        """

    async def transact(
        self,
        *,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
        removals: tuple[Removal, ...] = (),
    ) -> result.Result[int, StoreError]:
        """Make all changes if all conditions hold; return the new revision."""
