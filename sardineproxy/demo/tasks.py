"""Tasks for stand-in endpoints, and the check of their answers."""

import dataclasses
import hashlib
import json
from typing import Any, Mapping

from sardineproxy import verdicts

Document = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """One task; ``label`` is unique among all tasks of a run."""

    label: str

    #: Milliseconds that it runs at an endpoint of speed 1.
    run_ms: float
    method: str = 'POST'
    path: str = '/tasks'
    body: str = ''
    idempotent: bool = True

    def render(self) -> Document:
        """Return the task as callers submit it."""
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
        """Return the headers that stand-in endpoints read."""
        return {'X-Task': self.label, 'X-Run-Ms': str(self.run_ms)}

    def find_fault(self, answer: Mapping[str, Any]) -> str | None:
        """Return what is wrong with an answer, or None."""
        verdict = answer.get('verdict')
        if verdict != verdicts.Verdict.RAN.value:
            code = answer.get('code') or answer.get('problem')
            return f'{self.label}: verdict {verdict} ({code})'
        if answer.get('status') != 200:
            return f'{self.label}: status {answer.get("status")}'
        return self.find_body_fault(str(answer.get('body_text', '')))

    def find_body_fault(self, text: str) -> str | None:
        """Return what is wrong with an endpoint's body, or None."""
        try:
            echo = json.loads(text)
        except ValueError:
            return f'{self.label}: body is not whole: {text!r}'
        digest = hashlib.sha256(self.body.encode()).hexdigest()
        if (echo.get('task'), echo.get('body_sha256')) != (self.label, digest):
            return f'{self.label}: answer of another task: {text!r}'
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


def find_job_fault(
    tasks: tuple[Task, ...], answer: Mapping[str, Any]
) -> str | None:
    """Return the first thing that is wrong with a job's answer, or None."""
    state, answers = answer.get('state'), answer.get('tasks', ())
    if state != 'complete':
        return f'state {state} ({answer.get("code")})'
    if len(answers) != len(tasks):
        return f'{len(answers)} answers for {len(tasks)} tasks'
    faults = (
        task.find_fault(one) for task, one in zip(tasks, answers, strict=True)
    )
    return next((fault for fault in faults if fault), None)
