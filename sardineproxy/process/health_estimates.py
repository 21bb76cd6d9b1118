"""What is known of one endpoint, and of requests that fail everywhere."""

import collections
import dataclasses
import math
import random

from sardineproxy import ids

#: Ranks that put another zone's endpoints after all of the own zone's.
OTHER_ZONE_RANK = 10_000

#: Scores within this ratio of each other count as equal, so that noise in the
#: estimates does not send all tasks to one endpoint.
SCORE_STEP = 1.1

#: Requests for which failures and successes are remembered.
MAX_TRACKED_REQUESTS = 1024

_RANKS_PER_LOG_UNIT = 1 / math.log(SCORE_STEP)

#: Stands for "some task of the request succeeded".
_SUCCEEDED = ids.EndpointId('')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Bounds of ejection and learning."""

    #: Largest part of a zone's endpoints that may be ejected at once.
    max_ejected_fraction: float = 0.5

    #: Failures in a row that eject an endpoint.
    failures_to_eject: int = 3

    #: Mean of the first ejection, in seconds; each further one doubles it.
    first_ejection_s: float = 1

    #: Longest mean of an ejection, in seconds.
    max_ejection_s: float = 60

    #: Part of an ejection that is random, either way.
    jitter: float = 0.25

    #: Time on probation after which a task that may not be sent again may be
    #: the probe, in seconds. A refused probe fails such a task for good, so
    #: that a harmless one is awaited while other endpoints are in service.
    unsafe_probe_after_s: float = 10

    #: Time in service after which ejections start short again, in seconds.
    ejection_reset_s: float = 120

    #: Part of a new observation in a learned failure rate.
    failure_gain: float = 0.1

    #: Least part of a new observation in a learned speed. Run times of equal
    #: tasks spread over a factor of 20, so at 0.1 the noise of an estimate
    #: was as large as the differences between endpoints.
    speed_gain: float = 0.02

    #: Part of a new observation in the fleet's run time of a workload.
    fleet_gain: float = 0.02

    #: Time after which an unused endpoint's estimate is half forgotten.
    half_life_s: float = 30

    #: Weight of the failure rate in the score: 1 doubles it at 100 %.
    failure_weight: float = 4

    #: A task is a straggler after this multiple of its expected run time...
    straggler_factor: float = 4

    #: ...but not before this time, in seconds.
    min_straggler_s: float = 2

    #: Stragglers, with no success since they started, that eject an endpoint.
    stragglers_to_eject: int = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class Estimate:
    """What is known of one endpoint."""

    zone: ids.ZoneId

    #: Run time relative to the fleet, as a geometric mean.
    relative_run_time: float = 1

    #: Successes that the slowness was learned from.
    observations: int = 0
    failure_rate: float = 0
    failures_in_row: int = 0

    #: Rank of the mean run time in the endpoint's zone.
    base_rank: int = 0

    #: Ejections in a row.
    ejections: int = 0
    is_ejected: bool = False
    ejected_until: float = 0
    probes: int = 0
    readmitted_at: float = -math.inf
    last_success: float = -math.inf
    last_update: float = 0

    def update_relative_run_time(self, relative: float, cfg: Config) -> None:
        """Move the slowness towards a task's; the first ones count most.

        The mean is geometric, so that one long task does not outweigh many.
        """
        self.observations += 1
        gain = max(cfg.speed_gain, 1 / (self.observations + 1))
        self.relative_run_time = math.pow(
            self.relative_run_time, 1 - gain
        ) * math.pow(relative, gain)

    def is_on_probation(self, now: float) -> bool:
        """Tell whether the ejection has passed and no probe is running."""
        return not self.probes and now >= self.ejected_until

    def renew_ejection(
        self, *, cfg: Config, rng: random.Random, now: float
    ) -> None:
        """Start the next, longer period of an ejection.

        Tasks that began before the ejection do not prolong it.
        """
        if now < self.ejected_until:
            return
        mean_s = min(
            cfg.max_ejection_s,
            cfg.first_ejection_s * math.pow(2, min(self.ejections, 30)),
        )
        self.ejections += 1
        self.probes = 0
        self.ejected_until = now + mean_s * rng.uniform(
            1 - cfg.jitter, 1 + cfg.jitter
        )

    def rank(self, cfg: Config) -> int:
        """Return the logarithm of the score in steps of ``SCORE_STEP``."""
        score = self.relative_run_time * (
            1 + cfg.failure_weight * self.failure_rate
        )
        if score <= 0:
            return self.base_rank
        return self.base_rank + round(math.log(score) * _RANKS_PER_LOG_UNIT)


class RequestFailures:
    """Where recent requests failed first, and whether they can succeed."""

    def __init__(self) -> None:
        """Start without requests."""
        self._first_failed: collections.OrderedDict[
            ids.RequestId, ids.EndpointId
        ] = collections.OrderedDict()

    def record_success(self, request_id: ids.RequestId) -> None:
        """Note that one of the request's tasks succeeded."""
        self._first_failed[request_id] = _SUCCEEDED
        self._drop_oldest()

    def is_request_at_fault(
        self, request_id: ids.RequestId, endpoint: ids.EndpointId
    ) -> bool:
        """Tell whether the request, not the endpoint, explains a failure."""
        first = self._first_failed.setdefault(request_id, endpoint)
        self._drop_oldest()
        return first not in {endpoint, _SUCCEEDED}

    def _drop_oldest(self) -> None:
        if len(self._first_failed) > MAX_TRACKED_REQUESTS:
            self._first_failed.popitem(last=False)
