"""Confirms with the store that this process still writes a shard's jobs."""

import asyncio
import functools
from typing import Callable

from sardineproxy import background
from sardineproxy.process.stored_jobs import fenced_rows


class WriterCheck:
    """Reads the writer row on request; simultaneous requests share a read."""

    def __init__(
        self,
        *,
        rows: fenced_rows.FencedRows,
        tasks: background.Tasks,
        on_lost: Callable[[], None],
    ) -> None:
        """Create a check that calls ``on_lost`` if the row was taken over."""
        self._rows = rows
        self._tasks = tasks
        self._on_lost = on_lost
        self._lock = asyncio.Lock()

        #: Outcome of the read that has not begun yet, None without one.
        self._next_read: asyncio.Future[bool] | None = None

    async def confirm(self, timeout_s: float) -> bool:
        """Return whether all changes of the rows up to now were made here.

        False if another process has taken over the rows, or if the store does
        not respond within ``timeout_s`` seconds.
        """
        read = self._next_read
        if read is None:
            read = asyncio.get_running_loop().create_future()
            self._next_read = read
            self._tasks.spawn(
                self._read(read),
                unit=f'check of the writer of {self._rows.shard}',
                on_failure=functools.partial(read.set_result, False),
            )
        await asyncio.wait((read,), timeout=timeout_s)
        return read.done() and read.result()

    async def _read(self, read: asyncio.Future[bool]) -> None:
        async with self._lock:
            # Requests that arrive from now on need a later read.
            self._next_read = None
            is_writer = await self._rows.is_writer()
        if is_writer is False:
            self._on_lost()
        read.set_result(bool(is_writer))
