"""Figures, printed as ``name: value`` lines as soon as they are measured."""

import asyncio
import contextlib
import sys
from typing import AsyncIterator

import aiohttp

from sardineproxy import clock as clocks
from sardineproxy.demo import caller, processes

#: Errors that leave the figures of a phase unmeasured but do not end the run.
PHASE_ERRORS = (
    processes.DeploymentError,
    caller.CallerError,
    aiohttp.ClientError,
    TimeoutError,
    LookupError,
    ValueError,
)


class Report:
    """Prints figures and records which could not be measured."""

    def __init__(self, *, clock: clocks.Clock) -> None:
        """Create a report without figures and without a time limit."""
        self._clock = clock
        self._deadline: float | None = None
        self.figures: dict[str, float | None] = {}

    def set_time_limit(self, limit_s: float) -> None:
        """End every phase that still runs ``limit_s`` from now."""
        self._deadline = self._clock.now() + limit_s

    def add(self, name: str, figure: float) -> None:
        """Print a figure."""
        self.figures[name] = figure
        print(f'{name}: {figure:.6g}', flush=True)

    def add_missing(self, name: str, reason: str) -> None:
        """Print that a figure could not be measured, and the reason."""
        self.figures[name] = None
        print(f'{name}: not measured', flush=True)
        sys.stderr.write(f'{name}: {reason}\n')

    @contextlib.asynccontextmanager
    async def measure_phase(
        self, phase: str, *names: str
    ) -> AsyncIterator[None]:
        """Time the block and cancel it when the time limit expires.

        Figures in ``names`` that the block did not add are printed as not
        measured.
        """
        started_at = self._clock.now()
        reason = 'the phase ended without this figure'
        try:
            async with asyncio.timeout(self._remaining_s()):
                yield
        except PHASE_ERRORS as exc:
            reason = f'{type(exc).__name__}: {exc}'
        duration_s = self._clock.now() - started_at
        sys.stderr.write(f'phase {phase} took {duration_s:.1f} s\n')
        for name in names:
            if name not in self.figures:
                self.add_missing(name, reason)

    def _remaining_s(self) -> float | None:
        if self._deadline is None:
            return None
        return self._deadline - self._clock.now()
