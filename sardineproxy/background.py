"""Background tasks that are cancelled when their owner closes."""

import asyncio
from typing import Any, Callable, Coroutine

#: Key in the event loop's exception context that marks an error as ending the
#: process.
FATAL = 'fatal'

#: Key with the unit of the process to which an error is confined, such as one
#: link, worker or table.
UNIT = 'unit'

#: First and longest pause before a failed unit is started again, in seconds.
RESTART_MIN_S = 0.1
RESTART_MAX_S = 5.0


def report(unit: str, exc: BaseException) -> None:
    """Report an error that is confined to a unit of the process."""
    asyncio.get_running_loop().call_exception_handler(
        {'message': f'{unit} failed', 'exception': exc, UNIT: unit}
    )


class Tasks:
    """A set of background tasks.

    An exception ends the process, unless the task belongs to a unit that may
    fail while the rest continues. It is passed to the event loop's exception
    handler.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, None],
        *,
        unit: str | None = None,
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        """Run ``coroutine`` until it returns or the set is closed.

        An exception is confined to ``unit``, if given; ``on_failure`` is then
        called.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(
            lambda done: self._handle_done(done, unit, on_failure)
        )

    def spawn_restarting(
        self, make_coroutine: Callable[[], Coroutine[Any, Any, None]], unit: str
    ) -> None:
        """Run a unit until it returns; start it again if it fails."""
        self.spawn(_run_restarting(make_coroutine, unit))

    def cancel_all(self) -> None:
        """Cancel all tasks without waiting until they have ended."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        self.cancel_all()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_done(
        self,
        task: asyncio.Task[None],
        unit: str | None,
        on_failure: Callable[[], None] | None,
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is None:
            return
        if unit is None:
            task.get_loop().call_exception_handler(
                {
                    'message': f'Background task failed: {task.get_coro()}',
                    'exception': exc,
                    FATAL: True,
                }
            )
            return
        report(unit, exc)
        if on_failure is not None:
            on_failure()


async def _run_restarting(
    make_coroutine: Callable[[], Coroutine[Any, Any, None]], unit: str
) -> None:
    pause_s = RESTART_MIN_S
    while True:
        try:
            await make_coroutine()
        except Exception as exc:
            report(unit, exc)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RESTART_MAX_S)
        else:
            return
