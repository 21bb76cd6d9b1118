"""Health estimate of an endpoint, and failure records of requests."""

import collections
import dataclasses
import math
import random

from sardineproxy import ids

#: Base rank of endpoints in other zones, so that they rank after all endpoints
#: of the own zone.
OTHER_ZONE_RANK = 10_000

#: Ratio between the scores of adjacent ranks. Scores within it count as equal,
#: so that noise in the estimates does not send all tasks to one endpoint.
SCORE_STEP = 1.1

#: Maximum number of requests whose failures and successes are tracked.
MAX_TRACKED_REQUESTS = 1024

_RANKS_PER_LOG_UNIT = 1 / math.log(SCORE_STEP)

#: Recorded instead of an endpoint once a task of the request has succeeded.
_SUCCEEDED = ids.EndpointId('')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Parameters of ejection and of the estimates."""

    #: Largest fraction of a zone's endpoints that may be ejected at once.
    max_ejected_fraction: float = 0.5

    #: Consecutive failures that eject an endpoint.
    failures_to_eject: int = 3

    #: Mean length of the first ejection, in seconds. It doubles with every
    #: further ejection.
    first_ejection_s: float = 1

    #: Longest mean length of an ejection, in seconds.
    max_ejection_s: float = 60

    #: Jitter of the length of an ejection, as a fraction of its mean.
    jitter: float = 0.25

    #: Time on probation in seconds after which a task that may not be retried
    #: may be used as a probe. Such a task fails if the probe fails, so only
    #: idempotent tasks probe earlier, unless no other endpoint is in service.
    unsafe_probe_after_s: float = 10

    #: Time in service after which the length of ejections is reset to the
    #: first one, in seconds.
    ejection_reset_s: float = 120

    #: Weight of a new observation in the failure rate (moving average).
    failure_gain: float = 0.1

    #: Smallest weight of a new observation in the relative run time. Run
    #: times of equal tasks spread over a factor of 20, so that with a weight
    #: of 0.1 the noise is as large as the differences between endpoints.
    min_run_time_gain: float = 0.02

    #: Weight of a new observation in a customer's mean run time.
    mean_run_time_gain: float = 0.02

    #: Half-life of the estimate of an unused endpoint, in seconds.
    half_life_s: float = 30

    #: Weight of the failure rate in the score: with a weight of 1, a failure
    #: rate of 100 % doubles the score.
    failure_weight: float = 4

    #: Multiple of the customer's mean run time after which a task is a
    #: straggler.
    straggler_factor: float = 4

    #: Shortest run time of a straggler, in seconds.
    min_straggler_s: float = 2

    #: Number of stragglers that eject an endpoint if it has not responded
    #: since they started.
    stragglers_to_eject: int = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class Estimate:
    """Estimated speed, failure rate and ejection state of one endpoint."""

    zone: ids.ZoneId

    #: Geometric mean of the run times relative to those of all endpoints.
    relative_run_time: float = 1

    #: Number of run times in this mean.
    observations: int = 0
    failure_rate: float = 0
    failures_in_row: int = 0

    #: Rank of an endpoint of this zone with average speed and no failures.
    base_rank: int = 0

    #: Number of ejection periods since the last reset.
    ejections: int = 0

    #: True while ejected or on probation.
    is_ejected: bool = False
    ejected_until: float = 0
    running_probes: int = 0
    readmitted_at: float = -math.inf

    #: Time of the last complete response that was no failure.
    last_response_at: float = -math.inf
    updated_at: float = 0

    def update_relative_run_time(self, relative: float, cfg: Config) -> None:
        """Add a task's relative run time to the mean.

        The first tasks have a larger weight. The mean is geometric, so that
        one long task does not outweigh many.
        """
        self.observations += 1
        gain = max(cfg.min_run_time_gain, 1 / (self.observations + 1))
        self.relative_run_time = math.pow(
            self.relative_run_time, 1 - gain
        ) * math.pow(relative, gain)

    def is_due_for_probe(self, now: float) -> bool:
        """Return whether the ejection has ended and no probe is running."""
        return not self.running_probes and now >= self.ejected_until

    def renew_ejection(
        self, *, cfg: Config, rng: random.Random, now: float
    ) -> None:
        """Start the next, longer ejection period if the current one is over.

        Tasks that started before the ejection therefore do not extend it.
        """
        if now < self.ejected_until:
            return
        mean_s = min(
            cfg.max_ejection_s,
            cfg.first_ejection_s * math.pow(2, min(self.ejections, 30)),
        )
        self.ejections += 1
        self.running_probes = 0
        self.ejected_until = now + mean_s * rng.uniform(
            1 - cfg.jitter, 1 + cfg.jitter
        )

    def rank(self, cfg: Config) -> int:
        """Return the score on a logarithmic scale; lower ranks are better."""
        score = self.relative_run_time * (
            1 + cfg.failure_weight * self.failure_rate
        )
        if score <= 0:
            return self.base_rank
        return self.base_rank + round(math.log(score) * _RANKS_PER_LOG_UNIT)


class RequestFailures:
    """The first endpoint at which each recent request failed, if any.

    Distinguishes requests that fail at all endpoints from faulty endpoints.
    """

    def __init__(self) -> None:
        """Create an instance without records."""
        self._first_failed: collections.OrderedDict[
            ids.RequestId, ids.EndpointId
        ] = collections.OrderedDict()

    def record_success(self, request_id: ids.RequestId) -> None:
        """Record that one of the request's tasks succeeded."""
        self._first_failed[request_id] = _SUCCEEDED
        self._drop_oldest()

    def is_request_at_fault(
        self, request_id: ids.RequestId, endpoint: ids.EndpointId
    ) -> bool:
        """Record a failure; return whether to attribute it to the request.

        It is attributed to the request if the request failed at another
        endpoint before and none of its tasks has succeeded.
        """
        first_endpoint = self._first_failed.setdefault(request_id, endpoint)
        self._drop_oldest()
        return first_endpoint not in {endpoint, _SUCCEEDED}

    def _drop_oldest(self) -> None:
        if len(self._first_failed) > MAX_TRACKED_REQUESTS:
            self._first_failed.popitem(last=False)
