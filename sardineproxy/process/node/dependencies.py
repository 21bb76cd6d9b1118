"""External dependencies of a node, and the job managers built from them."""

import asyncio
import dataclasses
import random
from typing import Callable

from sardineproxy import clock, ids
from sardineproxy.connection import link
from sardineproxy.process import metrics, store
from sardineproxy.process.shards import workers
from sardineproxy.process.stored_jobs import (
    execution,
    fenced_rows,
    job_manager,
    job_table,
)
from sardineproxy.process.membership import links, worker_list
from sardineproxy.version import active_config


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RowFormats:
    """Table names and row decoders of the platform's store."""

    configuration_table: str
    configuration_row: str
    worker_table: str
    decode_configuration: active_config.Decode
    worker_id: Callable[[store.Row], ids.WorkerId]
    decode_worker: worker_list.DecodeWorker

    #: Returns the zone that a row of the configuration table evacuates.
    evacuated_zone: Callable[[store.Row], ids.ZoneId | None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dependencies:
    """Interfaces to the environment, which tests replace."""

    clock: clock.Clock
    rng: random.Random
    store: store.Store
    workers: workers.WorkerApi
    formats: RowFormats
    metrics: metrics.Metrics

    #: Open and accept connections between VMs.
    connect: link.Connect = asyncio.open_connection
    listen: links.Listen = asyncio.start_server


def new_job_manager(
    dependencies: Dependencies,
    *,
    shard: ids.ShardId,
    writer: fenced_rows.Writer,
    router: execution.Router,
    retention_s: float,
    unconfirmed_s: float,
    inquiries: execution.Inquiries,
    on_lost: Callable[[job_manager.JobManager], None],
) -> job_manager.JobManager:
    """Return the manager of stored jobs for a shard that this process leads.

    ``retention_s`` is the time for which the state of a finished job is
    available, in seconds. The authority of the manager is unconfirmed after
    ``unconfirmed_s`` without contact. ``on_lost`` is called once the manager can no longer
    write the shard's jobs.
    """
    return job_manager.JobManager(
        table=job_table.JobTable(
            shard=shard,
            writer=writer,
            store=dependencies.store,
            clock=dependencies.clock,
            rng=dependencies.rng,
            metrics=dependencies.metrics,
            unconfirmed_s=unconfirmed_s,
        ),
        router=router,
        clock=dependencies.clock,
        metrics=dependencies.metrics,
        retention_s=retention_s,
        inquiries=inquiries,
        on_lost=on_lost,
    )
