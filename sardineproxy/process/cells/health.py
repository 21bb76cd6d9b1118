"""What a worker's ends tell about its soundness and its speed."""

import math

from sardineproxy.process.cells import runs, workers

#: Failures of this many jobs in a row, with no success between, count as the
#: worker's own fault. One in 500 tasks fails by its own fault.
SUSPECT_JOBS = 2

#: Shortest and longest time without orders after failures, in seconds.
CLOSED_MIN_S = 0.5
CLOSED_MAX_S = 4.0

#: Weight of a new duration in the learned speed.
SPEED_WEIGHT = 0.1


class Health:
    """Failures and speed of one worker."""

    def __init__(self) -> None:
        """Start as sound and of average speed."""
        self._failed_jobs: set[str] = set()
        self._closures = 0
        self._closed_until = 0.0
        self._log_speed = 0.0
        self.seen = 0

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

    def ended(self, run: runs.Run, how: workers.Ending, now: float) -> None:
        """Note the end of a run."""
        if how is workers.Ending.DONE:
            self._failed_jobs.clear()
            self._closures = 0
            self._learn(run, now)
        elif how is workers.Ending.FAILED:
            self._failed_jobs.add(run.batch.job)
            if self.is_suspect:
                self._close(now)

    def state(self, now: float) -> dict[str, object]:
        """Return what is believed, for the state dump."""
        return {
            'speed': round(self.speed, 3),
            'seen': self.seen,
            'failed_jobs': len(self._failed_jobs),
            'closed_s': round(max(0, self._closed_until - now), 3),
        }

    def _close(self, now: float) -> None:
        self._closures += 1
        self._closed_until = now + min(
            CLOSED_MIN_S * 2 ** min(self._closures - 1, 8), CLOSED_MAX_S
        )

    def _learn(self, run: runs.Run, now: float) -> None:
        took_s = now - run.started_at
        if not run.started_at or took_s <= 0 or not run.batch.work_s:
            return
        self.seen += 1
        weight = max(SPEED_WEIGHT, 1 / (self.seen + 4))
        ratio = math.log(run.batch.work_s / took_s)
        self._log_speed += weight * (ratio - self._log_speed)
        self.speed = math.exp(self._log_speed)
