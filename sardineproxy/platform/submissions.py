"""Decodes clients' requests and encodes the responses."""

import dataclasses
import math
import re
from typing import Any, Mapping

import result

from sardineproxy import fields, ids, json_text
from sardineproxy.platform import worker_entries
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.request import jobs

#: Largest body of a job, in bytes, as the platform specifies it.
MAX_BODY_BYTES = 262_144

#: Longest payload, in bytes.
MAX_PAYLOAD_BYTES = 4000

MAX_STEPS = 64
MAX_TASKS = 10_000

#: Longest estimate of a task's run time, in milliseconds: a year.
MAX_ESTIMATE_MS = 31_536_000_000

#: Most digits of a wait in milliseconds, which is over 11 days.
MAX_WAIT_DIGITS = 9

#: Header with the time that the client waits for a response, in milliseconds.
DEADLINE_HEADER = 'Deadline-Ms'

_JOB_ID = re.compile('[0-9a-f]{16}')

_MS_PER_S = 1000

#: Fields of a job or a step that request features that are not implemented.
#: ``allow_duplicates`` and ``checkpointable`` are not listed: they permit
#: something that the scheduler need not use.
_UNSUPPORTED_JOB_FIELDS = ('daemon', 'times')
_UNSUPPORTED_STEP_FIELDS = (
    'gang',
    'same_rack',
    'target_ms',
    'fills',
    'disruption_budget',
    'daemon',
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Malformed:
    """The body is not a valid job."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unsupported:
    """The job requests a feature that is not implemented."""

    feature: str


def decode_job(
    name: str, body: bytes
) -> result.Result[jobs.Job, Malformed | Unsupported]:
    """Decode the body of a request to run or store the job ``name``."""
    job_id = decode_job_id(name)
    if job_id is None:
        return result.Err(
            Malformed(
                detail='expected a job id of 16 hexadecimal digits in lower case'
            )
        )
    decoded = json_text.decode_object(body, max_bytes=MAX_BODY_BYTES)
    if isinstance(decoded, result.Err):
        return result.Err(Malformed(detail=decoded.err_value))
    document = decoded.ok_value
    try:
        feature = _find_unsupported_feature(document)
        if feature is not None:
            return result.Err(Unsupported(feature=feature))
        return result.Ok(_to_job(job_id, document))
    except fields.FormatError as exc:
        return result.Err(Malformed(detail=str(exc)))


def _find_unsupported_feature(document: Mapping[str, Any]) -> str | None:
    for feature in _UNSUPPORTED_JOB_FIELDS:
        if document.get(feature):
            return feature
    for step in fields.get_list(document, 'steps'):
        for feature in _UNSUPPORTED_STEP_FIELDS:
            if isinstance(step, dict) and step.get(feature):
                return feature
    return None


def _to_job(job_id: ids.JobId, document: Mapping[str, Any]) -> jobs.Job:
    payload = fields.get_string(document, 'spec', max_chars=MAX_PAYLOAD_BYTES)
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise fields.FormatError(
            f'spec: expected at most {MAX_PAYLOAD_BYTES} bytes, '
            f'found {len(payload.encode())}'
        )
    steps = tuple(
        _to_step(index, step)
        for index, step in enumerate(fields.get_list(document, 'steps'))
    )
    task_count = sum(step.count for step in steps)
    if not 0 < len(steps) <= MAX_STEPS or not 0 < task_count <= MAX_TASKS:
        raise fields.FormatError(
            f'steps: expected 1 to {MAX_STEPS} steps with 1 to {MAX_TASKS} '
            f'tasks, found {len(steps)} steps with {task_count} tasks'
        )
    return jobs.Job(
        job_id=job_id,
        payload=payload,
        steps=steps,
        stored=not fields.get_boolean(document, 'burstable'),
    )


def _to_step(index: int, document: Any) -> jobs.Step:
    if not isinstance(document, dict):
        raise fields.FormatError(
            f'step {index}: expected an object, found {type(document).__name__}'
        )
    after = document.get('after', [])
    is_valid = isinstance(after, list) and all(
        isinstance(predecessor, int) and 0 <= predecessor < index
        for predecessor in after
    )
    if not is_valid:
        raise fields.FormatError(
            'after: expected indices of earlier steps, found '
            f'{fields.describe(after)} in step {index}'
        )
    return jobs.Step(
        count=fields.get_integer(document, 'count', 1, maximum=MAX_TASKS),
        resources=worker_entries.decode_resources(document),
        estimate_s=fields.get_number(
            document, 'estimate_ms', 0, maximum=MAX_ESTIMATE_MS
        )
        / _MS_PER_S,
        after=tuple(after),
        requires=fields.get_string(document, 'requires', ''),
        rack=fields.get_string(document, 'affinity', ''),
        per_worker=fields.get_integer(
            document, 'anti_affinity', 0, maximum=MAX_TASKS
        ),
    )


def decode_job_id(name: str) -> ids.JobId | None:
    """Return ``name`` as a job id, None if it is not a valid one."""
    return ids.JobId(name) if _JOB_ID.fullmatch(name) else None


def decode_wait_s(header: str | None) -> float | None:
    """Return how long the client waits, in seconds; None if not stated."""
    if header is None or len(header) > MAX_WAIT_DIGITS:
        return None
    if not (header.isascii() and header.isdecimal()):
        return None
    return int(header) / _MS_PER_S


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Status, body and headers of a response to a client."""

    status: int
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


def encode_outcome(outcome: jobs.Outcome) -> Reply:
    """Encode the response to a job that ran without being stored."""
    match outcome:
        case jobs.Completed():
            return Reply(status=200, body=b'{"state":"completed"}')
        case jobs.Failed():
            return Reply(status=200, body=b'{"state":"failed"}')
        case jobs.NotRun(retry_after_s=wait_s):
            return make_refusal(wait_s)
        case jobs.GivenUp():
            return Reply(status=504)


#: States of a stored job that are reported to clients.
_REPORTED_STATES = frozenset(
    (
        job_manager.JobReply.QUEUED,
        job_manager.JobReply.RUNNING,
        job_manager.JobReply.COMPLETED,
        job_manager.JobReply.FAILED,
        job_manager.JobReply.CANCELLED,
    )
)

#: ``Retry-After`` if a stored job's manager refuses a request or does not
#: respond, in seconds; the manager is replaced within a second.
NO_MANAGER_RETRY_S = 1.0


def encode_acceptance(job_reply: job_manager.JobReply) -> Reply:
    """Encode the response to a request to store a job."""
    match job_reply:
        case job_manager.JobReply.ACCEPTED:
            return Reply(status=200, body=b'{"state":"queued"}')
        case job_manager.JobReply.UNKNOWN | job_manager.JobReply.UNAVAILABLE:
            # An earlier request may have stored the job.
            return Reply(status=504)
        case _:
            return make_refusal(NO_MANAGER_RETRY_S)


def encode_state(job_reply: job_manager.JobReply) -> Reply:
    """Encode the response to a query or cancellation of a stored job."""
    if job_reply in _REPORTED_STATES:
        return Reply(
            status=200, body=b'{"state":"%s"}' % job_reply.value.encode()
        )
    if job_reply is job_manager.JobReply.ABSENT:
        return NO_JOB
    if job_reply is job_manager.JobReply.UNKNOWN:
        return Reply(status=504)
    return make_refusal(NO_MANAGER_RETRY_S)


def make_refusal(retry_after_s: float) -> Reply:
    """Encode that the request was refused and will not run."""
    return Reply(
        status=503,
        headers={'Retry-After': str(max(1, math.ceil(retry_after_s)))},
    )


def encode_pending(count: int) -> Reply:
    """Encode the number of a route's jobs that have not started."""
    return Reply(status=200, body=b'{"pending":%d}' % count)


#: No route matches the host and path.
NO_ROUTE = Reply(status=404)

#: The job does not exist or its state is no longer stored.
NO_JOB = Reply(status=410)

#: The request is not a valid job.
MALFORMED = Reply(status=400)
