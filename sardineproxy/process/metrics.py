"""Counters and latency histograms in Prometheus text format."""

import collections
from typing import Callable, Iterator

from hdrh import histogram

#: Maximum duration that a histogram records, in microseconds.
MAX_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000

#: Leading bits of a duration that are retained until it is recorded, which is
#: slow: the error is below that of the histogram.
PENDING_BITS = 9

PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._counters: dict[tuple[str, Labels], int] = {}

        #: Functions that return the present value of a gauge.
        self._gauges: dict[str, Callable[[], int]] = {}

        #: Counts of durations that the histograms do not contain yet.
        self._pending: dict[tuple[str, Labels], collections.Counter[int]] = {}
        self._durations: dict[tuple[str, Labels], histogram.HdrHistogram] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add ``by`` to the counter ``name``, which ends in ``_total``."""
        key = (name, _sort_labels(labels))
        self._counters[key] = self._counters.get(key, 0) + by

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration under ``name``, which ends in ``_seconds``."""
        key = (name, _sort_labels(labels))
        pending = self._pending.get(key)
        if pending is None:
            pending = collections.Counter()
            self._pending[key] = pending
            self._durations[key] = histogram.HdrHistogram(
                1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        micros = max(1, int(seconds * MICROSECONDS_PER_SECOND))
        dropped_bits = max(0, micros.bit_length() - PENDING_BITS)
        pending[micros >> dropped_bits << dropped_bits] += 1

    def set_gauge(self, name: str, read: Callable[[], int]) -> None:
        """Render the present value that ``read`` returns as ``name``."""
        self._gauges[name] = read

    def counters(self) -> dict[str, int]:
        """Return all counters, for the state dump."""
        return {
            name + _render_labels(labels): count
            for (name, labels), count in sorted(self._counters.items())
        }

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        return '\n'.join(self._lines()) + '\n'

    def _lines(self) -> Iterator[str]:
        self._record_pending()
        for (name, labels), count in sorted(self._counters.items()):
            yield f'sardineproxy_{name}{_render_labels(labels)} {count}'
        for gauge, read in sorted(self._gauges.items()):
            yield f'sardineproxy_{gauge} {read()}'
        for (name, labels), durations in sorted(
            self._durations.items(), key=lambda entry: entry[0]
        ):
            yield from _render_summary(name, labels, durations)

    def _record_pending(self) -> None:
        for key, pending in self._pending.items():
            durations = self._durations[key]
            for micros, count in pending.items():
                durations.record_value(micros, count)
            pending.clear()


def _sort_labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items())) if labels else ()


def _render_summary(
    name: str, labels: Labels, durations: histogram.HdrHistogram
) -> Iterator[str]:
    for percentile in PERCENTILES:
        quantile = (('quantile', f'{percentile / 100:g}'),)
        micros = durations.get_value_at_percentile(percentile)
        yield 'sardineproxy_{name}{labels} {seconds:.6f}'.format(
            name=name,
            labels=_render_labels(labels + quantile),
            seconds=micros / MICROSECONDS_PER_SECOND,
        )
    count = durations.get_total_count()
    yield f'sardineproxy_{name}_count{_render_labels(labels)} {count}'


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ''
    rendered = ','.join(f'{name}="{label}"' for name, label in labels)
    return f'{{{rendered}}}'
