"""Waits stay short enough for the promise of 8 s."""

import asyncio
import random

import result
import testtools
from testtools import matchers

from sardineproxy.version import polling

STEADY = polling.Config(jitter=0)


class ScheduleTest(testtools.TestCase):
    """Failures lengthen waits up to a bound; a success ends that."""

    def test_backs_off_and_recovers(self):
        schedule = polling.PollSchedule(rng=random.Random(1), cfg=STEADY)
        waits = []
        down = result.Err('down')
        for outcome in (down, down, down, down, down, result.Ok(None)):
            asyncio.run(schedule.run_with_timeout(asyncio.sleep(0, outcome)))
            waits.append(schedule.next_wait_s())
        self.assertThat(waits, matchers.Equals([0.5, 1, 2, 4, 4, 2]))

    def test_jitter_spreads_waits(self):
        schedule = polling.PollSchedule(
            rng=random.Random(1), cfg=polling.Config()
        )
        waits = sorted(schedule.next_wait_s() for _ in range(100))
        self.assertThat(waits[0], matchers.GreaterThan(1.5))
        self.assertThat(waits[50], matchers.GreaterThan(waits[49]))
        self.assertThat(waits[99], matchers.LessThan(2.5))
