"""Learned speed, failures and ejection of endpoints.

The expected run time of an endpoint is learned from successes only, relative
to what the fleet needs for the same workload. Failures never make an endpoint
more attractive; they raise its score and, in a row, eject it for a time.
"""

import collections
import math
import random
from typing import Iterable, Mapping

from sardineproxy import ids, logs
from sardineproxy.process import health_estimates

#: Bounds of ejection and learning.
Config = health_estimates.Config

#: Shorter run times count as this, in seconds.
MIN_RUN_S = 1e-6

_log = logs.get_logger('dispatch')


class Health:  # noqa: WPS214
    """Health estimates of all listed endpoints."""

    def __init__(
        self, *, rng: random.Random, cfg: Config | None = None
    ) -> None:
        """Start without endpoints."""
        self._rng = rng
        self._cfg = cfg or Config()
        self._estimates: dict[ids.EndpointId, health_estimates.Estimate] = {}
        self._zone_sizes: collections.Counter[ids.ZoneId] = (
            collections.Counter()
        )
        self._ejected: dict[ids.EndpointId, health_estimates.Estimate] = {}
        self._mean_run_s: dict[ids.CustomerId, float] = {}

        #: Geometric means of the customers' run times, in seconds.
        self._geometric_mean_run_s: dict[ids.CustomerId, float] = {}
        self._requests = health_estimates.RequestFailures()

        #: Place of the expected run time of each endpoint that is listed and
        #: not ejected, least first; only the estimates change it.
        self.ranks: dict[ids.EndpointId, int] = {}

    def set_endpoints(
        self,
        zones: Mapping[ids.EndpointId, ids.ZoneId],
        *,
        own: ids.ZoneId,
    ) -> None:
        """Replace the listed endpoints; estimates of the others are dropped.

        Endpoints of the ``own`` zone rank before all others.
        """
        kept = {
            endpoint: estimate
            for endpoint, estimate in self._estimates.items()
            if zones.get(endpoint) == estimate.zone
        }
        self._estimates = {
            endpoint: kept.get(endpoint) or health_estimates.Estimate(zone=zone)
            for endpoint, zone in zones.items()
        }
        self._ejected = {
            endpoint: estimate
            for endpoint, estimate in kept.items()
            if estimate.is_ejected
        }
        self._zone_sizes = collections.Counter(zones.values())
        self.ranks.clear()
        for endpoint, estimate in self._estimates.items():
            if estimate.zone != own:
                estimate.base_rank = health_estimates.OTHER_ZONE_RANK
            if not estimate.is_ejected:
                self.ranks[endpoint] = estimate.rank(self._cfg)

    def endpoints_on_probation(
        self, endpoints: Iterable[ids.EndpointId], *, now: float
    ) -> list[ids.EndpointId]:
        """Return those whose ejection has passed and that have no probe.

        Each may get one task at a time.
        """
        if not self._ejected:
            return []
        return [
            endpoint
            for endpoint in endpoints
            if endpoint in self._ejected
            and self._ejected[endpoint].is_on_probation(now)
        ]

    def probes_for_any_task(
        self, probes: list[ids.EndpointId], *, now: float
    ) -> list[ids.EndpointId]:
        """Return those of ``probes`` that any task may probe.

        While other endpoints are in service these are only the ones that no
        harmless task has probed for long.
        """
        if not self.ranks:
            return probes
        return self.endpoints_on_probation(
            probes, now=now - self._cfg.unsafe_probe_after_s
        )

    def next_probe_at(self, *, now: float) -> float | None:
        """Return when more tasks may probe an endpoint, None if never."""
        ends = [
            estimate.ejected_until + wait_s
            for estimate in self._ejected.values()
            for wait_s in (0, self._cfg.unsafe_probe_after_s)
            if estimate.ejected_until + wait_s > now
        ]
        return min(ends, default=None)

    def record_start(self, endpoint: ids.EndpointId, *, now: float) -> None:
        """Note that a task is about to be sent to the endpoint."""
        estimate = self._ejected.get(endpoint)
        if estimate is not None and now >= estimate.ejected_until:
            estimate.probes += 1

    def record_response(self, endpoint: ids.EndpointId, *, now: float) -> None:
        """Note a whole answer that is no failure of the endpoint."""
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        if estimate.is_ejected:
            self._readmit(endpoint, estimate, now=now)
        estimate.failures_in_row = 0
        estimate.last_success = now

    def record_success(
        self,
        endpoint: ids.EndpointId,
        *,
        customer: ids.CustomerId,
        run_s: float,
        now: float,
    ) -> None:
        """Learn from a whole answer without an error status."""
        self.record_response(endpoint, now=now)
        cfg = self._cfg
        fleet_s = self._mean_run_s.get(customer, run_s)
        self._mean_run_s[customer] = fleet_s + cfg.fleet_gain * (
            run_s - fleet_s
        )
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        estimate.failure_rate -= cfg.failure_gain * estimate.failure_rate
        estimate.update_relative_run_time(
            self._relative_run_time(customer, run_s), cfg
        )
        estimate.last_update = now
        if not estimate.is_ejected:
            self.ranks[endpoint] = estimate.rank(cfg)

    def record_job_success(self, request_id: ids.RequestId) -> None:
        """Note that a task of a job succeeded, so that it can run."""
        self._requests.record_success(request_id)

    def record_failure(
        self,
        endpoint: ids.EndpointId,
        *,
        request_id: ids.RequestId,
        now: float,
    ) -> None:
        """Count a failed task; several in a row eject the endpoint.

        A request that failed at another endpoint before, and of which no task
        succeeded, is to blame itself: a job that can never run must not eject
        half of the zone.
        """
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        if estimate.is_ejected:
            estimate.renew_ejection(cfg=self._cfg, rng=self._rng, now=now)
            return
        if self._requests.is_request_at_fault(request_id, endpoint):
            return
        estimate.failures_in_row += 1
        self._count_failure(endpoint, estimate, now=now)
        if estimate.failures_in_row >= self._cfg.failures_to_eject:
            self._eject(endpoint, estimate, now=now)

    def record_refusal(
        self,
        endpoint: ids.EndpointId,
        *,
        request_id: ids.RequestId,
        now: float,
    ) -> None:
        """Set aside an endpoint that took no connection or answered 503."""
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        if estimate.is_ejected:
            estimate.renew_ejection(cfg=self._cfg, rng=self._rng, now=now)
            return
        self._count_failure(endpoint, estimate, now=now)
        self._eject(endpoint, estimate, now=now)

    def record_inconclusive(self, endpoint: ids.EndpointId) -> None:
        """Note that a started task ended without a sign of health."""
        estimate = self._ejected.get(endpoint)
        if estimate is not None and estimate.probes:
            estimate.probes -= 1

    def mean_run_s(self, customer: ids.CustomerId) -> float:
        """Return the fleet's mean run time of the customer's tasks, or 0."""
        return self._mean_run_s.get(customer, 0)

    def straggler_after_s(self, customer: ids.CustomerId) -> float:
        """Return the run time, in seconds, that makes a task a straggler."""
        usual_s = self.mean_run_s(customer)
        return max(
            self._cfg.min_straggler_s, self._cfg.straggler_factor * usual_s
        )

    def record_stragglers(
        self,
        endpoint: ids.EndpointId,
        *,
        count: int,
        since: float,
        now: float,
    ) -> None:
        """Eject an endpoint that gave no answer since its stragglers began."""
        estimate = self._estimates.get(endpoint)
        if estimate is None or estimate.is_ejected:
            return
        silent = estimate.last_success < since
        if silent and count >= self._cfg.stragglers_to_eject:
            self._count_failure(endpoint, estimate, now=now)
            self._eject(endpoint, estimate, now=now)

    def decay_unused(self, *, now: float) -> None:
        """Move estimates without recent observations towards the mean.

        Called about once a second; otherwise an endpoint that was slow once
        would never get the work that could show that it recovered.
        """
        half_life_s = self._cfg.half_life_s
        for endpoint, estimate in self._estimates.items():
            idle_s = now - estimate.last_update
            if idle_s >= 1 and self.ranks.get(endpoint):
                kept = math.pow(2, -min(idle_s, half_life_s) / half_life_s)
                estimate.relative_run_time = (
                    1 + (estimate.relative_run_time - 1) * kept
                )
                estimate.failure_rate *= kept
                estimate.last_update = now
                self.ranks[endpoint] = estimate.rank(self._cfg)

    def state(self, *, now: float) -> dict[str, object]:
        """Return the state dump."""
        return {
            endpoint: {
                'ejected_for_s': max(0, estimate.ejected_until - now)
                if estimate.is_ejected
                else None,
                'slowness': round(estimate.relative_run_time, 3),
                'failure_rate': round(estimate.failure_rate, 3),
                'failures_in_row': estimate.failures_in_row,
                'ejections': estimate.ejections,
            }
            for endpoint, estimate in sorted(self._estimates.items())
        }

    def _relative_run_time(
        self, customer: ids.CustomerId, run_s: float
    ) -> float:
        """Return a run time relative to the customer's, and learn from it."""
        run_s = max(run_s, MIN_RUN_S)
        typical_s = self._geometric_mean_run_s.get(customer, run_s)
        relative = run_s / typical_s
        self._geometric_mean_run_s[customer] = typical_s * math.pow(
            relative, self._cfg.fleet_gain
        )
        return relative

    def _count_failure(
        self,
        endpoint: ids.EndpointId,
        estimate: health_estimates.Estimate,
        *,
        now: float,
    ) -> None:
        estimate.failure_rate += self._cfg.failure_gain * (
            1 - estimate.failure_rate
        )
        estimate.last_update = now
        self.ranks[endpoint] = estimate.rank(self._cfg)

    def _eject(
        self,
        endpoint: ids.EndpointId,
        estimate: health_estimates.Estimate,
        *,
        now: float,
    ) -> None:
        zone = estimate.zone
        ejected = sum(other.zone == zone for other in self._ejected.values())
        allowed = self._cfg.max_ejected_fraction * self._zone_sizes[zone]
        if ejected + 1 > allowed:
            return
        if now - estimate.readmitted_at > self._cfg.ejection_reset_s:
            estimate.ejections = 0
        estimate.is_ejected = True
        self._ejected[endpoint] = estimate
        self.ranks.pop(endpoint, None)
        estimate.renew_ejection(cfg=self._cfg, rng=self._rng, now=now)
        _log.warning('endpoint ejected', extra={'endpoint': endpoint})

    def _readmit(
        self,
        endpoint: ids.EndpointId,
        estimate: health_estimates.Estimate,
        *,
        now: float,
    ) -> None:
        """Return the endpoint to service if its ejection has passed."""
        if now < estimate.ejected_until:
            return
        estimate.is_ejected = False
        estimate.readmitted_at = now
        estimate.probes = 0
        self._ejected.pop(endpoint, None)
        _log.info('endpoint returned', extra={'endpoint': endpoint})
        self.ranks[endpoint] = estimate.rank(self._cfg)
