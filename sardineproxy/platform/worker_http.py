"""Client of a worker's calls."""

from typing import Any, Mapping

import aiohttp

from sardineproxy.platform import fields, http_calls
from sardineproxy.process.shards import workers

_MS_PER_S = 1000

#: Most ends that a worker lists in one report.
MAX_LISTED_ENDS = 500

_OK = 200
_CONFLICT = 409
_OTHER_WORKER = 421

_REFUSALS = {  # noqa: WPS407
    'fence': workers.Refusal.FENCED,
    'old': workers.Refusal.OLD_RUN,
    'late': workers.Refusal.EXPIRED,
    'room': workers.Refusal.NO_ROOM,
    'ticket': workers.Refusal.NO_TICKET,
}

_ENDINGS = {  # noqa: WPS407
    'done': workers.Ending.DONE,
    'failed': workers.Ending.FAILED,
    'stopped': workers.Ending.STOPPED,
    'lapsed': workers.Ending.LAPSED,
    'broken': workers.Ending.GANG,
    'alone': workers.Ending.GANG,
}

_Answer = http_calls.Answer | http_calls.NoAnswer


class HttpWorkerApi:
    """Implements ``workers.WorkerApi``."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        """Use a session that the caller closes."""
        self._session = session

    async def start(
        self,
        worker: workers.Worker,
        order: workers.Order,
        *,
        timeout_s: float,
    ) -> workers.Accepted | workers.Refused | workers.Unanswered:
        """Order the start of a run."""
        answer = await self._post(
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
        return _decode_order(answer)

    async def stop(
        self,
        worker: workers.Worker,
        *,
        task: workers.TaskName,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> workers.Accepted | workers.Refused | workers.Unanswered:
        """Order the stop of a run; it never starts there afterwards."""
        answer = await self._post(
            worker,
            '/v1/run-stop',
            {'task': task, 'run': run, 'fence': fence},
            timeout_s,
        )
        return _decode_order(answer)

    async def look(
        self, worker: workers.Worker, look: workers.Look, *, timeout_s: float
    ) -> workers.Report | workers.Refused | workers.Unanswered:
        """Ask for a report, and extend the lease of what runs."""
        document: dict[str, Any] = {
            'fence': look.fence,
            'acked_through': look.acked,
        }
        if look.expires_ms is not None:
            document['expires_ms'] = look.expires_ms
        if look.wait_s:
            document['wait_ms'] = int(look.wait_s * _MS_PER_S)
        answer = await self._post(worker, '/v1/hold', document, timeout_s)
        accepted = _decode_order(answer)
        if not isinstance(accepted, workers.Accepted):
            return accepted
        assert isinstance(answer, http_calls.Answer)
        try:
            return _decode_report(answer.document)
        except (fields.FormatError, KeyError) as exc:
            return _not_understood(f'report: {exc}')

    async def _post(
        self,
        worker: workers.Worker,
        path: str,
        document: Mapping[str, Any],
        timeout_s: float,
    ) -> _Answer:
        return await http_calls.send(
            self._session,
            'POST',
            http_calls.make_url(worker.address, path),
            timeout_s=timeout_s,
            document=document,
            headers={'Target-Instance': worker.worker},
        )


def _decode_order(
    answer: _Answer,
) -> workers.Accepted | workers.Refused | workers.Unanswered:
    if isinstance(answer, http_calls.NoAnswer):
        return workers.Unanswered(unsent=answer.unsent, cause=answer.cause)
    if answer.status == _OK:
        clock_ms = answer.document.get('clock_ms')
        if isinstance(clock_ms, int):
            return workers.Accepted(clock_ms=clock_ms)
        return _not_understood('the answer has no clock')
    if answer.status == _CONFLICT:
        reason = answer.document.get('reason')
        why = _REFUSALS.get(str(reason), workers.Refusal.NOT_DONE)
        return workers.Refused(why=why, detail=f'reason {reason}')
    if answer.status == _OTHER_WORKER:
        return workers.Refused(why=workers.Refusal.OTHER_WORKER)
    return workers.Refused(
        why=workers.Refusal.NOT_DONE, detail=f'status {answer.status}'
    )


def _not_understood(detail: str) -> workers.Unanswered:
    """Return an answer of which nothing is known but that it came."""
    return workers.Unanswered(unsent=False, cause=detail)


def _decode_report(document: Mapping[str, Any]) -> workers.Report:
    ended = fields.rows(document, 'finished')
    return workers.Report(
        clock_ms=fields.whole(document, 'clock_ms'),
        born_ms=fields.whole(document, 'born', 0),
        running=tuple(
            workers.Running(task=row[0], run=row[1], percent=row[3])
            for row in map(_check_running, fields.rows(document, 'running'))
        ),
        ended=tuple(
            workers.End(
                number=row[0], task=row[1], run=row[2], how=_ENDINGS[row[3]]
            )
            for row in map(_check_end, ended)
        ),
        is_whole=len(ended) < MAX_LISTED_ENDS,
    )


def _check_running(row: Any) -> list[Any]:
    _check_row(row, (str, int, str, (int, float)))
    return row


def _check_end(row: Any) -> list[Any]:
    _check_row(row, (int, str, int, str))
    return row


def _check_row(row: Any, kinds: tuple[Any, ...]) -> None:
    is_row = isinstance(row, list) and len(row) >= len(kinds)
    if not is_row or not all(map(isinstance, row, kinds)):
        raise fields.FormatError(f'malformed row {row!r:.80}')
