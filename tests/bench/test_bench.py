"""A short benchmark with real stand-ins and a fake entry process."""

import asyncio

import testtools
from testtools import matchers

from sardineproxy import clock as clocks
from sardineproxy.bench import core, report

FAKE_MODULE = 'tests.bench.fakes'
SHORT_DURATIONS = core.Durations(
    main_s=0.3, short_s=0.2, floor_s=0.1, drain_s=1, limit_s=120
)


class BenchTest(testtools.TestCase):
    """Guards against figures that are missing from the output without a reason."""

    def test_every_figure_is_measured_or_reported_missing(self) -> None:
        out = report.Report(clock=clocks.SystemClock())
        asyncio.run(
            core.run(
                out=out,
                durations=SHORT_DURATIONS,
                seed=1,
                load=0.2,
                module=FAKE_MODULE,
            )
        )
        missing = {
            name for name, figure in out.figures.items() if figure is None
        }
        # The fake exports no counter of platform calls.
        expected_missing = {
            'wasted_messages_per_task',
            'wasted_messages_per_task_faults',
        }
        self.assertThat(missing, matchers.Equals(expected_missing))
        self.assertThat(
            set(core.MAIN_FIGURES + core.OTHER_FIGURES) - set(out.figures),
            matchers.Equals(set()),
        )
        self.assertThat(out.figures['refused_or_wrong'], matchers.Equals(0))
