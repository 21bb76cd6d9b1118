"""Promises that must hold in each run, checked from what was seen."""

import math
from typing import Iterator

from sardineproxy.process.shards import workers
from sardineproxy.standin import run_checks, worker_model
from tests.soak import fleet, trace

#: Bounds of the deployment, in seconds.
CONFIG_S = 2.0
DRAIN_S = 2.0
STABLE_S = 3.0

#: Time after a term in which a request may still reach the process, seconds.
GRACE_S = 6.0

#: Allowance for a busy machine, in seconds.
SLACK_S = 1.0

#: Share of the jobs sent after the recovery that must be completed, as the
#: platform's rules say.
RECOVERED_SHARE = 0.25


def find_complaints(around: fleet.Fleet) -> list[str]:
    """Return a sentence for each promise that was broken."""
    return [
        *around.trace.exits,
        *_check_workers(around),
        *_check_answers(around),
        *_check_stored(around),
        *_check_waits(around.trace),
        *_check_shutdowns(around.trace),
        *_check_versions(around),
        *_check_draining(around),
    ]


def share_completed(seen: trace.Trace, jobs: set[str]) -> float:
    """Return the share of jobs that were answered as completed."""
    completed = sum(
        any(attempt.state == 'completed' for attempt in seen.attempts[job])
        for job in jobs
    )
    return completed / max(1, len(jobs))


def _records(around: fleet.Fleet) -> list[worker_model.RunRecord]:
    return [
        record for each in around.all_workers() for record in each.model.records
    ]


def _check_workers(around: fleet.Fleet) -> Iterator[str]:
    """No start over capacity, none twice at a time, none with other text."""
    for each in around.all_workers():
        yield from each.model.violations
        for task, payload in each.server.payloads.items():
            job = task.partition('.')[0]
            sent = around.trace.jobs.get(job)
            if sent is None or sent.payload != payload:
                yield f'{task} was ordered with {payload!r}'
    records = _records(around)
    yield from run_checks.find_overlapping_runs(records)
    yield from run_checks.find_runs_after_success(
        [each for each in records if _is_stored(around, each)]
    )


def _is_stored(around: fleet.Fleet, record: worker_model.RunRecord) -> bool:
    job = around.trace.jobs.get(record.task.partition('.')[0])
    return job is not None and job.is_stored


def _check_answers(around: fleet.Fleet) -> Iterator[str]:
    """Refused jobs never start; completed jobs are complete."""
    started: dict[str, set[str]] = {}
    done: dict[str, set[str]] = {}
    for record in _records(around):
        job = record.task.partition('.')[0]
        started.setdefault(job, set()).add(record.task)
        if record.result is workers.RunResult.DONE:
            done.setdefault(job, set()).add(record.task)
    for job, attempts in around.trace.attempts.items():
        statuses = {attempt.status for attempt in attempts}
        if statuses == {503} and job in started:
            yield f'{job} was refused as not run and started'
        states = {attempt.state for attempt in attempts}
        count = around.trace.jobs[job].tasks
        if 'completed' in states and len(done.get(job, ())) != count:
            yield f'{job} is said to be completed with {done.get(job)}'
        odd = statuses.difference({200, 503, 504, None})
        if odd:
            yield f'{job} was answered with {odd}'


def _check_stored(around: fleet.Fleet) -> Iterator[str]:
    """Accepted jobs are known, and end as their tasks did."""
    done: dict[str, set[str]] = {}
    for record in _records(around):
        if record.result is workers.RunResult.DONE:
            job = record.task.partition('.')[0]
            done.setdefault(job, set()).add(record.task)
    for name, sent in around.trace.jobs.items():
        attempts = around.trace.attempts[name]
        is_accepted = any(attempt.status == 200 for attempt in attempts)
        if not sent.is_stored or not is_accepted:
            continue
        allowed = {'completed', 'failed'}
        if sent.is_cancelled:
            allowed.add('cancelled')
        if sent.state not in allowed:
            yield f'{name} was accepted and is {sent.state or "not known"}'
        if sent.state == 'completed' and len(done.get(name, ())) != sent.tasks:
            yield f'{name} is said to be completed with {done.get(name)}'


def _check_waits(seen: trace.Trace) -> Iterator[str]:
    """A calm VM answers each request in the client's time."""
    for attempts in seen.attempts.values():
        for attempt in attempts:
            if attempt.cause != 'no answer in time':
                continue
            if seen.is_calm(attempt.vm, attempt.sent_at - 1, attempt.ended_at):
                yield f'{attempt.job} got no answer from {attempt.vm}'


def _check_shutdowns(seen: trace.Trace) -> Iterator[str]:
    """A process that is asked to end answers what it has taken."""
    for name, at in seen.terms:
        others = [
            each
            for each in seen.disturbances
            if each.target in {name, 'store'} and each.kind != 'terminate'
        ]
        for attempts in seen.attempts.values():
            for attempt in attempts:
                is_cut = attempt.vm == name and 'Disconnected' in attempt.cause
                in_time = at - attempt.wait_s < attempt.sent_at < at + GRACE_S
                is_alone = not any(
                    each.begin < attempt.ended_at and each.end > at - STABLE_S
                    for each in others
                )
                if is_cut and in_time and is_alone:
                    yield f'{attempt.job} was cut off by the end of {name}'


def _check_versions(around: fleet.Fleet) -> Iterator[str]:
    """Versions are in force in time and never go back."""
    seen = around.trace
    newest: dict[tuple[str, int], int] = {}
    for sighting in seen.sightings:
        process = (sighting.vm, sighting.start)
        if sighting.version < newest.get(process, 0):
            yield f'{sighting.vm} went back to version {sighting.version}'
        newest[process] = max(sighting.version, newest.get(process, 0))
        since = sighting.asked_at - STABLE_S - CONFIG_S
        is_calm = seen.is_calm(sighting.vm, since, sighting.at)
        if not is_calm or not seen.is_calm('store', since, sighting.at):
            continue
        due = max(
            number
            for number, at in seen.versions.items()
            if at <= sighting.asked_at - CONFIG_S - SLACK_S or number == 1
        )
        if sighting.version < due:
            yield f'{sighting.vm} has version {sighting.version}, not {due}'


def _check_draining(around: fleet.Fleet) -> Iterator[str]:
    """A worker that drains gets no starts after a while."""
    seen = around.trace
    for drain in seen.drainings:
        model = around.find_worker(drain.worker).model
        for record in model.records:
            age_s = record.started_at - drain.at
            if not DRAIN_S + SLACK_S < age_s < GRACE_S:
                continue
            since = drain.at - STABLE_S
            names = ('store', drain.worker, *around.vms)
            if all(
                seen.is_calm(name, since, record.started_at) for name in names
            ):
                yield f'{record.task} started on draining {drain.worker}'


def describe(seen: trace.Trace) -> str:
    """Return one line about what happened."""
    attempts = [
        attempt
        for of_job in seen.attempts.values()
        for attempt in of_job
        if attempt.ended_at < math.inf
    ]
    completed = sum(attempt.state == 'completed' for attempt in attempts)
    refused = sum(attempt.status == 503 for attempt in attempts)
    given_up = sum(attempt.status == 504 for attempt in attempts)
    return (
        f'{len(seen.jobs)} jobs, {len(attempts)} requests: '
        f'{completed} completed, {refused} refused, {given_up} given up, '
        f'{len(seen.disturbances)} faults, {len(seen.sightings)} sightings'
    )
