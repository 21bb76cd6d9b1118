"""An event loop with virtual time, which advances only while it is idle."""

import asyncio
import selectors
from typing import Any, Callable, Coroutine, TypeVar

_Result = TypeVar('_Result')


class _InstantSelector(selectors.DefaultSelector):
    """Advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: 'VirtualLoop | None' = None

    def select(self, timeout: float | None = None) -> Any:
        events = super().select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            raise RuntimeError('deadlock: no events or timers are pending')
        assert self.loop is not None
        self.loop.now += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting."""

    def __init__(self) -> None:
        selector = _InstantSelector()
        super().__init__(selector)
        selector.loop = self
        self.now: float = 0

    def time(self) -> float:
        return self.now


class LoopClock:
    """Clock of the running loop, which starts at ``START_S``, not at 0."""

    START_S = 1000.0

    def now(self) -> float:
        return self.START_S + asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()


def run(
    main: Callable[[], Coroutine[Any, Any, _Result]],
) -> _Result:
    """Run a coroutine function in virtual time and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main())
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: VirtualLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
