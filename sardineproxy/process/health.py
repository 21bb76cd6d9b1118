"""Ranking and outlier ejection of endpoints from observed task outcomes.

The speed of an endpoint is estimated from the run times of successful tasks,
relative to those of all endpoints for the same customer. Failed tasks do not
count, because an endpoint that fails quickly would seem fast. Failures raise
its score, and consecutive failures eject it for a limited time.
"""

import collections
import math
import random
from typing import Iterable, Mapping

from sardineproxy import ids, logs
from sardineproxy.process import health_estimates

#: Parameters of ejection and of the estimates.
Config = health_estimates.Config

#: Shortest run time used in estimates, in seconds; keeps logarithms finite.
MIN_RUN_S = 1e-6

_LOG = logs.get_logger('dispatch')


class Health:  # noqa: WPS214
    """Health estimates of all listed endpoints."""

    def __init__(
        self, *, rng: random.Random, cfg: Config | None = None
    ) -> None:
        """Create estimates without endpoints."""
        self._rng = rng
        self._cfg = cfg or Config()
        self._estimates: dict[ids.EndpointId, health_estimates.Estimate] = {}
        self._endpoints_per_zone: collections.Counter[ids.ZoneId] = (
            collections.Counter()
        )
        self._ejected: dict[ids.EndpointId, health_estimates.Estimate] = {}
        self._mean_run_s: dict[ids.CustomerId, float] = {}

        #: Geometric means of the customers' run times, in seconds.
        self._geometric_mean_run_s: dict[ids.CustomerId, float] = {}
        self._request_failures = health_estimates.RequestFailures()

        #: Ranks of the endpoints that are in service (listed and not
        #: ejected); lower is better. Read-only for other modules.
        self.ranks: dict[ids.EndpointId, int] = {}

    def set_endpoints(
        self,
        zones: Mapping[ids.EndpointId, ids.ZoneId],
        *,
        own_zone: ids.ZoneId,
    ) -> None:
        """Replace the listed endpoints and drop the estimates of others.

        Endpoints of ``own_zone`` rank before all others.
        """
        retained = {
            endpoint: estimate
            for endpoint, estimate in self._estimates.items()
            if zones.get(endpoint) == estimate.zone
        }
        self._estimates = {
            endpoint: retained.get(endpoint)
            or health_estimates.Estimate(zone=zone)
            for endpoint, zone in zones.items()
        }
        self._ejected = {
            endpoint: estimate
            for endpoint, estimate in retained.items()
            if estimate.is_ejected
        }
        self._endpoints_per_zone = collections.Counter(zones.values())
        self.ranks.clear()
        for endpoint, estimate in self._estimates.items():
            if estimate.zone != own_zone:
                estimate.base_rank = health_estimates.OTHER_ZONE_RANK
            if not estimate.is_ejected:
                self.ranks[endpoint] = estimate.rank(self._cfg)

    def endpoints_on_probation(
        self, endpoints: Iterable[ids.EndpointId], *, now: float
    ) -> list[ids.EndpointId]:
        """Return the endpoints on probation that have no running probe.

        An endpoint is on probation from the end of its ejection until it
        responds without a failure. It gets one task at a time, as a probe.
        """
        if not self._ejected:
            return []
        return [
            endpoint
            for endpoint in endpoints
            if endpoint in self._ejected
            and self._ejected[endpoint].is_due_for_probe(now)
        ]

    def probes_for_any_task(
        self, probes: list[ids.EndpointId], *, now: float
    ) -> list[ids.EndpointId]:
        """Return the endpoints on probation that any task may probe.

        While other endpoints are in service, these are only the ones that
        have waited for an idempotent probe for ``unsafe_probe_after_s``.
        """
        if not self.ranks:
            return probes
        return self.endpoints_on_probation(
            probes, now=now - self._cfg.unsafe_probe_after_s
        )

    def next_probe_at(self, *, now: float) -> float | None:
        """Return the next time at which more tasks may probe an endpoint.

        Returns None if no ejection or probation limits any task.
        """
        probe_times = [
            estimate.ejected_until + wait_s
            for estimate in self._ejected.values()
            for wait_s in (0, self._cfg.unsafe_probe_after_s)
            if estimate.ejected_until + wait_s > now
        ]
        return min(probe_times, default=None)

    def record_start(self, endpoint: ids.EndpointId, *, now: float) -> None:
        """Record that a task is about to be sent; it may be a probe."""
        estimate = self._ejected.get(endpoint)
        if estimate is not None and now >= estimate.ejected_until:
            estimate.running_probes += 1

    def record_response(self, endpoint: ids.EndpointId, *, now: float) -> None:
        """Record a complete response that is no failure of the endpoint."""
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        if estimate.is_ejected:
            self._readmit(endpoint, estimate, now=now)
        estimate.failures_in_row = 0
        estimate.last_response_at = now

    def record_success(
        self,
        endpoint: ids.EndpointId,
        *,
        customer: ids.CustomerId,
        run_s: float,
        now: float,
    ) -> None:
        """Record a complete response without an error status."""
        self.record_response(endpoint, now=now)
        cfg = self._cfg
        mean_s = self._mean_run_s.get(customer, run_s)
        self._mean_run_s[customer] = mean_s + cfg.mean_run_time_gain * (
            run_s - mean_s
        )
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        estimate.failure_rate -= cfg.failure_gain * estimate.failure_rate
        estimate.update_relative_run_time(
            self._relative_run_time(customer, run_s), cfg
        )
        estimate.updated_at = now
        if not estimate.is_ejected:
            self.ranks[endpoint] = estimate.rank(cfg)

    def record_job_success(self, request_id: ids.RequestId) -> None:
        """Record that a task of a job succeeded.

        Later failures of the job are then attributed to endpoints.
        """
        self._request_failures.record_success(request_id)

    def record_failure(
        self,
        endpoint: ids.EndpointId,
        *,
        request_id: ids.RequestId,
        now: float,
    ) -> None:
        """Record a failed task; consecutive failures eject the endpoint.

        The failure is not counted if the request failed at another endpoint
        before and none of its tasks has succeeded. Otherwise a job that can
        never run would eject half of the zone.
        """
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        if estimate.is_ejected:
            estimate.renew_ejection(cfg=self._cfg, rng=self._rng, now=now)
            return
        if self._request_failures.is_request_at_fault(request_id, endpoint):
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
        """Eject an endpoint that was unreachable or responded with 503."""
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return
        if estimate.is_ejected:
            estimate.renew_ejection(cfg=self._cfg, rng=self._rng, now=now)
            return
        self._count_failure(endpoint, estimate, now=now)
        self._eject(endpoint, estimate, now=now)

    def record_inconclusive(self, endpoint: ids.EndpointId) -> None:
        """Record an outcome that is no evidence for or against the endpoint."""
        estimate = self._ejected.get(endpoint)
        if estimate is not None and estimate.running_probes:
            estimate.running_probes -= 1

    def mean_run_s(self, customer: ids.CustomerId) -> float:
        """Return the mean run time of the customer's tasks, in seconds.

        The mean is taken over all endpoints; it is 0 without observations.
        """
        return self._mean_run_s.get(customer, 0)

    def straggler_after_s(self, customer: ids.CustomerId) -> float:
        """Return the run time, in seconds, that makes a task a straggler."""
        mean_run_s = self.mean_run_s(customer)
        return max(
            self._cfg.min_straggler_s, self._cfg.straggler_factor * mean_run_s
        )

    def record_stragglers(
        self,
        endpoint: ids.EndpointId,
        *,
        count: int,
        newest_start: float,
        now: float,
    ) -> None:
        """Eject an endpoint that has not responded since stragglers started.

        ``count`` is the number of stragglers at the endpoint, and
        ``newest_start`` the time at which the newest of them started.
        """
        estimate = self._estimates.get(endpoint)
        if estimate is None or estimate.is_ejected:
            return
        unresponsive = estimate.last_response_at < newest_start
        if unresponsive and count >= self._cfg.stragglers_to_eject:
            self._count_failure(endpoint, estimate, now=now)
            self._eject(endpoint, estimate, now=now)

    def decay_unused(self, *, now: float) -> None:
        """Decay estimates without recent observations towards the mean.

        Without decay, an endpoint that was slow once would never get the tasks
        that could show its recovery. An estimate decays at most once a second,
        but not while the endpoint is ejected or has rank 0 (average).
        """
        half_life_s = self._cfg.half_life_s
        for endpoint, estimate in self._estimates.items():
            idle_s = now - estimate.updated_at
            if idle_s >= 1 and self.ranks.get(endpoint):
                decay = math.pow(2, -min(idle_s, half_life_s) / half_life_s)
                estimate.relative_run_time = (
                    1 + (estimate.relative_run_time - 1) * decay
                )
                estimate.failure_rate *= decay
                estimate.updated_at = now
                self.ranks[endpoint] = estimate.rank(self._cfg)

    def state(self, *, now: float) -> dict[str, object]:
        """Return the estimates for the state dump."""
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
        """Return a run time relative to the customer's geometric mean.

        Updates this mean with the run time.
        """
        run_s = max(run_s, MIN_RUN_S)
        typical_s = self._geometric_mean_run_s.get(customer, run_s)
        relative = run_s / typical_s
        self._geometric_mean_run_s[customer] = typical_s * math.pow(
            relative, self._cfg.mean_run_time_gain
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
        estimate.updated_at = now
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
        max_ejected = (
            self._cfg.max_ejected_fraction * self._endpoints_per_zone[zone]
        )
        if ejected + 1 > max_ejected:
            return
        if now - estimate.readmitted_at > self._cfg.ejection_reset_s:
            estimate.ejections = 0
        estimate.is_ejected = True
        self._ejected[endpoint] = estimate
        self.ranks.pop(endpoint, None)
        estimate.renew_ejection(cfg=self._cfg, rng=self._rng, now=now)
        _LOG.warning(
            'Endpoint ejected after failures.', extra={'endpoint': endpoint}
        )

    def _readmit(
        self,
        endpoint: ids.EndpointId,
        estimate: health_estimates.Estimate,
        *,
        now: float,
    ) -> None:
        """Return the endpoint to service if its ejection has ended."""
        if now < estimate.ejected_until:
            return
        estimate.is_ejected = False
        estimate.readmitted_at = now
        estimate.running_probes = 0
        self._ejected.pop(endpoint, None)
        _LOG.info(
            'Endpoint responded after its ejection; returned to service.',
            extra={'endpoint': endpoint},
        )
        self.ranks[endpoint] = estimate.rank(self._cfg)
