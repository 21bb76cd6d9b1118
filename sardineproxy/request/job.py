"""Run one submission to completion and render its answer."""

import asyncio
from typing import Any, Protocol, Sequence

from sardineproxy import ids, logs, verdicts
from sardineproxy.request import documents, records, work

_log = logs.get_logger('request')


class Runner(Protocol):
    """Runs tasks, one at a time or several at once."""

    async def run_single(self, *, task: work.Task) -> work.Outcome:
        """Run a single request, with retries if it is idempotent."""

    async def run_job_task(self, *, task: work.Task) -> work.Outcome:
        """Run a job's task at most once."""

    def cancel(self, *, request_id: ids.RequestId) -> None:
        """End the waiting tasks of a request as refused: ``cancelled``."""

    def waiting(self, *, customer: ids.CustomerId) -> int:
        """Return how many tasks of the customer wait."""


class Execution:
    """Runs the tasks of one record, each exactly once."""

    def __init__(
        self,
        *,
        record: records.Record,
        tasks: Sequence[work.Task],
        runner: Runner,
    ) -> None:
        """Start nothing yet."""
        self._record = record
        self._tasks = tasks
        self._runner = runner

        #: Tasks that have been admitted and not yet handed to the runner.
        self.unstarted = len(tasks)

    async def run(self) -> documents.Reply:
        """Run all tasks and return the answer to the caller."""
        if self._record.kind is work.Kind.SINGLE:
            outcome = await self._run_task(self._tasks[0])
            self._record.verdict = documents.outcome_verdict(outcome)
            return _single_reply(self._record, outcome)
        outcomes = await asyncio.gather(
            *(self._run_task(task) for task in self._tasks)
        )
        self._record.verdict = job_verdict(outcomes)
        return _job_reply(self._record, outcomes)

    async def _run_task(self, task: work.Task) -> work.Outcome:
        self.unstarted -= 1
        outcome = await self._outcome(task)
        self._record.ended_tasks += 1
        return outcome

    async def _outcome(self, task: work.Task) -> work.Outcome:
        if self._record.cancelled:
            return work.Refused(
                problem=documents.refusal(
                    code='cancelled',
                    status=409,
                    detail='The request was cancelled before it started.',
                )
            )
        run = self._runner.run_single
        if task.kind is work.Kind.JOB:
            run = self._runner.run_job_task
        try:
            return await run(task=task)
        except Exception:
            # A fault in the dispatcher may come after the first byte.
            _log.exception('task failed', extra={'id': task.request_id})
            return work.Unknown(
                problem=documents.doubt(
                    code='internal_error',
                    status=500,
                    detail='The dispatcher failed while it ran the task.',
                )
            )


def job_verdict(outcomes: Sequence[work.Outcome]) -> verdicts.Verdict:
    """Return what became of the whole job."""
    found = {documents.outcome_verdict(outcome) for outcome in outcomes}
    if verdicts.Verdict.MAY_HAVE_RUN in found:
        return verdicts.Verdict.MAY_HAVE_RUN
    if len(found) == 1:
        return found.pop()
    return verdicts.Verdict.RAN_AND_FAILED


def _single_reply(
    record: records.Record, outcome: work.Outcome
) -> documents.Reply:
    if isinstance(outcome, work.Answer):
        return documents.render_json(
            status=200,
            document={
                'id': record.request_id,
                **documents.answer_document(outcome),
            },
        )
    return documents.render_problem(outcome.problem, record.request_id)


def _job_reply(
    record: records.Record, outcomes: Sequence[work.Outcome]
) -> documents.Reply:
    assert record.verdict is not None
    complete = record.verdict is verdicts.Verdict.RAN and not record.cancelled
    return documents.render_json(
        status=200,
        document={
            'id': record.request_id,
            'state': 'complete' if complete else 'failed',
            'verdict': record.verdict.value,
            'cancelled': record.cancelled,
            'tasks': [_task_document(outcome) for outcome in outcomes],
        },
    )


def _task_document(outcome: work.Outcome) -> dict[str, Any]:
    if isinstance(outcome, work.Answer):
        return documents.answer_document(outcome)
    return {
        'verdict': outcome.problem.verdict.value,
        'problem': documents.problem_document(outcome.problem),
    }
