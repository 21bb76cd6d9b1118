"""Parses the documents that callers submit, and renders the replies."""

import base64
import binascii
import dataclasses
import functools
import json
import math
import re
from typing import Annotated, Any, Mapping, TypeVar

import pydantic
import result

from sardineproxy import ids, problems, verdicts
from sardineproxy.request import work

JSON_HEADERS = (('Content-Type', 'application/json'),)

#: Maximum size of a caller's request body, in bytes.
MAX_BODY_BYTES = 8_388_608

#: Maximum number of tasks in a job, regardless of the contract.
MAX_JOB_TASKS = 1700

#: Maximum number of keys issued for one request.
MAX_KEYS = 1000

#: Maximum length of a task's path, in characters.
MAX_PATH_CHARACTERS = 8192

#: Maximum number of headers of a task, and their total size in characters.
MAX_HEADERS = 64
MAX_HEADER_CHARACTERS = 16_384

#: Maximum total number of array elements and object members in a submission;
#: the largest job has fewer.
MAX_MEMBERS = 131_072

#: Maximum number of quotation marks in a submission: a member has at most two
#: strings, its name and its value.
MAX_QUOTES = 4 * MAX_MEMBERS

METHODS = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
)

#: Hop-by-hop headers, and headers that the dispatcher sets itself.
FORBIDDEN_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'http2-settings',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

_HEADER_NAME = re.compile(r"[0-9A-Za-z!#$%&'*+.^_`|~-]+", re.ASCII)
_HEADER_TEXT = re.compile(r'[\t\x20-\x7e]*', re.ASCII)
# "#" is excluded: it starts a fragment, which clients do not send to servers.
_PATH = re.compile(r'/[\x21\x22\x24-\x7e]*', re.ASCII)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """A complete HTTP response to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    #: Verdict on the request, None if there is none yet.
    verdict: verdicts.Verdict | None = None


def _check_method(method: str) -> str:
    if method not in METHODS:
        raise ValueError(f'method is not one of {", ".join(sorted(METHODS))}')
    return method


def _check_path(path: str) -> str:
    if len(path) > MAX_PATH_CHARACTERS:
        raise ValueError(f'path is longer than {MAX_PATH_CHARACTERS}')
    if not _PATH.fullmatch(path):
        raise ValueError(
            'path must start with "/" and contain only visible ASCII, no "#"'
        )
    return path


def _check_headers(headers: dict[str, str]) -> dict[str, str]:
    size = sum(len(name) + len(text) for name, text in headers.items())
    if len(headers) > MAX_HEADERS or size > MAX_HEADER_CHARACTERS:
        raise ValueError('too many or too large headers')
    if len({name.lower() for name in headers}) < len(headers):
        raise ValueError('a header occurs twice')
    for name, text in headers.items():
        _check_header(name, text)
    return headers


def _check_header(name: str, text: str) -> None:
    if not _HEADER_NAME.fullmatch(name):
        raise ValueError('a header name is not a token')
    if name.lower() in FORBIDDEN_HEADERS:
        raise ValueError(f'header {name} is not allowed in a task')
    if not _HEADER_TEXT.fullmatch(text):
        raise ValueError(f'header {name} has characters that are not allowed')


def _decode_base64(text: object) -> bytes:
    if not isinstance(text, str):
        raise ValueError('expected a string')
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as exc:
        raise ValueError('not valid base64') from exc


def _encode_text(text: object) -> bytes:
    if not isinstance(text, str):
        raise ValueError('expected a string')
    try:
        return text.encode()
    except UnicodeEncodeError as exc:
        raise ValueError('text contains a lone surrogate') from exc


DeadlineMs = Annotated[int, pydantic.Field(ge=1, le=600_000)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', strict=True, frozen=True)


class TaskDocument(_Model):
    """One task as submitted by a caller."""

    method: Annotated[str, pydantic.AfterValidator(_check_method)]
    path: Annotated[str, pydantic.AfterValidator(_check_path)]
    headers: Annotated[
        dict[str, str], pydantic.AfterValidator(_check_headers)
    ] = pydantic.Field(default_factory=dict)
    body_base64: Annotated[
        bytes | None, pydantic.BeforeValidator(_decode_base64)
    ] = None
    body_text: Annotated[
        bytes | None, pydantic.BeforeValidator(_encode_text)
    ] = None
    idempotent: bool = False
    deadline_ms: DeadlineMs | None = None

    def body(self) -> bytes:
        """Return the body's bytes."""
        return self.body_base64 or self.body_text or b''

    @pydantic.model_validator(mode='after')
    def _check_one_body(self) -> 'TaskDocument':
        if self.body_base64 is not None and self.body_text is not None:
            raise ValueError('body_base64 and body_text exclude each other')
        return self


class JobDocument(_Model):
    """A job as submitted by a caller."""

    tasks: Annotated[
        list[TaskDocument],
        pydantic.FailFast(),
        pydantic.Field(min_length=1, max_length=MAX_JOB_TASKS),
    ]

    #: Deadline of the tasks that do not set one.
    deadline_ms: DeadlineMs | None = None


class KeysDocument(_Model):
    """Request for new idempotency keys."""

    count: Annotated[int, pydantic.Field(ge=1, le=MAX_KEYS)] = 1


_Document = TypeVar('_Document', bound=_Model)
ParseResult = result.Result[JobDocument, problems.Problem]


def parse_submission(*, kind: work.TaskKind, body: bytes) -> ParseResult:
    """Parse a job or a single request; a request becomes a job of one task."""
    try:
        if kind is work.TaskKind.JOB:
            return result.Ok(_parse_document(JobDocument, body))
        task = _parse_document(TaskDocument, body)
    except ValueError as exc:
        return result.Err(_malformed(exc))
    return result.Ok(JobDocument.model_construct(tasks=[task]))


def parse_key_count(body: bytes) -> result.Result[int, problems.Problem]:
    """Return the number of requested keys, 1 for an empty body."""
    try:
        document = _parse_document(KeysDocument, body or b'{}')
    except ValueError as exc:
        return result.Err(_malformed(exc))
    return result.Ok(document.count)


def _parse_document(model: type[_Document], body: bytes) -> _Document:
    """Return the validated document; raise ValueError if it is malformed.

    Size limits are checked before parsing: without them, 8 MiB of small
    numbers or unknown members would occupy the process for seconds.
    """
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f'the body is larger than {MAX_BODY_BYTES} bytes')
    if len(body) > MAX_MEMBERS and _count_members(body) > MAX_MEMBERS:
        raise ValueError(f'there are more than {MAX_MEMBERS} members')
    try:
        parsed = json.loads(
            body.decode(),
            object_pairs_hook=_check_object,
            parse_constant=_reject_constant,
        )
    except RecursionError as exc:
        raise ValueError('nesting is too deep') from exc
    return model.model_validate(parsed)


def _count_members(body: bytes) -> int:
    """Return an upper bound of the number of members in well-formed JSON."""
    without_escapes = body.replace(rb'\\', b'').replace(rb'\"', b'')
    if without_escapes.count(b'"') > MAX_QUOTES:
        return MAX_QUOTES
    outside_strings = b''.join(without_escapes.split(b'"')[::2])
    return sum(
        outside_strings.count(character) for character in (b',', b'[', b'{')
    )


def _check_object(members: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the object; raise ValueError on duplicate or too many members."""
    if len(members) > MAX_HEADERS:
        raise ValueError(f'an object has more than {MAX_HEADERS} members')
    checked = dict(members)
    if len(checked) < len(members):
        raise ValueError('a member occurs twice')
    return checked


def _reject_constant(name: str) -> None:
    raise ValueError(f'{name} is not a JSON number')


def _malformed(exc: ValueError) -> problems.Problem:
    detail = str(exc)
    if isinstance(exc, pydantic.ValidationError):
        # The input is omitted, as it may contain confidential data.
        error = exc.errors(include_url=False, include_input=False)[0]
        location = '.'.join(str(part) for part in error['loc'])
        detail = f'{location}: {error["msg"]}' if location else error['msg']
    elif isinstance(exc, UnicodeDecodeError):
        detail = 'The body is not valid UTF-8.'
    return problems.refusal(code='malformed_request', status=400, detail=detail)


@functools.cache  # Tens of thousands of tombstones share a few problems.
def answer_dropped(verdict: verdicts.Verdict | None) -> problems.Problem:
    """Return the problem that replaces the reply of an evicted record."""
    return problems.Problem(
        code='answer_dropped',
        verdict=verdict or verdicts.Verdict.MAY_HAVE_RUN,
        status=410,
        detail='The request has ended; its answer is no longer held.',
    )


def answer_too_large(verdict: verdicts.Verdict | None) -> problems.Problem:
    """Return the problem for a reply too large for a peer message."""
    return problems.Problem(
        code='answer_too_large_to_forward',
        verdict=verdict or verdicts.Verdict.MAY_HAVE_RUN,
        status=502,
        detail='Ask the VM that minted the key for the answer.',
    )


def render_json(
    *,
    status: int,
    document: Mapping[str, Any],
    verdict: verdicts.Verdict | None = None,
) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(
        status=status,
        headers=JSON_HEADERS,
        body=json.dumps(document).encode(),
        verdict=verdict,
    )


def render_problem(
    problem: problems.Problem, request_id: ids.RequestId | None = None
) -> Reply:
    """Return a problem reply, with ``Retry-After`` in whole seconds."""
    document = problem_document(problem)
    if request_id is not None:
        document['id'] = request_id
    headers = [('Content-Type', problems.CONTENT_TYPE)]
    if problem.retry_after_s is not None:
        seconds = max(1, math.ceil(problem.retry_after_s))
        headers.append(('Retry-After', str(seconds)))
    return Reply(
        status=problem.status,
        headers=tuple(headers),
        body=json.dumps(document).encode(),
        verdict=problem.verdict,
    )


def problem_document(problem: problems.Problem) -> dict[str, Any]:
    """Return the members of a problem document."""
    return {
        'type': f'urn:sardineproxy:problem:{problem.code}',
        'title': problem.code.replace('_', ' '),
        'status': problem.status,
        'detail': problem.detail,
        'code': problem.code,
        'verdict': problem.verdict.value,
        'final': problem.final,
        'retry_after_s': problem.retry_after_s,
    }
