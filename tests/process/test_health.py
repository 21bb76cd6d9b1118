"""Ranks and ejections of endpoints."""

import random

import testtools
from testtools import matchers

from sardineproxy import ids
from sardineproxy.process import health

ZONE = ids.ZoneId('z')
CUSTOMER = ids.CustomerId('c')


def names(count: int) -> list[ids.EndpointId]:
    return [ids.EndpointId(f'w{number}') for number in range(count)]


def make_health(count: int, **options: float) -> health.Health:
    estimates = health.Health(
        rng=random.Random(1),
        cfg=health.Config(**options),  # type: ignore[arg-type]
    )
    estimates.set_zones({name: ZONE for name in names(count)}, own=ZONE)
    return estimates


class HealthTest(testtools.TestCase):
    """Failing endpoints lose work, and healthy ones keep it."""

    def fail(
        self,
        estimates: health.Health,
        endpoint: ids.EndpointId,
        *,
        times: int = 3,
        request: str | None = None,
        now: float = 0,
    ) -> None:
        for number in range(times):
            estimates.record_failure(
                endpoint,
                request_id=ids.RequestId(request or f'{endpoint}-{number}'),
                now=now,
            )

    def succeed(
        self,
        estimates: health.Health,
        endpoint: ids.EndpointId,
        *,
        run_s: float = 0.1,
        now: float = 0,
    ) -> None:
        estimates.record_success(
            endpoint, customer=CUSTOMER, run_s=run_s, now=now
        )

    def test_slower_endpoints_rank_later(self) -> None:
        """Guards against a choice that ignores a factor of four in speed."""
        estimates = make_health(3)
        for _ in range(100):
            for endpoint, run_s in zip(names(3), (0.1, 0.2, 0.4)):
                self.succeed(estimates, endpoint, run_s=run_s)
        ranks = [estimates.ranks[endpoint] for endpoint in names(3)]
        self.assertEqual(sorted(ranks), ranks)
        self.assertThat(ranks[2] - ranks[0], matchers.GreaterThan(12))

    def test_fast_failures_do_not_attract(self) -> None:
        """Guards against an endpoint that fails at once looking fast."""
        estimates = make_health(1)
        for _ in range(20):
            self.succeed(estimates, names(1)[0])
        self.fail(estimates, names(1)[0], times=20)
        self.assertThat(estimates.ranks[names(1)[0]], matchers.GreaterThan(10))

    def test_failures_in_a_row_eject_for_longer_each_time(self) -> None:
        """Guards against a broken endpoint being tried without end."""
        estimates = make_health(2, jitter=0)
        endpoint = names(2)[0]
        self.fail(estimates, endpoint)
        now = float(0)
        for period_s in (1, 2, 4, 8):
            self.assertEqual(now + period_s, estimates.next_return(now=now))
            now += period_s
            self.assertEqual(
                [endpoint], estimates.on_probation(names(2), now=now)
            )
            estimates.record_start(endpoint, now=now)
            self.fail(estimates, endpoint, times=1, now=now)

    def test_success_between_failures_prevents_ejection(self) -> None:
        """Guards against ejecting an endpoint for rare failures."""
        estimates = make_health(2)
        for _ in range(5):
            self.fail(estimates, names(2)[0], times=2)
            self.succeed(estimates, names(2)[0])
        self.assertIn(names(2)[0], estimates.ranks)

    def test_probes_go_one_at_a_time(self) -> None:
        """Guards against a full load on an endpoint that may be broken."""
        estimates = make_health(2, jitter=0)
        endpoint = names(2)[0]
        estimates.record_refusal(endpoint, request_id=ids.RequestId('r'), now=0)
        self.assertEqual([], estimates.on_probation(names(2), now=0.9))
        estimates.record_start(endpoint, now=1)
        self.assertEqual([], estimates.on_probation(names(2), now=1))
        estimates.record_nothing(endpoint)
        self.assertEqual([endpoint], estimates.on_probation(names(2), now=1))
        self.succeed(estimates, endpoint, now=1)
        self.assertIn(endpoint, estimates.ranks)

    def test_half_of_a_zone_stays(self) -> None:
        """Guards against a zone without endpoints when all seem to fail."""
        estimates = make_health(5)
        for endpoint in names(5):
            self.fail(estimates, endpoint, times=6)
        self.assertEqual(3, len(estimates.ranks))

    def test_bad_job_does_not_eject_good_endpoints(self) -> None:
        """Guards against one impossible job ejecting half of a zone."""
        estimates = make_health(4)
        for endpoint in names(4):
            self.fail(estimates, endpoint, request='bad')
        self.assertEqual(3, len(estimates.ranks))

    def test_good_job_shows_all_bad_endpoints(self) -> None:
        """Guards against blaming a job for a second bad endpoint."""
        estimates = make_health(4)
        for endpoint in names(2):
            estimates.record_job_success(ids.RequestId('job'))
            self.fail(estimates, endpoint, request='job')
        self.assertEqual(set(names(4)[2:]), set(estimates.ranks))

    def test_silent_endpoint_is_ejected(self) -> None:
        """Guards against slots that wait for an endpoint that hangs."""
        estimates = make_health(2)
        silent, busy = names(2)
        self.succeed(estimates, silent, now=1)
        self.succeed(estimates, busy, now=5)
        limit_s = estimates.straggler_after_s(CUSTOMER)
        self.assertThat(limit_s, matchers.GreaterThan(1))
        for endpoint in (silent, busy):
            estimates.record_stragglers(endpoint, count=2, since=2, now=6)
        self.assertEqual([busy], list(estimates.ranks))

    def test_old_slowness_is_forgotten(self) -> None:
        """Guards against an endpoint that never gets work again."""
        estimates = make_health(2)
        for _ in range(50):
            self.succeed(estimates, names(2)[0], run_s=0.1)
            self.succeed(estimates, names(2)[1], run_s=0.4)
        for now in range(1, 300):
            estimates.forget_unused(now=now)
        self.assertEqual(0, estimates.ranks[names(2)[1]])
