"""Admission by expected start, and return times of rejected jobs."""

import hypothesis
import testtools
from hypothesis import strategies

from sardineproxy.process.load import admission, forecast, returns
from tests import examples
from tests.process.load import samples


def make_forecast(*ends_at: float) -> forecast.EndForecast:
    """Return a forecast at time 0."""
    ends = forecast.EndForecast()
    for end_at in ends_at:
        ends.add(samples.make_run(samples.make_batch()), end_at, 0)
    return ends


def make_demand(**changes: float) -> admission.Demand:
    fields = {
        'task_count': 1,
        'startable_here': 0,
        'startable_elsewhere': 0,
        'tasks_ahead': 0,
        'latest_start': 0.1,
    }
    return admission.Demand(**{**fields, **changes})  # type: ignore[arg-type]


class TestForecast(testtools.TestCase):
    def test_ends_are_counted_in_order(self) -> None:
        """Guards against an expected start after the wrong run."""
        ends = make_forecast(0.5, 0.1, 0.3)
        self.assertEqual(0.1, ends.time_of_end(1, 0))
        self.assertEqual(0.5, ends.time_of_end(3, 0))

    def test_overdue_run_is_expected_to_end_now(self) -> None:
        """Guards against expected starts in the past."""
        self.assertEqual(2, make_forecast(0.1).time_of_end(1, 2))

    def test_later_tasks_start_when_the_next_ones_end(self) -> None:
        """Guards against a long queue that looks like a short one."""
        ends = make_forecast(0.2, 0.2)
        second = ends.time_of_end(2, 0)
        fourth = ends.time_of_end(4, 0)
        assert second is not None and fourth is not None
        self.assertAlmostEqual(0.2, fourth - second, places=2)

    def test_nothing_is_known_without_runs(self) -> None:
        """Guards against rejections while workers are not known yet."""
        ends = make_forecast()
        self.assertIsNone(ends.time_of_end(1, 0))
        self.assertEqual(0, ends.ends_per_s())

    def test_ended_run_is_removed(self) -> None:
        """Guards against memory use that grows with each run."""
        ends = forecast.EndForecast()
        run = samples.make_run(samples.make_batch())
        ends.add(run, 1, 0)
        ends.discard(run)
        ends.discard(run)
        self.assertEqual(0, len(ends))


class TestDecision(testtools.TestCase):
    def test_burst_is_rejected_on_arrival(self) -> None:
        """Guards against clients that wait for a rejection.

        All workers are busy for a second, and the job must start in 0.1 s.
        """
        decision = admission.decide(make_demand(), make_forecast(1.0), 0)
        self.assertEqual(admission.Reject(expected_start=1.0), decision)

    def test_queue_ahead_counts(self) -> None:
        """Guards against accepting a whole burst for one freed worker."""
        ends = make_forecast(0.05, 1.0)
        self.assertEqual(
            admission.Accept(), admission.decide(make_demand(), ends, 0)
        )
        decision = admission.decide(make_demand(tasks_ahead=1), ends, 0)
        self.assertIsInstance(decision, admission.Reject)

    @hypothesis.given(
        strategies.integers(1, 40),
        strategies.integers(0, 40),
        strategies.integers(0, 40),
    )
    @examples.settings()
    def test_never_rejected_while_there_is_capacity(
        self, task_count: int, here: int, elsewhere: int
    ) -> None:
        """Guards against rejections while workers are free in any zone."""
        demand = make_demand(
            task_count=task_count,
            startable_here=here,
            startable_elsewhere=elsewhere,
            tasks_ahead=5,
        )
        decision = admission.decide(demand, make_forecast(9.0), 0)
        if task_count <= here + elsewhere:
            self.assertEqual(admission.Accept(), decision)
        else:
            self.assertIsInstance(decision, admission.Reject)


class TestReturns(testtools.TestCase):
    def assign(self, schedule: returns.ReturnSchedule, now: float) -> float:
        return schedule.assign(
            task_count=10, expected_start=now, ends_per_s=100, now=now
        )

    def test_rejected_clients_return_one_after_the_other(self) -> None:
        """Guards against a second burst when all rejected clients return."""
        schedule = returns.ReturnSchedule()
        delays = [self.assign(schedule, 0) for _ in range(4)]
        self.assertEqual(returns.MIN_RETRY_S, delays[0])
        for earlier, later in zip(delays, delays[1:]):
            self.assertAlmostEqual(0.4, later - earlier)

    def test_schedule_is_forgotten_after_a_burst(self) -> None:
        """Guards against long delays that outlast their cause."""
        schedule = returns.ReturnSchedule()
        for _ in range(1000):
            self.assertThat(
                self.assign(schedule, 0),
                testtools.matchers.LessThan(returns.MAX_RETRY_S + 0.1),
            )
        self.assertEqual(returns.MIN_RETRY_S, self.assign(schedule, 60))

    def test_client_does_not_return_before_there_is_capacity(self) -> None:
        """Guards against a return that is bound to be rejected again."""
        schedule = returns.ReturnSchedule()
        delay = schedule.assign(
            task_count=1, expected_start=7, ends_per_s=0, now=2
        )
        self.assertEqual(5, delay)
