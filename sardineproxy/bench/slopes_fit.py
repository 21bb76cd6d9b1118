"""Slopes fitted to repeated readings, and the costs that are read."""

import asyncio
import dataclasses
import gc
import statistics
import time
import tracemalloc
from typing import Awaitable, Callable, Iterable, Mapping, Sequence

US_PER_S = 1_000_000

#: Readings of each point.
REPEATS = 5

#: Cost of each number of things, such as microseconds by number of tasks.
Reading = Mapping[int, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """Cost of one more thing."""

    name: str
    unit: str

    #: Median over the readings.
    per_thing: float

    #: Least and greatest of the readings' slopes.
    low: float
    high: float
    repeats: int

    #: Median cost that does not grow.
    fixed: float

    #: Median cost of each point.
    points: Reading

    def render(self) -> str:
        """Return the line that is printed."""
        points = ' '.join(
            f'{count}={cost:.4g}' for count, cost in self.points.items()
        )
        return (
            f'{self.name}: {self.per_thing:.4g} {self.unit} (points {points}; '
            f'fixed {self.fixed:.4g}; {self.low:.4g} to {self.high:.4g} '
            f'in {self.repeats} runs)'
        )


class Report:
    """Prints slopes and figures as soon as they are known."""

    def __init__(self) -> None:
        """Start without lines."""
        self.names: list[str] = []

    def add(self, slope: Slope) -> None:
        """Print a slope."""
        self._print(slope.name, slope.render())

    def add_figure(
        self, name: str, figure: float, unit: str, note: str
    ) -> None:
        """Print a figure that does not come from points."""
        self._print(name, f'{name}: {figure:.4g} {unit} ({note})')

    def _print(self, name: str, line: str) -> None:
        self.names.append(name)
        print(line, flush=True)


def fit(reading: Reading) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    line = statistics.linear_regression(
        list(reading.keys()), list(reading.values())
    )
    return line.slope, line.intercept


def summarize(name: str, unit: str, readings: Sequence[Reading]) -> Slope:
    """Return the median of the readings' slopes, and their spread."""
    lines = [fit(reading) for reading in readings]
    slopes = [slope for slope, _ in lines]
    return Slope(
        name=name,
        unit=unit,
        per_thing=statistics.median(slopes),
        low=min(slopes),
        high=max(slopes),
        repeats=len(slopes),
        fixed=statistics.median(fixed for _, fixed in lines),
        points={
            count: statistics.median(reading[count] for reading in readings)
            for count in readings[0]
        },
    )


def measure(
    name: str,
    unit: str,
    cost: Callable[[int], float],
    counts: Iterable[int],
    *,
    repeats: int = REPEATS,
) -> Slope:
    """Read the cost of each count several times and fit a line."""
    chosen = tuple(counts)
    readings = [
        {count: cost(count) for count in chosen} for _ in range(repeats)
    ]
    return summarize(name, unit, readings)


def measure_async(
    name: str,
    unit: str,
    cost: Callable[[int], Awaitable[float]],
    counts: Iterable[int],
    *,
    repeats: int = REPEATS,
) -> Slope:
    """Do the same with an event loop for each reading."""
    return measure(
        name,
        unit,
        lambda count: asyncio.run(_wait(cost, count)),
        counts,
        repeats=repeats,
    )


async def _wait(cost: Callable[[int], Awaitable[float]], count: int) -> float:
    return await cost(count)


def cpu_us(act: Callable[[], object], *, times: int = 1) -> float:
    """Return the processor time of one call, in microseconds."""
    gc.collect()
    began_s = time.process_time()
    for _ in range(times):
        act()
    return (time.process_time() - began_s) * US_PER_S / times


def heap_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that what ``build`` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None, 'what is measured must be kept'
    return after - before


def heap_peak_bytes(act: Callable[[], object]) -> float:
    """Return the most bytes that were allocated at once during ``act``."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    act()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak - before
