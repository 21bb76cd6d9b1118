"""Runs submissions to completion and renders the replies."""

import asyncio
import base64
import collections
import itertools
from typing import Any, Awaitable, Coroutine, Protocol, Sequence, TypeVar

from sardineproxy import clock, ids, logs, problems, verdicts
from sardineproxy.process import metrics
from sardineproxy.request import admission, documents, records, work

#: Maximum total size of the endpoints' responses to one job, in bytes.
MAX_JOB_RESPONSE_BYTES = 33_554_432

#: Maximum number of running submissions listed in the state dump.
MAX_LISTED_SUBMISSIONS = 100

#: Lowest HTTP status that counts as an error of the endpoint.
FIRST_ERROR_STATUS = 400

_ResultT = TypeVar('_ResultT')
_LOG = logs.get_logger('request')


class Runner(Protocol):
    """Runs tasks, one at a time or several at once."""

    async def run_single(self, *, task: work.Task) -> work.Outcome:
        """Run a single request, with retries if it is idempotent."""

    async def run_job_task(self, *, task: work.Task) -> work.Outcome:
        """Run a job's task at most once."""

    def cancel(self, *, request_id: ids.RequestId) -> None:
        """Refuse the waiting tasks of a request as ``cancelled``."""

    def waiting(self, *, customer: ids.CustomerId) -> int:
        """Return the number of the customer's waiting tasks."""


class Execution:
    """Runs the tasks of one record unless they are cancelled."""

    def __init__(
        self,
        *,
        record: records.Record,
        tasks: Sequence[work.Task],
        runner: Runner,
        unstarted: collections.Counter[ids.CustomerId],
    ) -> None:
        """Create an instance; ``unstarted`` is decremented per started task."""
        self._record = record
        self._unstarted = unstarted
        self._tasks = tasks
        self._runner = runner
        self._response_bytes = 0

    async def run(self) -> documents.Reply:
        """Run all tasks and return the reply to the caller."""
        if self._record.kind is work.TaskKind.SINGLE:
            outcome = await self._run_task(self._tasks[0])
            return _single_reply(self._record, outcome)
        outcomes = await asyncio.gather(
            *(self._run_task(task) for task in self._tasks)
        )
        return _job_reply(self._record, outcomes)

    async def _run_task(self, task: work.Task) -> work.Outcome:
        self._unstarted[task.customer] -= 1
        outcome = await self._run_if_not_cancelled(task)
        self._record.ended_tasks += 1
        if isinstance(outcome, work.Response):
            self._response_bytes += len(outcome.body)
            if self._response_bytes > MAX_JOB_RESPONSE_BYTES:
                return _without_body(outcome)
        return outcome

    async def _run_if_not_cancelled(self, task: work.Task) -> work.Outcome:
        if self._record.cancelled:
            return work.Refused(problem=cancelled())
        run = self._runner.run_single
        if task.kind is work.TaskKind.JOB:
            run = self._runner.run_job_task
        try:
            return await run(task=task)
        except Exception:
            # The task may have run: the dispatcher can raise after the first
            # byte has been sent.
            _LOG.exception(
                'Running a task raised an exception; its outcome is unknown.',
                extra={'id': task.request_id},
            )
            return work.OutcomeUnknown(problem=_internal_error())


class Executions:
    """The submissions that are in progress at this process.

    Requests that are forwarded to other processes count as in progress, too.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        runner: Runner,
        record_store: records.RecordStore,
        metrics: metrics.Metrics,
    ) -> None:
        """Create an instance with nothing in progress."""
        self._clock = clock
        self._runner = runner
        self._record_store = record_store
        self._metrics = metrics
        self._records: dict[ids.RequestId, records.Record] = {}

        #: Total size of the submissions in progress, in bytes.
        self.running_bytes = 0
        self._in_progress: set[asyncio.Task[Any]] = set()
        self._unstarted: collections.Counter[ids.CustomerId] = (
            collections.Counter()
        )

    def start(
        self,
        *,
        admitted: admission.AdmittedSubmission,
        request_id: ids.RequestId,
        sequence: int | None = None,
        fingerprint: bytes = b'',
    ) -> records.Record:
        """Start a submission and return its record.

        Its tasks count as waiting from now on.
        """
        now = self._clock.now()
        record = records.Record(
            request_id=request_id,
            customer=admitted.submission.customer,
            kind=admitted.submission.kind,
            fingerprint=fingerprint,
            size=len(admitted.submission.body),
            task_count=len(admitted.document.tasks),
            started_at=now,
            reply_future=asyncio.get_running_loop().create_future(),
            sequence=sequence,
        )
        if sequence is not None:
            self._record_store.open(record=record)
        self._records[request_id] = record
        self.running_bytes += record.size
        self._unstarted[record.customer] += record.task_count
        execution = Execution(
            record=record,
            tasks=admitted.tasks(request_id=request_id, now=now),
            runner=self._runner,
            unstarted=self._unstarted,
        )
        self.run_detached(self._run(record, execution))
        return record

    def run_detached(
        self, coroutine: Coroutine[Any, Any, _ResultT]
    ) -> Awaitable[_ResultT]:
        """Run a coroutine to its end even if its awaiter is cancelled."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._in_progress.add(task)
        task.add_done_callback(self._in_progress.discard)
        return asyncio.shield(task)

    async def wait_until_idle(self) -> None:
        """Wait until nothing is in progress."""
        while self._in_progress:
            await asyncio.wait(self._in_progress)

    def waiting(self, *, customer: ids.CustomerId) -> int:
        """Return the number of the customer's tasks that have not started."""
        waiting = self._runner.waiting(customer=customer)
        return waiting + self._unstarted[customer]

    def state(self, *, now: float) -> dict[str, object]:
        """Return counts and the oldest submissions, for the state dump."""
        oldest = itertools.islice(
            self._records.values(), MAX_LISTED_SUBMISSIONS
        )
        return {
            'in_progress': len(self._in_progress),
            'running': len(self._records),
            'running_bytes': self.running_bytes,
            'oldest': [_record_state(record, now) for record in oldest],
        }

    def cancel(self, *, record: records.Record) -> None:
        """Cancel the tasks of the record that have not started."""
        if not record.cancelled:
            record.cancelled = True
            self._runner.cancel(request_id=record.request_id)

    async def _run(self, record: records.Record, execution: Execution) -> None:
        try:
            reply = await execution.run()
        except Exception:
            # Without a reply, callers of this record would wait forever.
            _LOG.exception(
                'Rendering the reply failed; the caller receives an error.',
                extra={'id': record.request_id},
            )
            reply = documents.render_problem(_internal_error())
        record.ended_at = self._clock.now()
        record.reply_future.set_result(reply)
        self._records.pop(record.request_id)
        self.running_bytes -= record.size
        self._record_store.close(record=record)
        self._metrics.observe(
            'submission_seconds',
            record.ended_at - record.started_at,
            kind=record.kind.value,
        )


def _record_state(record: records.Record, now: float) -> dict[str, object]:
    return {
        'id': record.request_id,
        'customer': record.customer,
        'kind': record.kind.value,
        'tasks': record.task_count,
        'ended_tasks': record.ended_tasks,
        'cancelled': record.cancelled,
        'age_s': round(now - record.started_at, 3),
    }


def cancelled() -> problems.Problem:
    """Return the refusal of a task that was cancelled before it started."""
    return problems.refusal(
        code='cancelled',
        status=409,
        detail='The request was cancelled before it started.',
    )


def _internal_error() -> problems.Problem:
    return problems.outcome_unknown(
        code='internal_error',
        status=500,
        detail='The dispatcher failed while it ran the request.',
    )


def outcome_verdict(outcome: work.Outcome) -> verdicts.Verdict:
    """Return the verdict on a task with this outcome."""
    match outcome:
        case work.Response(status=status):
            if status < FIRST_ERROR_STATUS:
                return verdicts.Verdict.RAN
            return verdicts.Verdict.RAN_AND_FAILED
        case (
            work.Refused(problem=problem) | work.OutcomeUnknown(problem=problem)
        ):
            return problem.verdict


def job_verdict(outcomes: Sequence[work.Outcome]) -> verdicts.Verdict:
    """Return the verdict on a job whose tasks have these outcomes."""
    task_verdicts = {outcome_verdict(outcome) for outcome in outcomes}
    if verdicts.Verdict.MAY_HAVE_RUN in task_verdicts:
        return verdicts.Verdict.MAY_HAVE_RUN
    if len(task_verdicts) == 1:
        return task_verdicts.pop()
    return verdicts.Verdict.RAN_AND_FAILED


def response_document(response: work.Response) -> dict[str, Any]:
    """Return a response as JSON; a body that is not UTF-8 is base64."""
    document: dict[str, Any] = {
        'verdict': outcome_verdict(response).value,
        'status': response.status,
        'headers': [list(header) for header in response.headers],
        'endpoint': response.endpoint,
    }
    try:
        document['body_text'] = response.body.decode()
    except UnicodeDecodeError:
        document['body_base64'] = base64.b64encode(response.body).decode()
    return document


def _single_reply(
    record: records.Record, outcome: work.Outcome
) -> documents.Reply:
    if isinstance(outcome, work.Response):
        return documents.render_json(
            status=200,
            document={'id': record.request_id, **response_document(outcome)},
            verdict=outcome_verdict(outcome),
        )
    return documents.render_problem(outcome.problem, record.request_id)


def _job_reply(
    record: records.Record, outcomes: Sequence[work.Outcome]
) -> documents.Reply:
    verdict = job_verdict(outcomes)
    all_responded = all(
        isinstance(outcome, work.Response) for outcome in outcomes
    )
    complete = (
        all_responded
        and verdict is verdicts.Verdict.RAN
        and not record.cancelled
    )
    return documents.render_json(
        status=200,
        document={
            'id': record.request_id,
            'state': 'complete' if complete else 'failed',
            'verdict': verdict.value,
            'cancelled': record.cancelled,
            'tasks': [_task_document(outcome) for outcome in outcomes],
        },
        verdict=verdict,
    )


def _task_document(outcome: work.Outcome) -> dict[str, Any]:
    if isinstance(outcome, work.Response):
        return response_document(outcome)
    return {
        'verdict': outcome.problem.verdict.value,
        'problem': documents.problem_document(outcome.problem),
    }


def _without_body(response: work.Response) -> work.Outcome:
    """Return an outcome with the response's verdict but not its body."""
    return work.OutcomeUnknown(
        problem=problems.Problem(
            code='answers_too_large',
            verdict=outcome_verdict(response),
            status=502,
            detail=(
                "The job's answers exceed "
                f'{MAX_JOB_RESPONSE_BYTES} bytes together.'
            ),
        )
    )
