"""Figures, printed as ``name: value`` lines as soon as they are known."""

import sys
from typing import Iterator

import contextlib

import aiohttp

from sardineproxy.demo import caller, processes

#: Failures that leave figures unmeasured but do not end the run.
FAILURES = (
    processes.DeploymentError,
    caller.CallerError,
    aiohttp.ClientError,
    TimeoutError,
    KeyError,
    ValueError,
)


class Report:
    """Prints figures and remembers which could not be measured."""

    def __init__(self) -> None:
        """Start without figures."""
        self.figures: dict[str, float | None] = {}

    def add(self, name: str, figure: float) -> None:
        """Print a figure."""
        self.figures[name] = figure
        print(f'{name}: {figure:.6g}', flush=True)

    def missing(self, name: str, reason: str) -> None:
        """Print that a figure could not be measured, and why."""
        self.figures[name] = None
        print(f'{name}: not measured', flush=True)
        sys.stderr.write(f'{name}: {reason}\n')

    @contextlib.contextmanager
    def measuring(self, *names: str) -> Iterator[None]:
        """Print those of ``names`` as missing that the block did not add."""
        reason = 'the phase gave no figure'
        try:
            yield
        except FAILURES as exc:
            reason = f'{type(exc).__name__}: {exc}'
        for name in names:
            if name not in self.figures:
                self.missing(name, reason)
