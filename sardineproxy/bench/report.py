"""Figures, printed as ``name: value`` lines as soon as they are known."""

import asyncio
import contextlib
import sys
from typing import AsyncIterator

import aiohttp

from sardineproxy import clock as clocks
from sardineproxy.demo import caller, processes

#: Failures that leave figures unmeasured but do not end the run.
FAILURES = (
    processes.DeploymentError,
    caller.CallerError,
    aiohttp.ClientError,
    TimeoutError,
    LookupError,
    ValueError,
)


class Report:
    """Prints figures and remembers which could not be measured."""

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Start without figures and without a limit."""
        self._clock = clock
        self._limit: float | None = None
        self.figures: dict[str, float | None] = {}

    def stop_after(self, seconds: float) -> None:
        """End every phase that still runs ``seconds`` from now."""
        self._limit = self._clock.now() + seconds

    def add(self, name: str, figure: float) -> None:
        """Print a figure."""
        self.figures[name] = figure
        print(f'{name}: {figure:.6g}', flush=True)

    def missing(self, name: str, reason: str) -> None:
        """Print that a figure could not be measured, and why."""
        self.figures[name] = None
        print(f'{name}: not measured', flush=True)
        sys.stderr.write(f'{name}: {reason}\n')

    @contextlib.asynccontextmanager
    async def measuring(self, phase: str, *names: str) -> AsyncIterator[None]:
        """Print those of ``names`` as missing that the block did not add."""
        began = self._clock.now()
        reason = 'the phase gave no figure'
        try:
            async with asyncio.timeout(self._left_s()):
                yield
        except FAILURES as exc:
            reason = f'{type(exc).__name__}: {exc}'
        took_s = self._clock.now() - began
        sys.stderr.write(f'phase {phase} took {took_s:.1f} s\n')
        for name in names:
            if name not in self.figures:
                self.missing(name, reason)

    def _left_s(self) -> float | None:
        if self._limit is None:
            return None
        return self._limit - self._clock.now()
