"""Sample tasks, VMs and problems for tests of dispatch."""

import dataclasses
from typing import Any

from sardineproxy import clock, ids, problems, verdicts
from sardineproxy.process import platform
from sardineproxy.request import work

#: Timeout of events that are certain to happen, in seconds.
LONG_S = 30

_TASK = work.Task(
    request_id=ids.RequestId('r'),
    index=0,
    customer=ids.CustomerId('c'),
    kind=work.TaskKind.SINGLE,
    idempotent=True,
    method='GET',
    path='/',
    headers=(),
    body=b'',
    deadline=0,
)
_VM = platform.Vm(
    name='w0',
    role=platform.VmRole.ENDPOINT,
    state=platform.VmState.LIVE,
    zone=ids.ZoneId('z'),
    region=ids.RegionId('r'),
    host='127.0.0.1',
    port=1,
    slots=1,
    connections=1,
)


def make_task(*, deadline_s: float = LONG_S, **changes: Any) -> work.Task:
    """Return an idempotent single request with a deadline in ``deadline_s``."""
    changes.setdefault('deadline', clock.SystemClock().now() + deadline_s)
    return dataclasses.replace(_TASK, **changes)


def make_vm(**changes: Any) -> platform.Vm:
    """Return a live endpoint VM with one slot and one connection."""
    return dataclasses.replace(_VM, **changes)


def make_problem(
    code: str, verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
) -> problems.Problem:
    """Return a problem with status 503."""
    return problems.Problem(code=code, verdict=verdict, status=503, detail=code)
