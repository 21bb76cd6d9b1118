"""A node without sockets, with an in-memory store and test workers."""

import dataclasses
import random
from typing import Any

import result

from sardineproxy import deployment, ids
from sardineproxy.platform import settings
from sardineproxy.process import metrics, store
from sardineproxy.process.node import dependencies, node, policy, service
from sardineproxy.request import jobs
from sardineproxy.standin import row_store
from sardineproxy.version import routes
from tests import virtual_time
from tests.platform import samples as documents
from tests.process.shards import samples

ROUTE = routes.Route(
    route=ids.RouteId('r'),
    host='a.example',
    path_prefix='/jobs/',
    service=samples.SERVICE,
    stretch=1.6,
    slack_s=0.06,
    priority=0,
    max_attempts=2,
)


class MemoryStore:
    """Implements ``store.Store`` on rows in memory."""

    def __init__(self) -> None:
        self.rows = row_store.RowStore()
        self.is_down = False
        self.calls = 0

    async def read(self, table: str, *, part: str = '') -> Any:
        return self._to_response(self.rows.read(table, part=part))

    async def get(self, key: str, *, part: str = '') -> Any:
        self.calls += 1
        if self.is_down:
            return _unavailable()
        return result.Ok(self.rows.get(key, part=part))

    async def changes(self, table: str, *, after: int, wait_s: float) -> Any:
        return self._to_response(self.rows.changes(table, after=after))

    async def transact(self, **changes: Any) -> Any:
        if self.is_down:
            return _unavailable()
        outcome = self.rows.transact(**changes)
        if isinstance(outcome, row_store.Conflict):
            return _failed(store.ErrorKind.CONFLICT)
        return result.Ok(outcome)

    def _to_response(self, page: Any) -> Any:
        self.calls += 1
        if self.is_down:
            return _unavailable()
        if page is None:
            return _failed(store.ErrorKind.HISTORY_LOST)
        return result.Ok(store.Rows(rows=page.rows, revision=page.revision))


def make_job(**changes: Any) -> jobs.Job:
    """Return a job of one task with an estimated run time of 0.3 s."""
    step = jobs.Step(
        count=1, resources=samples.typical_work('', 1).resources, estimate_s=0.3
    )
    fields: dict[str, Any] = {
        'job_id': ids.JobId('00000000000000a1'),
        'payload': 'text',
        'steps': (step,),
    }
    return jobs.Job(**{**fields, **changes})


def make_deployment() -> deployment.Deployment:
    """Return the deployment of the sample settings."""
    return settings.decode(documents.SETTINGS.encode()).unwrap()


def make_node(memory_store: MemoryStore, api: Any, **changes: Any) -> node.Node:
    """Return a node that has not been started.

    It counts as having read the operator's table, before which no leader starts
    tasks, and its list of workers as not readable. ``changes`` are fields of its
    deployment.
    """
    made = node.Node(
        cfg=dataclasses.replace(make_deployment(), **changes),
        node_policy=policy.Policy(),
        dependencies=dependencies.Dependencies(
            clock=virtual_time.LoopClock(),
            rng=random.Random(1),
            store=memory_store,
            workers=api,
            formats=service.platform_formats(),
            metrics=metrics.Metrics(),
        ),
    )
    made._feeds.configuration.read_at = virtual_time.LoopClock().now()
    made._feeds.worker_list._failures = 1
    return made


def _unavailable() -> Any:
    return _failed(store.ErrorKind.UNAVAILABLE)


def _failed(kind: store.ErrorKind) -> Any:
    return result.Err(store.StoreError(kind=kind, detail=kind.value))
