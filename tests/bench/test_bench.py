"""A short run of the load driver on real stand-ins and a fake entry."""

import asyncio

import testtools
from testtools import matchers

from sardineproxy import clock as clocks
from sardineproxy.bench import core, report

FAKES = 'tests.bench.fakes'
SHORT = core.Seconds(main=0.3, short=0.2, floor=0.1, drain=1, limit=120)


class BenchTest(testtools.TestCase):
    """Guards against figures that are invented or lost."""

    def test_prints_every_figure_or_says_why_not(self) -> None:
        out = report.Report(clock=clocks.SystemClock())
        asyncio.run(
            core.run(out=out, seconds=SHORT, seed=1, load=0.2, module=FAKES)
        )
        missing = {
            name for name, figure in out.figures.items() if figure is None
        }
        # The fake reports no calls to the platform, and no job may end.
        allowed = {
            'wasted_messages_per_task',
            'wasted_messages_per_task_faults',
        }
        self.assertThat(missing, matchers.Equals(allowed))
        self.assertThat(
            set(core.MAIN_FIGURES + core.OTHER_FIGURES) - set(out.figures),
            matchers.Equals(set()),
        )
        self.assertThat(out.figures['refused_or_wrong'], matchers.Equals(0))
