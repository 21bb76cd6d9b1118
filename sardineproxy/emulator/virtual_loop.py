"""An event loop with virtual time, which advances only while it is idle.

Its callbacks can belong to emulated processes, each of which can be frozen,
resumed and killed like a process of the operating system.
"""

import asyncio
import contextvars
import enum
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


class _State(enum.Enum):
    RUNNING = 'running'
    FROZEN = 'frozen'
    KILLED = 'killed'


class Process:
    """The callbacks of an emulated process."""

    def __init__(self) -> None:
        """Create a running process."""
        #: Context in which the process's first callbacks must be scheduled;
        #: they pass it on.
        self.context = contextvars.Context()
        self.context.run(_PROCESS.set, self)
        self._state = _State.RUNNING

        #: Callbacks of events and of timers that are due while it is frozen.
        self._held_events: list['_Callback'] = []
        self._held_timers: list['_Callback'] = []
        _running_loop().processes.append(self)

    @property
    def is_killed(self) -> bool:
        """Return whether the process was killed."""
        return self._state is _State.KILLED

    def spawn(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        """Run a coroutine in the process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, context=self.context.copy())

    def call(self, callback: Callable[[], None]) -> None:
        """Call a function in the process once it runs."""
        loop = asyncio.get_running_loop()
        loop.call_soon(callback, context=self.context.copy())

    def freeze(self) -> None:
        """Hold all callbacks until the process is resumed."""
        if self._state is _State.RUNNING:
            self._state = _State.FROZEN

    def resume(self) -> None:
        """Run the held callbacks: first those of events, as an epoll loop does."""
        if self._state is _State.FROZEN:
            self._state = _State.RUNNING
            self.run_held()

    def run_held(self) -> None:
        """Schedule the held callbacks."""
        for held in (*self._held_events, *self._held_timers):
            held.schedule()
        self._held_events.clear()
        self._held_timers.clear()

    def kill(self) -> None:
        """Hold all callbacks until the loop stops."""
        self._state = _State.KILLED

    def run(self, due: '_Callback') -> None:
        """Run a callback that is due, or hold it."""
        if self._state is _State.RUNNING:
            due.run()
        elif due.is_timer:
            self._held_timers.append(due)
        else:
            self._held_events.append(due)


#: Process to which the current callback belongs.
_PROCESS: contextvars.ContextVar[Process] = contextvars.ContextVar('process')


class _Callback:
    """A callback of a process."""

    def __init__(
        self,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context,
        *,
        is_timer: bool,
    ) -> None:
        self._callback = callback
        self._args = args
        self._context = context
        self.is_timer = is_timer
        self.handle: asyncio.Handle

    def check(self) -> None:
        """Run the callback unless its process is frozen or killed."""
        if _running_loop().is_stopping:
            self.run()
        else:
            self._context[_PROCESS].run(self)

    def run(self) -> None:
        if not self.handle.cancelled():
            self._callback(*self._args)

    def schedule(self) -> None:
        """Schedule a held callback."""
        _running_loop().call_soon(
            self._context.run, self.check, context=contextvars.Context()
        )


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting."""

    def __init__(self) -> None:
        """Create a loop whose time is 0."""
        selector = _InstantSelector()
        super().__init__(selector)
        selector.loop = self
        self.now: float = 0

        #: True while tasks are cancelled, also those of killed processes.
        self.is_stopping = False
        self.processes: list[Process] = []

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback."""
        if context is None:
            context = contextvars.copy_context()
        if _PROCESS not in context:
            return super().call_soon(callback, *args, context=context)
        due = _Callback(callback, args, context, is_timer=False)
        due.handle = super().call_soon(due.check, context=context)
        return due.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback for a time, in virtual seconds."""
        if context is None:
            context = contextvars.copy_context()
        if _PROCESS not in context:
            return super().call_at(when, callback, *args, context=context)
        due = _Callback(callback, args, context, is_timer=True)
        handle = super().call_at(when, due.check, context=context)
        due.handle = handle
        return handle


class LoopClock:
    """Clock of the running loop, which starts at ``START_S``, not at 0."""

    START_S = 1000.0

    def now(self) -> float:
        """Return virtual seconds."""
        return self.START_S + asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the same seconds as ``now``."""
        return self.now()


def call_outside(
    delay_s: float, callback: Callable[..., object], *args: Any
) -> None:
    """Call a function after a delay, in no emulated process."""
    asyncio.get_running_loop().call_later(
        delay_s, callback, *args, context=contextvars.Context()
    )


def spawn_outside(
    coroutine: Coroutine[Any, Any, _Result],
) -> asyncio.Task[_Result]:
    """Run a coroutine in no emulated process."""
    return asyncio.get_running_loop().create_task(
        coroutine, context=contextvars.Context()
    )


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


def _running_loop() -> VirtualLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    return loop


def _cancel_all(loop: VirtualLoop) -> None:
    loop.is_stopping = True
    loop.run_until_complete(_end_tasks(loop))


async def _end_tasks(loop: VirtualLoop) -> None:
    tasks = asyncio.all_tasks(loop) - {asyncio.current_task()}
    for process in loop.processes:
        process.run_held()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
