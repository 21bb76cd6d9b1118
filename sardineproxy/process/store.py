"""Interface of the table service that stores durable state."""

import dataclasses
import enum
from typing import Protocol

import result


class ErrorKind(enum.Enum):
    """Reason for the failure of a call to the store."""

    #: The call had no effect and will have none.
    UNAVAILABLE = 'unavailable'

    #: The write may have taken effect, or may still do so.
    UNKNOWN = 'unknown'

    #: A condition of a transaction did not hold; nothing was written.
    CONFLICT = 'conflict'

    #: The store no longer has the requested changes.
    HISTORY_LOST = 'history_lost'

    #: The store's response was malformed or exceeded its size limit.
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreError:
    """A failed call to the store."""

    kind: ErrorKind

    #: Description for an operator.
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One row; its key starts with the table's name and a slash."""

    key: str

    #: Increases with every write of the row; 0 if the row does not exist.
    revision: int

    #: Contents, None if the row was removed.
    body: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """Required revision of a row in a transaction; 0 means no such row."""

    key: str
    revision: int

    #: Part of the table that contains the row.
    part: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """New contents of a row."""

    key: str
    body: bytes

    #: Part of the table that contains the row. All rows of a transaction are
    #: in the same part.
    part: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Removal:
    """Removal of a row."""

    key: str
    part: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rows:
    """Rows of a table at a revision, or those changed since one."""

    rows: tuple[Row, ...]

    #: Revision of the store at the start of the read.
    revision: int

    #: Revision of the store at its end, if that is known to be higher.
    last_revision: int = 0


class Store(Protocol):
    """Tables of rows with transactions and a feed of changes."""

    async def read(
        self, table: str, *, part: str = ''
    ) -> result.Result[Rows, StoreError]:
        """Return all rows of a part of a table.

        Each page is linearizable, but the read as a whole is not.
        """

    async def get(
        self, key: str, *, part: str = ''
    ) -> result.Result[Row | None, StoreError]:
        """Return a row, None if it does not exist; linearizable."""

    async def changes(
        self, table: str, *, after: int, wait_s: float
    ) -> result.Result[Rows, StoreError]:
        """Return the rows of a table that changed after a revision.

        Waits up to ``wait_s`` seconds for the first change.
        """

    async def transact(
        self,
        *,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
        removals: tuple[Removal, ...] = (),
    ) -> result.Result[int, StoreError]:
        """Apply all changes if all conditions hold.

        Returns the new revision.
        """
