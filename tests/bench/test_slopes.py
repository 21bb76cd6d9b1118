"""Slope fits, heap measurement, group names and two short measurements."""

import math
import threading
import time

import testtools
from testtools import matchers

from sardineproxy import exit_status
from sardineproxy.bench import slopes, slopes_fit, slopes_loan, slopes_poll

#: Bound of the objects that another thread allocates, some 140 MB.
MAX_KEPT = 10**6


class SlopesTest(testtools.TestCase):
    """Guards against slopes that do not follow from their measurements."""

    def test_slope_is_the_median_with_the_range_of_all_fits(self) -> None:
        slope = slopes_fit.summarize(
            'name', 'us', [{1: 5, 3: 9}, {1: 6, 3: 12}, {1: 5, 3: 7}]
        )
        self.assertThat(
            (
                slope.per_item,
                slope.lowest,
                slope.highest,
                slope.intercept,
                slope.points,
            ),
            matchers.Equals((2, 1, 3, 3, {1: 5, 3: 9})),
        )

    def test_heap_bytes_exclude_freed_objects(self) -> None:
        heap_bytes = slopes_fit.measure_heap_bytes(
            lambda: [bytes(100_000), len(b'dropped')]
        )
        self.assertThat(abs(heap_bytes - 100_000), matchers.LessThan(5000))

    def test_heap_bytes_exclude_other_threads(self) -> None:
        """Guards against measures that include what a test runner allocates."""
        kept: list[bytes] = []
        is_stopped = threading.Event()

        def allocate() -> None:
            while len(kept) < MAX_KEPT and not is_stopped.is_set():
                kept.append(bytes(100))

        def build() -> bytes:
            until = time.monotonic() + 0.1
            while time.monotonic() < until:
                math.sqrt(2)
            return bytes(100_000)

        thread = threading.Thread(target=allocate)
        thread.start()
        try:
            heap_bytes = slopes_fit.measure_heap_bytes(build)
        finally:
            is_stopped.set()
            thread.join()
        self.assertThat(abs(heap_bytes - 100_000), matchers.LessThan(5000))

    def test_rejects_unknown_group(self) -> None:
        self.assertThat(
            slopes.main(['slopes', 'no-such-group']),
            matchers.Equals(exit_status.ExitStatus.USAGE),
        )

    def test_measurements_print_every_slope(self) -> None:
        out = slopes_fit.Report()
        slopes_poll.measure(out)
        slopes_loan.measure(out)
        self.assertThat(len(out.names), matchers.Equals(7))
