"""Tests that waits between polls allow a version to be active within 8 s."""

import asyncio
import random

import result
import testtools
from testtools import matchers

from sardineproxy.version import polling

NO_JITTER = polling.Config(jitter=0)


class ScheduleTest(testtools.TestCase):
    """Waits grow with failures up to a limit; a success resets them."""

    def test_backs_off_and_recovers(self):
        schedule = polling.PollSchedule(rng=random.Random(1), cfg=NO_JITTER)
        waits = []
        error = result.Err('down')
        for outcome in (error, error, error, error, error, result.Ok(None)):
            asyncio.run(schedule.run_with_timeout(asyncio.sleep(0, outcome)))
            waits.append(schedule.next_wait_s())
        self.assertThat(waits, matchers.Equals([0.5, 1, 2, 4, 4, 2]))

    def test_jitter_varies_waits(self):
        schedule = polling.PollSchedule(
            rng=random.Random(1), cfg=polling.Config()
        )
        waits = sorted(schedule.next_wait_s() for _ in range(100))
        self.assertThat(waits[0], matchers.GreaterThan(1.5))
        self.assertThat(waits[50], matchers.GreaterThan(waits[49]))
        self.assertThat(waits[99], matchers.LessThan(2.5))
