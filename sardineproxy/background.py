"""Tasks that run beside their owner and end with it."""

import asyncio
from typing import Any, Coroutine

#: Key of the loop's error context that marks an error which ends the process.
FATAL = 'fatal'


class Tasks:
    """A set of tasks; one that fails is a broken invariant.

    The failure is handed to the loop's exception handler, marked as fatal.
    """

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work`` until it ends or the set is closed."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end)

    def cancel_all(self) -> None:
        """Cancel all tasks without waiting for their end."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        self.cancel_all()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        failure = task.exception()
        if failure is not None:
            task.get_loop().call_exception_handler(
                {
                    'message': f'Task failed: {task.get_coro()}',
                    'exception': failure,
                    FATAL: True,
                }
            )
