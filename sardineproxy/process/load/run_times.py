"""Run times by route and speed of the worker, learned from ended runs.

Load pattern: clients' estimates are wrong by a factor that is typical of their
route, and some run times are much longer than the others. Quantiles show both;
a mean shows neither.
"""

import collections
import dataclasses
import math

from hdrh import histogram

from sardineproxy import ids

#: Ended runs before a quantile is used.
MIN_RUNS = 20

#: Runs after which the older half of what was learned is dropped, so that a
#: change of a route shows after as many runs.
GENERATION_RUNS = 200

#: Runs after which the quantiles are computed again: computing them takes as
#: long as recording 20 runs.
REFRESH_RUNS = 25

#: Routes and speed classes that are tracked; the one that was used least
#: recently is dropped. One takes about 5 KB.
MAX_TRACKED = 64

#: Speed classes for each doubling of the speed.
CLASSES_PER_DOUBLING = 2

#: Range of the recorded ratios of run time to expected time, in thousandths.
#: One significant digit has an error of 6 %, far below that of the estimates.
_MAX_RATIO = 100_000
_DIGITS = 1
_UNIT = 1000

_Key = tuple[ids.RouteId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Quantiles:
    """Run time relative to the expected one."""

    median: float
    ninth_decile: float


#: Used for a route and speed class without enough runs.
UNKNOWN = Quantiles(median=1, ninth_decile=1.5)


class _Distribution:
    """Ratios of the last ``GENERATION_RUNS`` to twice as many runs."""

    def __init__(self) -> None:
        self.quantiles = UNKNOWN
        self._count = 0
        self._recent = _new_histogram()
        self._older = _new_histogram()

    def record(self, ratio: float) -> None:
        self._count += 1
        self._recent.record_value(min(_MAX_RATIO, max(1, int(ratio * _UNIT))))
        if self._count >= MIN_RUNS and self._count % REFRESH_RUNS == 0:
            self._refresh()
        if self._recent.get_total_count() >= GENERATION_RUNS:
            self._older = self._recent
            self._recent = _new_histogram()

    def _refresh(self) -> None:
        merged = _new_histogram()
        merged.add(self._older)
        merged.add(self._recent)
        self.quantiles = Quantiles(
            median=merged.get_value_at_percentile(50) / _UNIT,
            ninth_decile=merged.get_value_at_percentile(90) / _UNIT,
        )


class RunTimes:
    """Distributions of run times, bounded in number."""

    def __init__(self) -> None:
        """Create an instance that knows no run times."""
        self._distributions: collections.OrderedDict[_Key, _Distribution] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of tracked routes and speed classes."""
        return len(self._distributions)

    def record(
        self,
        route: ids.RouteId,
        *,
        speed: float,
        expected_s: float,
        run_s: float,
    ) -> None:
        """Record a successful run; ``expected_s`` is for this speed."""
        if expected_s <= 0 or run_s <= 0:
            return
        key = (route, _speed_class(speed))
        distribution = self._distributions.pop(key, None) or _Distribution()
        self._distributions[key] = distribution
        distribution.record(run_s / expected_s)
        if len(self._distributions) > MAX_TRACKED:
            self._distributions.popitem(last=False)

    def find(self, route: ids.RouteId, speed: float) -> Quantiles:
        """Return the quantiles of a route on workers of about this speed."""
        distribution = self._distributions.get((route, _speed_class(speed)))
        return UNKNOWN if distribution is None else distribution.quantiles


def _speed_class(speed: float) -> int:
    return round(CLASSES_PER_DOUBLING * math.log2(speed))


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _MAX_RATIO, _DIGITS)
