"""Tests of the ranking and the outlier ejection of endpoints."""

import random
from typing import Any

import testtools

from sardineproxy import ids
from sardineproxy.process import health

CUSTOMER = ids.CustomerId('c')
NAMES = tuple(ids.EndpointId(f'w{number}') for number in range(5))
FIRST, SECOND = NAMES[:2]


class Estimates(health.Health):
    """Health estimates of the first ``count`` endpoints, without jitter."""

    def __init__(self, count: int) -> None:
        super().__init__(rng=random.Random(1), cfg=health.Config(jitter=0))
        zone = ids.ZoneId('z')
        self.set_endpoints(dict.fromkeys(NAMES[:count], zone), own_zone=zone)

    def fail(
        self, endpoint: Any, request: str | None = None, now: float = 0
    ) -> None:
        request_id = ids.RequestId(request or f'r-{endpoint}')
        self.record_failure(endpoint, request_id=request_id, now=now)

    def succeed(
        self, endpoint: Any, run_s: float = 0.1, now: float = 0
    ) -> None:
        self.record_success(endpoint, customer=CUSTOMER, run_s=run_s, now=now)


class HealthTest(testtools.TestCase):
    """Failing endpoints are ejected, and healthy ones are not."""

    def test_slower_endpoints_rank_later(self) -> None:
        """Guards against ranks that ignore a fourfold difference in speed."""
        estimates = Estimates(3)
        for _ in range(100):
            for endpoint, run_s in zip(NAMES, (0.1, 0.2, 0.4)):
                estimates.succeed(endpoint, run_s)
        ranks = [estimates.ranks[endpoint] for endpoint in NAMES[:3]]
        self.assertEqual(sorted(ranks), ranks)
        self.assertGreater(ranks[2] - ranks[0], 12)

    def test_spread_of_run_times_does_not_change_the_order(self) -> None:
        """Guards against noise that ranks a slow endpoint before a fast one.

        The run times of equal tasks spread over a factor of 20, and the second
        endpoint has 0.7 times the speed of the first.
        """
        rng = random.Random(1)
        estimates = Estimates(2)
        misrankings = 0
        for count in range(1000):
            for endpoint, speed in zip(NAMES, (1, 0.7)):
                estimates.succeed(endpoint, 0.05 * 20 ** rng.random() / speed)
            if count >= 100:
                misrankings += estimates.ranks[FIRST] >= estimates.ranks[SECOND]
        self.assertLess(misrankings, 20)

    def test_fast_failures_do_not_improve_the_rank(self) -> None:
        """Guards against a good rank for an endpoint that fails quickly.

        Failed tasks end sooner than successful ones.
        """
        estimates = Estimates(1)
        for _ in range(20):
            estimates.succeed(FIRST)
        for _ in range(20):
            estimates.fail(FIRST)
        self.assertGreater(estimates.ranks[FIRST], 10)

    def test_failures_in_a_row_eject_for_longer_each_time(self) -> None:
        """Guards against frequent probes of an endpoint that keeps failing.

        Each failed probe doubles the time until the next one.
        """
        estimates = Estimates(2)
        for _ in range(3):
            self.assertIn(FIRST, estimates.ranks)
            estimates.fail(FIRST)
        now = float(0)
        for period_s in (1, 2, 4, 8):
            self.assertEqual(now + period_s, estimates.next_probe_at(now=now))
            now += period_s
            self.assertEqual(
                [FIRST], estimates.endpoints_on_probation(NAMES, now=now)
            )
            estimates.record_start(FIRST, now=now)
            estimates.fail(FIRST, now=now)

    def test_success_between_failures_prevents_ejection(self) -> None:
        """Guards against ejecting an endpoint for occasional failures.

        Two of three tasks fail, but never three in a row.
        """
        estimates = Estimates(2)
        for _ in range(5):
            estimates.fail(FIRST)
            estimates.fail(FIRST)
            estimates.succeed(FIRST)
        self.assertIn(FIRST, estimates.ranks)

    def test_probes_go_one_at_a_time(self) -> None:
        """Guards against many failed tasks when an ejection ends too early.

        While the first task is running at the endpoint, no other may be sent.
        """
        estimates = Estimates(2)
        estimates.record_refusal(FIRST, request_id=ids.RequestId('r'), now=0)
        self.assertEqual([], estimates.endpoints_on_probation(NAMES, now=0.9))
        estimates.record_start(FIRST, now=1)
        self.assertEqual([], estimates.endpoints_on_probation(NAMES, now=1))
        estimates.record_inconclusive(FIRST)
        self.assertEqual(
            [FIRST], estimates.endpoints_on_probation(NAMES, now=1)
        )
        estimates.succeed(FIRST, now=1)
        self.assertIn(FIRST, estimates.ranks)

    def test_non_idempotent_tasks_wait_to_probe(self) -> None:
        """Guards against a job that fails because its task was a probe.

        The task may not be retried if the endpoint still fails.
        """
        estimates = Estimates(2)
        estimates.record_refusal(FIRST, request_id=ids.RequestId('r'), now=0)
        self.assertEqual([], estimates.probes_for_any_task([FIRST], now=2))
        self.assertEqual(11, estimates.next_probe_at(now=2))
        self.assertEqual(
            [FIRST], estimates.probes_for_any_task([FIRST], now=11)
        )

    def test_any_task_may_probe_the_only_endpoint(self) -> None:
        """Guards against jobs that wait although an endpoint could be probed.

        No endpoint is in service, so that no idempotent task comes first.
        """
        estimates = Estimates(2)
        estimates.record_refusal(FIRST, request_id=ids.RequestId('r'), now=0)
        estimates.ranks.clear()
        self.assertEqual([FIRST], estimates.probes_for_any_task([FIRST], now=2))

    def test_half_of_a_zone_stays_in_service(self) -> None:
        """Guards against a zone without endpoints when all of them fail."""
        estimates = Estimates(5)
        for endpoint in NAMES * 6:
            estimates.fail(endpoint)
        self.assertEqual(3, len(estimates.ranks))

    def test_failing_job_does_not_eject_healthy_endpoints(self) -> None:
        """Guards against a job that ejects half a zone by failing everywhere.

        Only its failures at the first endpoint count.
        """
        estimates = Estimates(4)
        for endpoint in NAMES[:4] * 3:
            estimates.fail(endpoint, 'bad job')
        self.assertEqual(3, len(estimates.ranks))

    def test_job_with_a_success_ejects_all_failing_endpoints(self) -> None:
        """Guards against attributing endpoint failures to a job that can run.

        A task of the job has succeeded, so failures at two endpoints count.
        """
        estimates = Estimates(4)
        estimates.record_job_success(ids.RequestId('good job'))
        for endpoint in (FIRST, SECOND) * 3:
            estimates.fail(endpoint, 'good job')
        self.assertEqual(NAMES[2:4], tuple(estimates.ranks))

    def test_unresponsive_endpoint_is_ejected(self) -> None:
        """Guards against slots that stay in use at an endpoint that hangs.

        Both endpoints have stragglers, but only the second has responded since
        these started.
        """
        estimates = Estimates(2)
        estimates.succeed(FIRST, now=1)
        estimates.succeed(SECOND, now=5)
        self.assertGreater(estimates.straggler_after_s(CUSTOMER), 1)
        for endpoint in (FIRST, SECOND):
            estimates.record_stragglers(
                endpoint, count=2, newest_start=2, now=6
            )
        self.assertEqual([SECOND], list(estimates.ranks))

    def test_estimates_of_unused_endpoints_decay(self) -> None:
        """Guards against an endpoint that never gets tasks again.

        It was slow once, and without tasks its speed is not measured again.
        """
        estimates = Estimates(2)
        for _ in range(50):
            estimates.succeed(FIRST, 0.1)
            estimates.succeed(SECOND, 0.4)
        for now in range(1, 300):
            estimates.decay_unused(now=now)
        self.assertEqual(0, estimates.ranks[SECOND])
