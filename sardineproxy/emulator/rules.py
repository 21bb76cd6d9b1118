"""Checks that the runs of an emulated deployment satisfy the guarantees."""

from typing import Mapping

from sardineproxy import ids
from sardineproxy.emulator import deployment
from sardineproxy.process.shards import runs
from sardineproxy.request import recent_jobs
from sardineproxy.standin import run_checks, worker_model

#: Time after the acknowledgement of a cancellation from which no task of the
#: job may start or run, in seconds: ``cancel_ms`` of the platform, and the
#: time that a worker takes to stop a run.
CANCEL_S = 3.0
STOP_S = 0.05

#: Time after a client was shown that a job is completed from which no task of
#: it may start, in seconds.
COMPLETED_S = 1.0


def find_violations(emulated: deployment.Deployment) -> list[str]:
    """Return a sentence for each violation up to now."""
    records = emulated.records()
    stored_records = [
        record
        for record in records
        if runs.job_of(record.task) in emulated.stored_jobs
    ]
    return [
        *(
            violation
            for model in emulated.workers.values()
            for violation in model.violations
        ),
        *run_checks.find_overlapping_runs(records),
        *run_checks.find_runs_after_success(stored_records),
        *find_late_starts(
            records, emulated.cancelled_at, CANCEL_S, 'was cancelled'
        ),
        *find_refused_runs(records, emulated.refused_at),
        *find_late_starts(
            records, emulated.completed_at, COMPLETED_S, 'was completed'
        ),
    ]


def find_refused_runs(
    records: list[worker_model.RunRecord],
    refused_at: Mapping[ids.JobId, float],
) -> list[str]:
    """Return a sentence for each run of a job that was refused.

    ``refused_at`` are the times at which clients were told that their jobs have
    not run and will not. Earlier requests count for ``LONGEST_REPEAT_S``.
    """
    return [
        f'{record.task}: run {record.run} on {record.worker} started '
        f'{record.started_at - refused_at[job]:.2f} s after the job was refused'
        for record in records
        for job in (runs.job_of(record.task),)
        if job in refused_at
        and record.started_at > refused_at[job] - recent_jobs.LONGEST_REPEAT_S
    ]


def find_late_starts(
    records: list[worker_model.RunRecord],
    ended_at: Mapping[ids.JobId, float],
    grace_s: float,
    end: str,
) -> list[str]:
    """Return a sentence for each run that started after its job had ended.

    ``ended_at`` are the times at which clients learned of the ends, and
    ``grace_s`` the time for which tasks may start after that.
    """
    return [
        f'{record.task}: run {record.run} on {record.worker} started '
        f'{record.started_at - ended_at[job]:.2f} s after its job {end}'
        for record in records
        for job in (runs.job_of(record.task),)
        if job in ended_at and record.started_at > ended_at[job] + grace_s
    ]


def find_cancelled_runs(emulated: deployment.Deployment) -> list[str]:
    """Return a sentence for each run that outlasted its job's cancellation.

    Runs may do so on a worker that nobody reaches.
    """
    violations = []
    for record in emulated.records():
        cancelled_at = emulated.cancelled_at.get(runs.job_of(record.task))
        if cancelled_at is None:
            continue
        ended_at = record.ended_at or emulated.clock.now()
        if ended_at > cancelled_at + CANCEL_S + STOP_S:
            violations.append(
                f'{record.task}: run {record.run} on {record.worker} ended '
                f'{ended_at - cancelled_at:.2f} s after its job was cancelled'
            )
    return violations
