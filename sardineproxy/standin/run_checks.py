"""Checks that the runs of modelled workers satisfy the guarantees for tasks."""

import operator

from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_model

_NEVER = float('inf')


def find_overlapping_runs(records: list[worker_model.RunRecord]) -> list[str]:
    """Return a sentence for each run that overlaps the task's previous run."""
    violations = []
    by_task: dict[workers.TaskName, list[worker_model.RunRecord]] = {}
    for record in records:
        by_task.setdefault(record.task, []).append(record)
    for task, task_records in by_task.items():
        task_records.sort(key=operator.attrgetter('started_at'))
        for first, second in zip(task_records, task_records[1:]):
            if first.ended_at is None or second.started_at < first.ended_at:
                violations.append(
                    f'{task}: run {first.run} on {first.worker} and run '
                    f'{second.run} on {second.worker} at the same time'
                )
    return violations


def find_runs_after_success(records: list[worker_model.RunRecord]) -> list[str]:
    """Return a sentence for each run that started after a success of its task.

    A success counts if its result was ever acknowledged, unless the worker's
    lease expired before that.
    """
    succeeded_at: dict[workers.TaskName, float] = {}
    for success in _acknowledged_runs(records, workers.RunResult.DONE):
        ended_at = _end_time(success)
        succeeded_at[success.task] = min(
            ended_at, succeeded_at.get(success.task, ended_at)
        )
    return [
        f'{record.task}: run {record.run} on {record.worker} started after '
        f'a run of it had succeeded'
        for record in records
        if record.started_at > succeeded_at.get(record.task, _NEVER)
    ]


def find_runs_after_max_failures(
    records: list[worker_model.RunRecord], max_failures: int
) -> list[str]:
    """Return a sentence for each run after the last permitted failure."""
    failures: dict[workers.TaskName, list[float]] = {}
    for failure in _acknowledged_runs(records, workers.RunResult.FAILED):
        failures.setdefault(failure.task, []).append(_end_time(failure))
    return [
        f'{record.task}: run {record.run} started after {max_failures} failures'
        for record in records
        if _count_earlier_failures(failures, record) >= max_failures
    ]


def _acknowledged_runs(
    records: list[worker_model.RunRecord], result: workers.RunResult
) -> list[worker_model.RunRecord]:
    """Return the runs with this result, acknowledged before lease expiry."""
    return [
        record
        for record in records
        if record.result is result
        and record.acked_at is not None
        and not record.is_lease_expired
    ]


def _count_earlier_failures(
    failures: dict[workers.TaskName, list[float]],
    record: worker_model.RunRecord,
) -> int:
    failed_at = failures.get(record.task, [])
    return sum(ended_at < record.started_at for ended_at in failed_at)


def _end_time(record: worker_model.RunRecord) -> float:
    return _NEVER if record.ended_at is None else record.ended_at
