"""Health and speed of a worker, estimated from the results of its runs."""

import math

from sardineproxy.process.shards import runs, workers

#: Failures of this many jobs in a row, without a success in between, are
#: attributed to the worker. One in 500 tasks fails through its own fault.
SUSPECT_FAILED_JOBS = 2

#: Shortest and longest ejection of a worker after failed runs, a refused order
#: or a stalled run, in seconds.
EJECTION_MIN_S = 0.5
EJECTION_MAX_S = 4.0

#: Smallest weight of one run time in the speed estimate; it is larger for the
#: first runs. Clients' estimates are off by a factor of 1.5 (standard
#: deviation), so that a single run time is weak evidence.
SPEED_WEIGHT = 0.05

#: Weight of the prior speed of 1 in the speed estimate, in run times.
PRIOR_WEIGHT = 4

#: A run that takes this many times as long as expected, or as short, suggests
#: that the estimated speed is wrong: three standard deviations of the
#: estimates' error.
SLOW_FACTOR = 3.5

#: Weight of such a run in the speed estimate if the one before it suggested
#: the same. One run alone is no evidence: 3 % of all run times are 7 times as
#: long, which halved the estimated speeds of healthy workers about every 30
#: runs.
SLOW_WEIGHT = 0.5

#: Bounds for the projection of a run's total time: less progress counts as
#: this much, in percent, and the run must have taken this long, in seconds.
PROJECTION_MIN_PERCENT = 2
PROJECTION_MIN_RUN_S = 0.1


class Health:
    """Failures and estimated speed of one worker."""

    def __init__(self) -> None:
        """Create the state of a healthy worker of average speed."""
        self._log_cold_factor: float = 0
        self.reset()

    def reset(self) -> None:
        """Discard all observations after a restart of the worker."""
        self._failed_jobs: set[str] = set()
        self._ejections = 0
        self._ejected_until: float = 0
        self._log_speed: float = 0
        self._sample_count = 0

        #: 0 if the last run took about as long as expected, positive if it was
        #: far faster, negative if it was far slower.
        self._last_outlier = 0

        #: True after an ejection until a run has succeeded. The worker gets
        #: one run at a time then.
        self.on_probation = False

        #: Seconds of estimated work that complete in one second.
        self.speed = math.exp(-self._log_cold_factor)

    @property
    def is_suspect(self) -> bool:
        """Return whether recent failures are attributed to the worker."""
        return len(self._failed_jobs) >= SUSPECT_FAILED_JOBS

    def is_available(self, now: float) -> bool:
        """Return whether the worker is not ejected."""
        return now >= self._ejected_until

    def set_cold_factor(self, factor: float) -> None:
        """Set by which factor tasks take longer, 1 on a warm worker.

        The learned speed is that of the warm worker.
        """
        self._log_cold_factor = math.log(factor)
        self.speed = math.exp(self._log_speed - self._log_cold_factor)

    def record_refusal(self, now: float) -> None:
        """Record that the worker refused an order."""
        self._eject(now)

    def record_stall(self, now: float) -> None:
        """Record that a run made no progress."""
        self._eject(now)

    def record_result(
        self, run: runs.Run, result: workers.RunResult, now: float
    ) -> None:
        """Record the result of a run."""
        if result is workers.RunResult.DONE:
            self._failed_jobs.clear()
            self._ejections = 0
            self.on_probation = False
            self._record_duration(run, now)
        elif result is workers.RunResult.FAILED:
            self._failed_jobs.add(run.batch.job)
            if self.is_suspect:
                self._eject(now)

    def record_progress(self, run: runs.Run, now: float) -> None:
        """Detect a slow worker from the progress of an active run."""
        ran_s = now - run.started_at
        if run.is_slow or not run.expected_s or ran_s < PROJECTION_MIN_RUN_S:
            return
        projected_s = ran_s * 100 / max(run.percent, PROJECTION_MIN_PERCENT)
        if projected_s > SLOW_FACTOR * run.expected_s / self.speed:
            run.is_slow = True
            self._record_ratio(self._warm_log_ratio(run, projected_s))

    def state(self, now: float) -> dict[str, object]:
        """Return the estimates for the state dump."""
        return {
            'speed': round(self.speed, 3),
            'seen': self._sample_count,
            'failed_jobs': len(self._failed_jobs),
            'closed_s': round(max(0, self._ejected_until - now), 3),
            'on_probation': self.on_probation,
        }

    def _eject(self, now: float) -> None:
        if not self.is_available(now):
            return
        self._ejections += 1
        self.on_probation = True
        self._ejected_until = now + min(
            EJECTION_MIN_S * 2 ** min(self._ejections - 1, 8), EJECTION_MAX_S
        )

    def _record_duration(self, run: runs.Run, now: float) -> None:
        duration_s = now - run.started_at
        if not run.started_at or duration_s <= 0 or not run.expected_s:
            return
        if not run.is_slow:
            self._record_ratio(self._warm_log_ratio(run, duration_s))

    def _record_ratio(self, log_ratio: float) -> None:
        """Apply the logarithm of the speed that one run has shown."""
        self._sample_count += 1
        difference = log_ratio - self._log_speed
        outlier = int(difference / math.log(SLOW_FACTOR))
        is_repeated = outlier * self._last_outlier > 0
        self._last_outlier = outlier
        weight = max(SPEED_WEIGHT, 1 / (self._sample_count + PRIOR_WEIGHT))
        self._update_speed(log_ratio, SLOW_WEIGHT if is_repeated else weight)

    def _update_speed(self, log_ratio: float, weight: float) -> None:
        self._log_speed += weight * (log_ratio - self._log_speed)
        self.speed = math.exp(self._log_speed - self._log_cold_factor)

    def _warm_log_ratio(self, run: runs.Run, duration_s: float) -> float:
        """Return the logarithm of the speed that a warm worker would show."""
        return math.log(run.expected_s / duration_s) + self._log_cold_factor
