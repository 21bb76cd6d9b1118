"""Tasks of a stored job in other shards that have no leader."""

from typing import Iterable

from sardineproxy.process.shards import times
from sardineproxy.request import open_tasks


class LeaderlessTasks:
    """Since when tasks have no leader, and the timer for them."""

    def __init__(self) -> None:
        """Create an instance without tasks."""
        self._since: dict[
            open_tasks.TaskKey, tuple[open_tasks.OpenTask, float]
        ] = {}
        self._has_timer = False

    def update(self, moved: Iterable[open_tasks.OpenTask], now: float) -> None:
        """Apply the present leaders of all tasks in other shards.

        It must be called whenever tasks were sent or have lost their leader:
        the time of a task that had a leader in between begins anew.
        """
        leaderless = [task for task in moved if task.leader is None]
        self._since = {
            task.key: (task, self._since_of(task, now)) for task in leaderless
        }

    def due(self, now: float) -> list[open_tasks.OpenTask]:
        """Return the tasks to take back."""
        return [
            task
            for task, since in self._since.values()
            if task.leader is None
            and not task.is_moving
            and now - since >= times.TAKE_BACK_S
        ]

    def start_timer(self, now: float) -> float | None:
        """Return the delay of a timer that must be started, in seconds.

        None if there is one, or none is needed.
        """
        if self._has_timer or not self._since:
            return None
        self._has_timer = True
        oldest = min(since for _, since in self._since.values())
        return max(0, oldest + times.TAKE_BACK_S - now)

    def stop_timer(self) -> None:
        """Record that the timer has ended."""
        self._has_timer = False

    def _since_of(self, task: open_tasks.OpenTask, now: float) -> float:
        known = self._since.get(task.key)
        if known is None or known[0] is not task:
            return now
        return known[1]
