"""Tasks for stand-in endpoints and checks of their replies."""

import dataclasses
import hashlib
import json
from typing import Any, Mapping

from sardineproxy import verdicts

Document = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """One task; ``label`` is unique among all tasks of a demo or benchmark."""

    label: str

    #: Run time at an endpoint of speed 1.
    run_ms: float
    method: str = 'POST'
    path: str = '/tasks'
    body: str = ''
    idempotent: bool = True

    def render(self) -> Document:
        """Return the task in the format of the caller interface."""
        document: Document = {
            'method': self.method,
            'path': self.path,
            'headers': self.headers,
            'idempotent': self.idempotent,
        }
        if self.body:
            document['body_text'] = self.body
        return document

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers that control a stand-in endpoint."""
        return {'X-Task': self.label, 'X-Run-Ms': str(self.run_ms)}

    def find_error(self, reply: Mapping[str, Any]) -> str | None:
        """Return the error in a reply to this task, or None."""
        verdict = reply.get('verdict')
        if verdict != verdicts.Verdict.RAN.value:
            code = reply.get('code') or reply.get('problem')
            return f'{self.label}: verdict {verdict} ({code})'
        if reply.get('status') != 200:
            return f'{self.label}: status {reply.get("status")}'
        return self.find_body_error(str(reply.get('body_text', '')))

    def find_body_error(self, body_text: str) -> str | None:
        """Return the error in the body that an endpoint sent, or None."""
        try:
            echo = json.loads(body_text)
        except ValueError:
            return f'{self.label}: body is not valid JSON: {body_text!r}'
        digest = hashlib.sha256(self.body.encode()).hexdigest()
        if (echo.get('task'), echo.get('body_sha256')) != (self.label, digest):
            return f'{self.label}: response to another task: {body_text!r}'
        return None


def render_single(task: Task, *, deadline_ms: int) -> Document:
    """Return the body of ``POST /v1/requests``."""
    return {**task.render(), 'deadline_ms': deadline_ms}


def render_job(tasks: tuple[Task, ...], *, deadline_ms: int) -> Document:
    """Return the body of ``POST /v1/jobs``."""
    return {
        'tasks': [task.render() for task in tasks],
        'deadline_ms': deadline_ms,
    }


def find_job_error(
    tasks: tuple[Task, ...], reply: Mapping[str, Any]
) -> str | None:
    """Return the first error in a reply to a job, or None."""
    state, outcomes = reply.get('state'), reply.get('tasks', ())
    if state != 'complete':
        return f'state {state} ({reply.get("code")})'
    if len(outcomes) != len(tasks):
        return f'{len(outcomes)} outcomes for {len(tasks)} tasks'
    errors = (
        task.find_error(outcome)
        for task, outcome in zip(tasks, outcomes, strict=True)
    )
    return next((error for error in errors if error), None)
