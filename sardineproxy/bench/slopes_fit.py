"""Cost measurements and the slopes fitted to them."""

import asyncio
import dataclasses
import gc
import statistics
import time
import tracemalloc
from typing import Awaitable, Callable, Iterable, Mapping, Sequence

US_PER_S = 1_000_000

#: Measurements of each point.
REPEATS = 5

#: Depth of the stacks by which allocations are attributed.
TRACED_FRAMES = 100

#: Cost by number of items, such as microseconds by number of tasks.
Measurement = Mapping[int, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """Cost of one more item."""

    name: str
    unit: str

    #: Median slope of the measurements.
    per_item: float

    #: Range of the slopes.
    lowest: float
    highest: float
    repeats: int

    #: Median cost that does not depend on the number of items.
    intercept: float

    #: Median cost of each point.
    points: Measurement

    def render(self) -> str:
        """Return the line that is printed."""
        points = ' '.join(
            f'{count}={cost:.4g}' for count, cost in self.points.items()
        )
        return (
            f'{self.name}: {self.per_item:.4g} {self.unit} (points {points}; '
            f'fixed {self.intercept:.4g}; {self.lowest:.4g} to {self.highest:.4g} '
            f'in {self.repeats} runs)'
        )


class Report:
    """Prints slopes and figures as soon as they are measured."""

    def __init__(self) -> None:
        """Create a report without figures."""
        self.names: list[str] = []

    def add(self, slope: Slope) -> None:
        """Print a slope."""
        self._print(slope.name, slope.render())

    def add_figure(
        self, name: str, figure: float, unit: str, note: str
    ) -> None:
        """Print a figure that is not a slope."""
        self._print(name, f'{name}: {figure:.4g} {unit} ({note})')

    def _print(self, name: str, line: str) -> None:
        self.names.append(name)
        print(line, flush=True)


def fit_line(measurement: Measurement) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    line = statistics.linear_regression(
        list(measurement.keys()), list(measurement.values())
    )
    return line.slope, line.intercept


def summarize(
    name: str, unit: str, measurements: Sequence[Measurement]
) -> Slope:
    """Return the median and the range of the slopes of the measurements."""
    lines = [fit_line(measurement) for measurement in measurements]
    slopes = [slope for slope, _ in lines]
    return Slope(
        name=name,
        unit=unit,
        per_item=statistics.median(slopes),
        lowest=min(slopes),
        highest=max(slopes),
        repeats=len(slopes),
        intercept=statistics.median(intercept for _, intercept in lines),
        points={
            count: statistics.median(
                measurement[count] for measurement in measurements
            )
            for count in measurements[0]
        },
    )


def measure_slope(
    name: str,
    unit: str,
    measure_cost: Callable[[int], float],
    counts: Iterable[int],
    *,
    repeats: int = REPEATS,
) -> Slope:
    """Measure the cost of each count several times and fit lines."""
    item_counts = tuple(counts)
    measurements = [
        {count: measure_cost(count) for count in item_counts}
        for _ in range(repeats)
    ]
    return summarize(name, unit, measurements)


def measure_slope_async(
    name: str,
    unit: str,
    measure_cost: Callable[[int], Awaitable[float]],
    counts: Iterable[int],
    *,
    repeats: int = REPEATS,
) -> Slope:
    """Like ``measure_slope``, with a new event loop for each cost."""
    return measure_slope(
        name,
        unit,
        lambda count: asyncio.run(_await_cost(measure_cost, count)),
        counts,
        repeats=repeats,
    )


async def _await_cost(
    measure_cost: Callable[[int], Awaitable[float]], count: int
) -> float:
    return await measure_cost(count)


def measure_cpu_us(
    operation: Callable[[], object], *, repetitions: int = 1
) -> float:
    """Return the CPU time of one call, in microseconds."""
    gc.collect()
    started_s = time.process_time()
    for _ in range(repetitions):
        operation()
    return (time.process_time() - started_s) * US_PER_S / repetitions


def measure_heap_bytes(build: Callable[[], object]) -> float:
    """Return the heap bytes that the result of ``build`` occupies.

    What other threads allocate in the meantime does not count.
    """
    gc.collect()
    tracemalloc.start(TRACED_FRAMES)
    built = build()
    gc.collect()
    snapshot = tracemalloc.take_snapshot()
    tracemalloc.stop()
    assert built is not None, 'build must return the object to measure'
    called_here = tracemalloc.Filter(True, __file__, all_frames=True)
    return sum(
        trace.size for trace in snapshot.filter_traces([called_here]).traces
    )


def measure_heap_peak_bytes(operation: Callable[[], object]) -> float:
    """Return the peak heap growth during ``operation``."""
    gc.collect()
    tracemalloc.start()
    bytes_before, _ = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    operation()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak - bytes_before
