"""What a worker's reports tell about its soundness and its speed."""

import math

from sardineproxy.process.shards import runs, workers

#: Failures of this many jobs in a row, with no success between, count as the
#: worker's own fault. One in 500 tasks fails by its own fault.
SUSPECT_JOBS = 2

#: Shortest and longest time without orders after failures, in seconds.
CLOSED_MIN_S = 0.5
CLOSED_MAX_S = 4.0

#: Weight of one duration in the learned speed. Clients' estimates are off by
#: a factor of 1.5 (standard deviation), so that one duration says little.
SPEED_WEIGHT = 0.05

#: Durations that count as much as the prior speed of 1.
PRIOR_WEIGHT = 4

#: A run that takes this much longer than expected shows a slow worker by
#: itself: three standard deviations of the estimates' error.
SLOW_FACTOR = 3.5

#: Weight of such a run in the learned speed.
SLOW_WEIGHT = 0.5

#: Progress from which a run's duration can be projected, in percent, and the
#: shortest time that it must have run, in seconds.
PROJECTED_FROM = 2
PROJECTED_AFTER_S = 0.1


class Health:
    """Failures and speed of one worker."""

    def __init__(self) -> None:
        """Start as sound and of average speed."""
        self.reset()

    def reset(self) -> None:
        """Forget everything: the worker started anew."""
        self._failed_jobs: set[str] = set()
        self._closures = 0
        self._closed_until: float = 0
        self._log_speed: float = 0
        self._seen = 0

        #: True after a closure until a run has ended well: the worker is
        #: given one run at a time.
        self.on_probation = False

        #: How many seconds of estimated work end in a second.
        self.speed = 1.0

    @property
    def is_suspect(self) -> bool:
        """Tell whether the worker itself seems to fail what it runs."""
        return len(self._failed_jobs) >= SUSPECT_JOBS

    def is_open(self, now: float) -> bool:
        """Tell whether the worker may be given work."""
        return now >= self._closed_until

    def refused(self, now: float) -> None:
        """Note that the worker refused an order."""
        self._close(now)

    def stood_still(self, now: float) -> None:
        """Note that a run made no progress."""
        self._close(now)

    def ended(self, run: runs.Run, how: workers.Ending, now: float) -> None:
        """Note the end of a run."""
        if how is workers.Ending.DONE:
            self._failed_jobs.clear()
            self._closures = 0
            self.on_probation = False
            self._learn(run, now)
        elif how is workers.Ending.FAILED:
            self._failed_jobs.add(run.batch.job)
            if self.is_suspect:
                self._close(now)

    def progressed(self, run: runs.Run, now: float) -> None:
        """Notice a slow worker before the run has ended."""
        ran_s = now - run.started_at
        if run.slow or not run.work_s or ran_s < PROJECTED_AFTER_S:
            return
        projected_s = ran_s * 100 / max(run.percent, PROJECTED_FROM)
        if projected_s > SLOW_FACTOR * run.work_s / self.speed:
            run.slow = True
            self._move(math.log(run.work_s / projected_s), SLOW_WEIGHT)

    def state(self, now: float) -> dict[str, object]:
        """Return what is believed, for the state dump."""
        return {
            'speed': round(self.speed, 3),
            'seen': self._seen,
            'failed_jobs': len(self._failed_jobs),
            'closed_s': round(max(0, self._closed_until - now), 3),
            'on_probation': self.on_probation,
        }

    def _close(self, now: float) -> None:
        if not self.is_open(now):
            return
        self._closures += 1
        self.on_probation = True
        self._closed_until = now + min(
            CLOSED_MIN_S * 2 ** min(self._closures - 1, 8), CLOSED_MAX_S
        )

    def _learn(self, run: runs.Run, now: float) -> None:
        took_s = now - run.started_at
        if not run.started_at or took_s <= 0 or not run.work_s:
            return
        ratio = math.log(run.work_s / took_s)
        if run.slow:
            return
        self._seen += 1
        is_fast = ratio - self._log_speed > math.log(SLOW_FACTOR)
        weight = max(SPEED_WEIGHT, 1 / (self._seen + PRIOR_WEIGHT))
        self._move(ratio, SLOW_WEIGHT if is_fast else weight)

    def _move(self, ratio: float, weight: float) -> None:
        self._log_speed += weight * (ratio - self._log_speed)
        self.speed = math.exp(self._log_speed)
