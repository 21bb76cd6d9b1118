"""Checks of what modelled workers ran against the promises for tasks."""

import operator

from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_model

_NEVER = float('inf')


def find_overlapping_runs(records: list[worker_model.RunRecord]) -> list[str]:
    """Return a sentence for each two runs of a task at the same time."""
    found = []
    by_task: dict[workers.TaskName, list[worker_model.RunRecord]] = {}
    for record in records:
        by_task.setdefault(record.task, []).append(record)
    for task, of_task in by_task.items():
        of_task.sort(key=operator.attrgetter('started_at'))
        for first, second in zip(of_task, of_task[1:]):
            if first.ended_at is None or second.started_at < first.ended_at:
                found.append(
                    f'{task}: run {first.run} on {first.worker} and run '
                    f'{second.run} on {second.worker} at the same time'
                )
    return found


def find_runs_after_success(records: list[worker_model.RunRecord]) -> list[str]:
    """Return a sentence for each start of a task that had ended well.

    An end counts if it was acknowledged at any time, unless the worker's lease
    expired before.
    """
    done: dict[workers.TaskName, float] = {}
    for each in _counted(records, workers.RunResult.DONE):
        ended_at = _end_of(each)
        done[each.task] = min(ended_at, done.get(each.task, ended_at))
    return [
        f'{record.task}: run {record.run} on {record.worker} started after '
        f'it had ended well'
        for record in records
        if record.started_at > done.get(record.task, _NEVER)
    ]


def find_runs_after_max_failures(
    records: list[worker_model.RunRecord], most: int
) -> list[str]:
    """Return a sentence for each start after ``most`` failures of a task."""
    failures: dict[workers.TaskName, list[float]] = {}
    for each in _counted(records, workers.RunResult.FAILED):
        failures.setdefault(each.task, []).append(_end_of(each))
    return [
        f'{record.task}: run {record.run} started after {most} failures'
        for record in records
        if _count_before(failures, record) >= most
    ]


def _counted(
    records: list[worker_model.RunRecord], result: workers.RunResult
) -> list[worker_model.RunRecord]:
    """Return the runs that ended so and whose end stands for good."""
    return [
        record
        for record in records
        if record.result is result
        and record.acked_at is not None
        and not record.is_lease_expired
    ]


def _count_before(
    ends: dict[workers.TaskName, list[float]], record: worker_model.RunRecord
) -> int:
    of_task = ends.get(record.task, [])
    return sum(ended_at < record.started_at for ended_at in of_task)


def _end_of(record: worker_model.RunRecord) -> float:
    return _NEVER if record.ended_at is None else record.ended_at
