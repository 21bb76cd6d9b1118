"""The fit, the names of groups, and one short run of a real measurement."""

import testtools
from testtools import matchers

from sardineproxy import exit_status
from sardineproxy.bench import slopes, slopes_fit, slopes_loan, slopes_poll


class SlopesTest(testtools.TestCase):
    """Guards against figures that do not follow from their points."""

    def test_slope_is_that_of_the_line_and_keeps_the_spread(self) -> None:
        made = slopes_fit.summarize(
            'name', 'us', [{1: 5, 3: 9}, {1: 6, 3: 12}, {1: 5, 3: 7}]
        )
        self.assertThat(
            (made.per_thing, made.low, made.high, made.fixed, made.points),
            matchers.Equals((2, 1, 3, 3, {1: 5, 3: 9})),
        )

    def test_kept_bytes_are_seen_and_dropped_ones_are_not(self) -> None:
        kept = slopes_fit.heap_bytes(lambda: [bytes(100_000), len(b'dropped')])
        self.assertThat(abs(kept - 100_000), matchers.LessThan(5000))

    def test_unknown_group_is_refused(self) -> None:
        self.assertThat(
            slopes.main(['slopes', 'no-such-group']),
            matchers.Equals(exit_status.ExitStatus.USAGE),
        )

    def test_real_measurements_print_every_slope(self) -> None:
        out = slopes_fit.Report()
        slopes_poll.measure(out)
        slopes_loan.measure(out)
        self.assertThat(len(out.names), matchers.Equals(7))
