"""Learned run times."""

import testtools

from sardineproxy import ids
from sardineproxy.process.load import run_times

ROUTE = ids.RouteId('r')


def learn(
    known: run_times.RunTimes, *ratios: float, speed: float = 1.0
) -> run_times.Quantiles:
    for ratio in ratios:
        known.record(ROUTE, speed=speed, expected_s=0.2, run_s=0.2 * ratio)
    return known.find(ROUTE, speed)


class TestRunTimes(testtools.TestCase):
    def test_few_runs_are_not_used(self) -> None:
        """Guards against forecasts from the first runs of a new leader."""
        self.assertIs(run_times.UNKNOWN, learn(run_times.RunTimes(), 3, 3, 3))

    def test_long_runs_show_in_the_quantile_only(self) -> None:
        """Guards against a mean, which rare long runs dominate."""
        quantiles = learn(run_times.RunTimes(), *([1] * 8 + [7] * 2) * 10)
        self.assertAlmostEqual(1, quantiles.median, delta=0.1)
        self.assertAlmostEqual(7, quantiles.ninth_decile, delta=0.5)

    def test_change_of_a_route_is_learned(self) -> None:
        """Guards against forecasts from outdated run times."""
        known = run_times.RunTimes()
        learn(known, *[1] * 1000)
        quantiles = learn(known, *[3] * 2 * run_times.GENERATION_RUNS)
        self.assertAlmostEqual(3, quantiles.median, delta=0.2)

    def test_speeds_are_distinguished(self) -> None:
        """Guards against run times of fast workers on slow ones."""
        known = run_times.RunTimes()
        learn(known, *[1] * 50, speed=1.7)
        learn(known, *[2] * 50, speed=0.7)
        self.assertAlmostEqual(1, known.find(ROUTE, 1.7).median, delta=0.1)
        self.assertAlmostEqual(2, known.find(ROUTE, 0.7).median, delta=0.2)

    def test_memory_is_bounded(self) -> None:
        """Guards against memory use that grows with the routes."""
        known = run_times.RunTimes()
        for number in range(2 * run_times.MAX_TRACKED):
            known.record(
                ids.RouteId(f'r{number}'), speed=1, expected_s=1, run_s=1
            )
        self.assertEqual(run_times.MAX_TRACKED, len(known))

    def test_run_without_an_estimate_is_ignored(self) -> None:
        """Guards against a division by an estimate of 0."""
        known = run_times.RunTimes()
        known.record(ROUTE, speed=1, expected_s=0, run_s=1)
        self.assertEqual(0, len(known))
