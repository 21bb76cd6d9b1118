"""Decodes all rows of a shard's stored jobs."""

import dataclasses
from typing import Iterable, Mapping

import result

from sardineproxy import background, ids, logs
from sardineproxy.process import store
from sardineproxy.process.stored_jobs import job_table, records

_LOG = logs.get_logger('jobs')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnfinishedJob:
    """A stored job that has not ended, and its progress."""

    stored_job: records.StoredJob
    progress: records.JobProgress


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredRows:
    """Contents of the rows of a shard."""

    unfinished: list[UnfinishedJob] = dataclasses.field(default_factory=list)
    ended: dict[ids.JobId, records.StoredJob] = dataclasses.field(
        default_factory=dict
    )

    #: Jobs that are stored, but whose rows are malformed.
    unreadable: set[ids.JobId] = dataclasses.field(default_factory=set)


def decode(rows: Iterable[store.Row]) -> StoredRows:
    """Decode rows; an error is confined to the job that it concerns."""
    job_rows = {
        ids.JobId(row.key.removeprefix(job_table.JOB_PREFIX)): row
        for row in rows
        if row.key.startswith(job_table.JOB_PREFIX)
    }
    progress_rows = {
        ids.JobId(row.key.removeprefix(job_table.PROGRESS_PREFIX)): row
        for row in rows
        if row.key.startswith(job_table.PROGRESS_PREFIX)
    }
    stored_rows = StoredRows()
    for job, row in job_rows.items():
        try:
            _decode_job(job, row, progress_rows, stored_rows)
        except Exception as exc:
            background.report(f'row {row.key}', exc)
            stored_rows.unreadable.add(job)
    return stored_rows


def _decode_job(
    job: ids.JobId,
    row: store.Row,
    progress_rows: Mapping[ids.JobId, store.Row],
    stored_rows: StoredRows,
) -> None:
    decoded = records.decode_job(row.body or b'')
    if isinstance(decoded, result.Err):
        _log_unreadable(row, decoded.err_value)
        stored_rows.unreadable.add(job)
        return
    stored_job = decoded.ok_value
    if stored_job.state.is_final:
        stored_rows.ended[job] = stored_job
        return
    progress = records.JobProgress()
    progress_row = progress_rows.get(job)
    if progress_row is not None:
        loaded = records.decode_progress(progress_row.body or b'')
        if isinstance(loaded, result.Err):
            _log_unreadable(progress_row, loaded.err_value)
            stored_rows.unreadable.add(job)
            return
        progress = loaded.ok_value
    stored_rows.unfinished.append(
        UnfinishedJob(stored_job=stored_job, progress=progress)
    )


def _log_unreadable(row: store.Row, cause: str) -> None:
    _LOG.error(
        'Row of a stored job is malformed; the job is not run.',
        extra={'key': row.key, 'cause': cause},
    )
