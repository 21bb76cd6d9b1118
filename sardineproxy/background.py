"""Background tasks that are cancelled when their owner closes."""

import asyncio
from typing import Any, Coroutine

#: Key in the event loop's exception context that marks an error as ending the
#: process.
FATAL = 'fatal'


class Tasks:
    """A set of background tasks, none of which may raise an exception.

    An exception is passed to the event loop's exception handler as fatal.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run ``coroutine`` until it returns or the set is closed."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)

    def cancel_all(self) -> None:
        """Cancel all tasks without waiting until they have ended."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        self.cancel_all()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exception = task.exception()
        if exception is not None:
            task.get_loop().call_exception_handler(
                {
                    'message': f'Background task failed: {task.get_coro()}',
                    'exception': exception,
                    FATAL: True,
                }
            )
