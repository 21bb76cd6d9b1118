"""HTTP client of the workers."""

from typing import Any, Mapping

from sardineproxy import fields
from sardineproxy.connection import http_client
from sardineproxy.platform import http_calls
from sardineproxy.process.shards import workers

_MS_PER_S = 1000

#: Maximum number of finished runs that a worker lists in one report.
MAX_LISTED_RESULTS = 500

_OK = 200
_CONFLICT = 409
_OTHER_WORKER = 421

_REFUSALS = {  # noqa: WPS407
    'fence': workers.Refusal.FENCED,
    'old': workers.Refusal.OLD_RUN,
    'late': workers.Refusal.EXPIRED,
    'room': workers.Refusal.NO_CAPACITY,
    'ticket': workers.Refusal.NO_TICKET,
}

_RESULTS = {  # noqa: WPS407
    'done': workers.RunResult.DONE,
    'failed': workers.RunResult.FAILED,
    'stopped': workers.RunResult.STOPPED,
    'lapsed': workers.RunResult.LEASE_EXPIRED,
    'broken': workers.RunResult.GANG_INCOMPLETE,
    'alone': workers.RunResult.GANG_INCOMPLETE,
}

_Response = http_calls.Response | http_calls.NoResponse


class HttpWorkerApi:
    """Implements ``workers.WorkerApi``."""

    def __init__(self, *, client: http_client.HttpClient) -> None:
        """Use a client that the caller closes."""
        self._client = client

    async def start(
        self,
        worker: workers.Worker,
        order: workers.Order,
        *,
        timeout_s: float,
    ) -> workers.Accepted | workers.Refused | workers.Unanswered:
        """Order the start of a run."""
        response = await self._post(
            worker,
            '/v1/run-start',
            {
                'task': order.task,
                'run': order.run,
                'spec': order.payload,
                'expires_ms': order.expires_ms,
                'fence': order.fence,
            },
            timeout_s,
        )
        return _decode_outcome(response)

    async def stop(
        self,
        worker: workers.Worker,
        *,
        task: workers.TaskName,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> workers.Accepted | workers.Refused | workers.Unanswered:
        """Order the stop of a run, which must not start afterwards either."""
        response = await self._post(
            worker,
            '/v1/run-stop',
            {'task': task, 'run': run, 'fence': fence},
            timeout_s,
        )
        return _decode_outcome(response)

    async def poll(
        self, worker: workers.Worker, poll: workers.Poll, *, timeout_s: float
    ) -> workers.Report | workers.Refused | workers.Unanswered:
        """Request a report, and extend the lease of the worker's runs."""
        document: dict[str, Any] = {
            'fence': poll.fence,
            'acked_through': poll.acked,
        }
        if poll.expires_ms is not None:
            document['expires_ms'] = poll.expires_ms
        if poll.wait_s:
            document['wait_ms'] = int(poll.wait_s * _MS_PER_S)
        response = await self._post(worker, '/v1/hold', document, timeout_s)
        outcome = _decode_outcome(response)
        if not isinstance(outcome, workers.Accepted):
            return outcome
        assert isinstance(response, http_calls.Response)
        try:
            return _decode_report(response.document)
        except fields.FormatError as exc:
            return _malformed_response(f'report: {exc}')

    async def _post(
        self,
        worker: workers.Worker,
        path: str,
        document: Mapping[str, Any],
        timeout_s: float,
    ) -> _Response:
        return await http_calls.post(
            self._client,
            worker.address,
            path,
            document,
            timeout_s=timeout_s,
            instance=worker.worker,
        )


def _decode_outcome(
    response: _Response,
) -> workers.Accepted | workers.Refused | workers.Unanswered:
    if isinstance(response, http_calls.NoResponse):
        return workers.Unanswered(unsent=response.unsent, cause=response.cause)
    if response.status == _OK:
        try:
            clock_ms = fields.get_integer(response.document, 'clock_ms')
        except fields.FormatError as exc:
            return _malformed_response(str(exc))
        return workers.Accepted(clock_ms=clock_ms)
    if response.status == _CONFLICT:
        reason = response.document.get('reason')
        refusal = _REFUSALS.get(str(reason), workers.Refusal.NOT_EXECUTED)
        return workers.Refused(reason=refusal, detail=f'reason {reason}')
    if response.status == _OTHER_WORKER:
        return workers.Refused(reason=workers.Refusal.OTHER_WORKER)
    return workers.Refused(
        reason=workers.Refusal.NOT_EXECUTED, detail=f'status {response.status}'
    )


def _malformed_response(detail: str) -> workers.Unanswered:
    """Return the outcome of a call whose response cannot be decoded.

    The worker may have executed the order, as if it had not responded.
    """
    return workers.Unanswered(unsent=False, cause=detail)


def _decode_report(document: Mapping[str, Any]) -> workers.Report:
    finished = fields.get_list(document, 'finished')
    return workers.Report(
        clock_ms=fields.get_integer(document, 'clock_ms'),
        started_ms=fields.get_integer(document, 'born', 0),
        active=tuple(
            workers.ActiveRun(task=row[0], run=row[1], percent=row[3])
            for row in map(_check_active, fields.get_list(document, 'running'))
        ),
        finished=tuple(
            workers.FinishedRun(
                position=row[0],
                task=row[1],
                run=row[2],
                result=_decode_result(row[3]),
            )
            for row in map(_check_finished, finished)
        ),
        is_complete=len(finished) < MAX_LISTED_RESULTS,
    )


def _decode_result(how: str) -> workers.RunResult:
    decoded = _RESULTS.get(how)
    if decoded is None:
        raise fields.FormatError(
            f'result: expected one of {", ".join(_RESULTS)}, '
            f'found {fields.describe(how)}'
        )
    return decoded


def _check_active(row: Any) -> list[Any]:
    _check_row(row, (str, int, str, (int, float)))
    return row


def _check_finished(row: Any) -> list[Any]:
    _check_row(row, (int, str, int, str))
    return row


def _check_row(row: Any, types: tuple[Any, ...]) -> None:
    is_row = isinstance(row, list) and len(row) >= len(types)
    if not is_row or not all(map(isinstance, row, types)):
        raise fields.FormatError(f'malformed row {fields.describe(row)}')
