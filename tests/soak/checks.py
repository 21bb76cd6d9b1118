"""Checks of the guarantees that must hold in each run."""

import math
from typing import Iterator

from sardineproxy.process.shards import workers
from sardineproxy.standin import run_checks, worker_model
from tests.soak import fleet, trace

#: Time until a new version is active, time until a draining worker gets no
#: more runs, and time without faults that a check requires, in seconds.
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
UNDISTURBED_S = 3.0

#: Time after SIGTERM in which requests may still reach a process, in seconds.
GRACE_S = 6.0

#: Allowance for a busy machine, in seconds.
SLACK_S = 1.0

#: Share of the jobs submitted after the recovery that must be completed
#: according to the platform's rules.
MIN_COMPLETED_SHARE = 0.25


def find_violations(fleet: fleet.Fleet) -> list[str]:
    """Return a description of each violation."""
    return [
        *fleet.trace.unexpected_exits,
        *_check_workers(fleet),
        *_check_replies(fleet),
        *_check_stored(fleet),
        *_check_missing_replies(fleet.trace),
        *_check_shutdowns(fleet.trace),
        *_check_versions(fleet),
        *_check_draining(fleet),
    ]


def completed_share(trace: trace.Trace, jobs: set[str]) -> float:
    """Return the share of the jobs whose reply reports completion."""
    completed = sum(
        any(attempt.state == 'completed' for attempt in trace.attempts[job])
        for job in jobs
    )
    return completed / max(1, len(jobs))


def _records(fleet: fleet.Fleet) -> list[worker_model.RunRecord]:
    return [
        record
        for worker in fleet.all_workers()
        for record in worker.model.records
    ]


def _check_workers(fleet: fleet.Fleet) -> Iterator[str]:
    """Check the runs on the workers.

    No run exceeds the capacity, runs beside another run of its task, or has a
    payload other than its job's.
    """
    for worker in fleet.all_workers():
        yield from worker.model.violations
        for task, payload in worker.server.payloads.items():
            job = task.partition('.')[0]
            job_record = fleet.trace.jobs.get(job)
            if job_record is None or job_record.payload != payload:
                yield f'{task} was started with the payload {payload!r}'
    records = _records(fleet)
    yield from run_checks.find_overlapping_runs(records)
    yield from run_checks.find_runs_after_success(
        [record for record in records if _is_stored(fleet, record)]
    )


def _is_stored(fleet: fleet.Fleet, record: worker_model.RunRecord) -> bool:
    job = fleet.trace.jobs.get(record.task.partition('.')[0])
    return job is not None and job.is_stored


def _check_replies(fleet: fleet.Fleet) -> Iterator[str]:
    """Check that refused jobs never start and completed jobs are complete."""
    started_tasks: dict[str, set[str]] = {}
    done_tasks: dict[str, set[str]] = {}
    for record in _records(fleet):
        job = record.task.partition('.')[0]
        started_tasks.setdefault(job, set()).add(record.task)
        if record.result is workers.RunResult.DONE:
            done_tasks.setdefault(job, set()).add(record.task)
    for job, attempts in fleet.trace.attempts.items():
        statuses = {attempt.status for attempt in attempts}
        if statuses == {503} and job in started_tasks:
            yield f'{job} was refused, but was started'
        states = {attempt.state for attempt in attempts}
        task_count = fleet.trace.jobs[job].tasks
        if 'completed' in states and len(done_tasks.get(job, ())) != task_count:
            yield (
                f'{job} was reported as completed, done: {done_tasks.get(job)}'
            )
        unexpected_statuses = statuses.difference({200, 503, 504, None})
        if unexpected_statuses:
            yield f'{job} got replies with the statuses {unexpected_statuses}'


def _check_stored(fleet: fleet.Fleet) -> Iterator[str]:
    """Check that accepted jobs are stored and report their tasks' results."""
    done_tasks: dict[str, set[str]] = {}
    for record in _records(fleet):
        if record.result is workers.RunResult.DONE:
            job = record.task.partition('.')[0]
            done_tasks.setdefault(job, set()).add(record.task)
    for name, job_record in fleet.trace.jobs.items():
        attempts = fleet.trace.attempts[name]
        is_accepted = any(attempt.status == 200 for attempt in attempts)
        if not job_record.is_stored or not is_accepted:
            continue
        allowed_states = {'completed', 'failed'}
        if job_record.is_cancelled:
            allowed_states.add('cancelled')
        if job_record.state not in allowed_states:
            yield (
                f'{name} was accepted, but is {job_record.state or "not known"}'
            )
        if (
            job_record.state == 'completed'
            and len(done_tasks.get(name, ())) != job_record.tasks
        ):
            yield (
                f'{name} was reported as completed, done: '
                f'{done_tasks.get(name)}'
            )


def _check_missing_replies(trace: trace.Trace) -> Iterator[str]:
    """Check that an undisturbed VM replies to each request in time."""
    for attempts in trace.attempts.values():
        for attempt in attempts:
            if attempt.cause != 'no reply in time':
                continue
            if trace.is_undisturbed(
                attempt.vm, attempt.sent_at - 1, attempt.ended_at
            ):
                yield f'{attempt.job} got no reply from {attempt.vm}'


def _check_shutdowns(trace: trace.Trace) -> Iterator[str]:
    """Check that a terminated process replies to all accepted requests."""
    for name, terminated_at in trace.terminations:
        other_disturbances = [
            disturbance
            for disturbance in trace.disturbances
            if disturbance.target in {name, 'store'}
            and disturbance.kind != 'terminate'
        ]
        for attempts in trace.attempts.values():
            for attempt in attempts:
                is_cut = attempt.vm == name and 'Disconnected' in attempt.cause
                in_time = (
                    terminated_at - attempt.wait_s
                    < attempt.sent_at
                    < terminated_at + GRACE_S
                )
                is_only_fault = not any(
                    disturbance.started_at < attempt.ended_at
                    and disturbance.ended_at > terminated_at - UNDISTURBED_S
                    for disturbance in other_disturbances
                )
                if is_cut and in_time and is_only_fault:
                    yield f'{attempt.job} was cut off by the shutdown of {name}'


def _check_versions(fleet: fleet.Fleet) -> Iterator[str]:
    """Check that versions are active in time and are never rolled back."""
    trace = fleet.trace
    newest_versions: dict[tuple[str, int], int] = {}
    for observation in trace.version_observations:
        process = (observation.vm, observation.start)
        if observation.version < newest_versions.get(process, 0):
            yield f'{observation.vm} went back to version {observation.version}'
        newest_versions[process] = max(
            observation.version, newest_versions.get(process, 0)
        )
        since = observation.requested_at - UNDISTURBED_S - CONFIG_APPLY_S
        is_undisturbed = trace.is_undisturbed(
            observation.vm, since, observation.replied_at
        )
        if not is_undisturbed or not trace.is_undisturbed(
            'store', since, observation.replied_at
        ):
            continue
        expected_version = max(
            number
            for number, published_at in trace.version_times.items()
            if published_at
            <= observation.requested_at - CONFIG_APPLY_S - SLACK_S
            or number == 1
        )
        if observation.version < expected_version:
            yield (
                f'{observation.vm} has version {observation.version}, '
                f'not {expected_version}'
            )


def _check_draining(fleet: fleet.Fleet) -> Iterator[str]:
    """Check that draining workers get no runs after ``DRAIN_S``."""
    trace = fleet.trace
    for notice in trace.drain_notices:
        model = fleet.find_worker(notice.worker).model
        for record in model.records:
            age_s = record.started_at - notice.announced_at
            if not DRAIN_S + SLACK_S < age_s < GRACE_S:
                continue
            since = notice.announced_at - UNDISTURBED_S
            targets = ('store', notice.worker, *fleet.vms)
            if all(
                trace.is_undisturbed(target, since, record.started_at)
                for target in targets
            ):
                yield f'{record.task} started on draining {notice.worker}'


def describe(trace: trace.Trace) -> str:
    """Return a summary of a run in one line."""
    attempts = [
        attempt
        for attempts_of_job in trace.attempts.values()
        for attempt in attempts_of_job
        if attempt.ended_at < math.inf
    ]
    completed = sum(attempt.state == 'completed' for attempt in attempts)
    refused = sum(attempt.status == 503 for attempt in attempts)
    timed_out = sum(attempt.status == 504 for attempt in attempts)
    return (
        f'{len(trace.jobs)} jobs, {len(attempts)} requests: '
        f'{completed} completed, {refused} refused, {timed_out} timed out, '
        f'{len(trace.disturbances)} faults, '
        f'{len(trace.version_observations)} version checks'
    )
