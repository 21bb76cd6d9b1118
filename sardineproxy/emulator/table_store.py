"""The platform's store as one emulated VM sees it."""

import asyncio
import enum
from typing import Any, Callable

import result

from sardineproxy.emulator import virtual_loop
from sardineproxy.process import store
from sardineproxy.standin import row_store

#: Timeout of a call in addition to the wait that it asks for, in seconds.
TIMEOUT_S = 0.6

#: Interval at which a waiting call checks for changes, in seconds.
_CHECK_S = 0.005


class Access(enum.Enum):
    """What happens to the calls of one VM."""

    OPEN = 'open'

    #: Calls get no response, and are not carried out.
    SILENT = 'silent'

    #: Calls are refused at once.
    REFUSED = 'refused'

    #: Calls are carried out, but their responses are lost.
    RESPONSES_LOST = 'responses_lost'


class VmStore:
    """Implements ``store.Store`` on common rows, with faults of one VM."""

    def __init__(self, *, rows: row_store.RowStore, latency_s: float) -> None:
        """Create the access of a VM; ``latency_s`` is one way."""
        self.access = Access.OPEN
        self.latency_s = latency_s
        self._rows = rows

    async def read(
        self, table: str, *, part: str = ''
    ) -> result.Result[store.Rows, store.StoreError]:
        """Return all rows of a part of a table."""
        return await self._call(
            lambda: _to_rows(self._rows.read(table, part=part, limit=10**6))
        )

    async def get(
        self, key: str, *, part: str = ''
    ) -> result.Result[store.Row | None, store.StoreError]:
        """Return a row, None if it does not exist."""
        return await self._call(
            lambda: result.Ok(self._rows.get(key, part=part))
        )

    async def changes(
        self, table: str, *, after: int, wait_s: float
    ) -> result.Result[store.Rows, store.StoreError]:
        """Return the changed rows of a table; wait for the first change."""
        return await self._call(
            lambda: _to_rows(self._rows.changes(table, after=after)), wait_s
        )

    async def transact(
        self, **changes: Any
    ) -> result.Result[int, store.StoreError]:
        """Apply all changes if all conditions hold."""
        return await self._call(
            lambda: _to_revision(self._rows.transact(**changes))
        )

    async def _call(
        self, operation: Callable[[], Any], wait_s: float = 0
    ) -> Any:
        """Call the store; the call goes on while the process is frozen."""
        if self.access is Access.REFUSED:
            await asyncio.sleep(self.latency_s)
            return _failed(store.ErrorKind.UNAVAILABLE)
        call = virtual_loop.spawn_outside(self._execute(operation, wait_s))
        await asyncio.wait((call,), timeout=TIMEOUT_S + wait_s)
        if call.done():
            return call.result()
        call.cancel()
        return _failed(store.ErrorKind.UNKNOWN)

    async def _execute(
        self, operation: Callable[[], Any], wait_s: float
    ) -> Any:
        await asyncio.sleep(self.latency_s)
        if self.access not in {Access.OPEN, Access.RESPONSES_LOST}:
            return await self._lose_response()
        until = asyncio.get_running_loop().time() + wait_s
        response = operation()
        while _is_empty(response) and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(_CHECK_S)
            response = operation()
        await asyncio.sleep(self.latency_s)
        if self.access is not Access.OPEN:
            return await self._lose_response()
        return response

    async def _lose_response(self) -> Any:
        if self.access is not Access.REFUSED:
            await asyncio.sleep(2 * TIMEOUT_S)
        return _failed(store.ErrorKind.UNKNOWN)


def _is_empty(response: Any) -> bool:
    """Return whether a feed has no changes yet."""
    return (
        isinstance(response, result.Ok)
        and isinstance(response.ok_value, store.Rows)
        and not response.ok_value.rows
    )


def _to_rows(page: row_store.Page | None) -> Any:
    if page is None:
        return _failed(store.ErrorKind.HISTORY_LOST)
    return result.Ok(store.Rows(rows=page.rows, revision=page.revision))


def _to_revision(outcome: int | row_store.Conflict) -> Any:
    if isinstance(outcome, row_store.Conflict):
        return _failed(store.ErrorKind.CONFLICT)
    return result.Ok(outcome)


def _failed(kind: store.ErrorKind) -> Any:
    return result.Err(store.StoreError(kind=kind, detail=kind.value))
