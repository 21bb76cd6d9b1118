"""Decodes clients' requests and encodes their answers."""

import dataclasses
import json
import math
import re
from typing import Any, Mapping

import result

from sardineproxy import ids
from sardineproxy.platform import fields, worker_entries
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.request import jobs

#: Largest body of a job, in bytes; the sheets say 262,144.
MAX_BODY_BYTES = 262_144

#: Longest payload, in bytes.
MAX_PAYLOAD_BYTES = 4000

MAX_STEPS = 64
MAX_TASKS = 10_000

#: Header with the time that the client waits for an answer, in milliseconds.
DEADLINE_HEADER = 'Deadline-Ms'

_JOB_ID = re.compile('[0-9a-f]{16}')

_MS_PER_S = 1000

#: Fields of a job or a step that ask for what is not built. Others are
#: permissions that need not be used: ``allow_duplicates`` and
#: ``checkpointable``.
_JOB_FEATURES = ('daemon', 'times')
_STEP_FEATURES = (
    'gang',
    'same_rack',
    'target_ms',
    'fills',
    'disruption_budget',
    'daemon',
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Malformed:
    """The body is no job."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unsupported:
    """The job asks for a feature that is not built."""

    feature: str


def decode_job(
    job: str, body: bytes
) -> result.Result[jobs.Job, Malformed | Unsupported]:
    """Decode the body of a job that has the id ``job``."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        return result.Err(Malformed(detail=f'not JSON: {exc}'))
    name = decode_job_id(job)
    if name is None or not isinstance(document, dict):
        return result.Err(Malformed(detail='not a job'))
    try:
        feature = _unsupported(document)
        if feature is not None:
            return result.Err(Unsupported(feature=feature))
        return result.Ok(_to_job(name, document))
    except fields.FormatError as exc:
        return result.Err(Malformed(detail=str(exc)))


def _unsupported(document: Mapping[str, Any]) -> str | None:
    for feature in _JOB_FEATURES:
        if document.get(feature):
            return feature
    for step in fields.get_list(document, 'steps'):
        for feature in _STEP_FEATURES:
            if isinstance(step, dict) and step.get(feature):
                return feature
    return None


def _to_job(job: ids.JobId, document: Mapping[str, Any]) -> jobs.Job:
    payload = fields.get_string(document, 'spec')
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise fields.FormatError('spec is too long')
    steps = tuple(
        _to_step(position, step)
        for position, step in enumerate(fields.get_list(document, 'steps'))
    )
    tasks = sum(step.count for step in steps)
    if not 0 < len(steps) <= MAX_STEPS or not 0 < tasks <= MAX_TASKS:
        raise fields.FormatError(f'{len(steps)} steps with {tasks} tasks')
    return jobs.Job(
        job_id=job,
        payload=payload,
        steps=steps,
        stored=not fields.get_boolean(document, 'burstable'),
    )


def _to_step(position: int, document: Any) -> jobs.Step:
    if not isinstance(document, dict):
        raise fields.FormatError('step: expected a table')
    after = document.get('after', [])
    is_earlier = isinstance(after, list) and all(
        isinstance(earlier, int) and 0 <= earlier < position
        for earlier in after
    )
    if not is_earlier:
        raise fields.FormatError(f'after: {after!r:.60} of step {position}')
    return jobs.Step(
        count=fields.get_integer(document, 'count', 1),
        resources=worker_entries.decode_resources(document),
        estimate_s=fields.get_number(document, 'estimate_ms', 0) / _MS_PER_S,
        after=tuple(after),
        requires=fields.get_string(document, 'requires', ''),
        rack=fields.get_string(document, 'affinity', ''),
        per_worker=fields.get_integer(document, 'anti_affinity', 0),
    )


def decode_job_id(name: str) -> ids.JobId | None:
    """Return the id of a job, None if it cannot be one."""
    return ids.JobId(name) if _JOB_ID.fullmatch(name) else None


def decode_wait_s(header: str | None) -> float | None:
    """Return how long the client waits, in seconds; None if not said."""
    if header is None or not header.isdecimal():
        return None
    return int(header) / _MS_PER_S


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Status, body and headers of an answer."""

    status: int
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


def encode_outcome(outcome: jobs.Outcome) -> Reply:
    """Encode the final answer to a job."""
    match outcome:
        case jobs.Completed():
            return Reply(status=200, body=b'{"state":"completed"}')
        case jobs.Failed():
            return Reply(status=200, body=b'{"state":"failed"}')
        case jobs.NotRun(retry_after_s=wait_s):
            return make_refusal(wait_s)
        case jobs.GivenUp():
            return Reply(status=504)


#: States of a stored job that a client is told.
_STATES = frozenset(
    (
        job_manager.JobReply.QUEUED,
        job_manager.JobReply.RUNNING,
        job_manager.JobReply.COMPLETED,
        job_manager.JobReply.FAILED,
        job_manager.JobReply.CANCELLED,
    )
)

#: When to come back if a stored job's keeper does not answer, in seconds; it
#: is replaced within a second.
NO_MANAGER_RETRY_S = 1.0


def encode_acceptance(answer: job_manager.JobReply) -> Reply:
    """Encode the answer to a job that is to be stored."""
    match answer:
        case job_manager.JobReply.ACCEPTED:
            return Reply(status=200, body=b'{"state":"queued"}')
        case job_manager.JobReply.UNKNOWN:
            return Reply(status=504)
        case _:
            return make_refusal(NO_MANAGER_RETRY_S)


def encode_state(answer: job_manager.JobReply) -> Reply:
    """Encode the answer to a question for a stored job, or its cancelling."""
    if answer in _STATES:
        return Reply(status=200, body=b'{"state":"%s"}' % answer.value.encode())
    if answer is job_manager.JobReply.ABSENT:
        return NO_JOB
    if answer is job_manager.JobReply.UNKNOWN:
        return Reply(status=504)
    return make_refusal(NO_MANAGER_RETRY_S)


def make_refusal(retry_after_s: float) -> Reply:
    """Encode that the request was not accepted and never runs."""
    return Reply(
        status=503,
        headers={'Retry-After': str(max(1, math.ceil(retry_after_s)))},
    )


def encode_pending(waiting: int) -> Reply:
    """Encode the number of a route's jobs that wait for a first start."""
    return Reply(status=200, body=b'{"pending":%d}' % waiting)


#: No route has this host and path.
NO_ROUTE = Reply(status=404)

#: No such job is known.
NO_JOB = Reply(status=410)

#: The request is no job.
MALFORMED = Reply(status=400)
