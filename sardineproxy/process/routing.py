"""Choice of the endpoint for a task, and what its outcome teaches."""

import random

from sardineproxy import ids
from sardineproxy.connection import endpoint as endpoint_conn
from sardineproxy.process import health, platform
from sardineproxy.request import flows, work

#: A task that its deadline cut off counts against the endpoint only after
#: this multiple of the customer's usual run time.
DEADLINE_FAILURE_FACTOR = 2

#: Above the ranks of all endpoints that may get work.
_NO_RANK = 1_000_000

_CLIENT_ERROR = 400
_SERVER_ERROR = 500
_NOT_IMPLEMENTED = 501
_UNAVAILABLE = 503


class Router:
    """Ranks the live endpoints of the newest list."""

    def __init__(
        self, *, rng: random.Random, zone: ids.ZoneId, health: health.Health
    ) -> None:
        """Start without endpoints."""
        self._rng = rng
        self._zone = zone
        self._health = health
        self._vms: dict[ids.EndpointId, platform.Vm] = {}

    def set_listing(self, vm_list: platform.VmList) -> None:
        """Offer live endpoints only from now on."""
        self._vms = {
            ids.EndpointId(vm.name): vm
            for vm in vm_list.vms
            if vm.role is platform.VmRole.ENDPOINT
            and vm.state is platform.VmState.LIVE
        }
        self._health.set_endpoints(
            {endpoint: vm.zone for endpoint, vm in self._vms.items()},
            own=self._zone,
        )

    def listed_vm(self, endpoint: ids.EndpointId) -> platform.Vm:
        """Return the list's entry of a live endpoint."""
        return self._vms[endpoint]

    def choose_endpoint(
        self,
        entry: flows.QueueEntry,
        free: tuple[ids.EndpointId, ...],
        *,
        now: float,
    ) -> ids.EndpointId | None:
        """Return the endpoint with the shortest expected run time.

        The own zone goes first; ties are broken at random. A probe of an
        endpoint on probation goes first with a task that may be retried, and
        last, or not at all, with any other.
        """
        if entry.exclude or entry.unreachable:
            free = self._remove_excluded(
                free, entry.exclude | entry.unreachable
            )
        probes = self._health.endpoints_on_probation(free, now=now)
        if probes and _may_probe(entry.task):
            return self._rng.choice(probes)
        rank_of = self._health.ranks.get
        ranks = [rank_of(endpoint, _NO_RANK) for endpoint in free]
        least = min(ranks, default=_NO_RANK)
        if least == _NO_RANK:
            probes = self._health.probes_for_any_task(probes, now=now)
            return self._rng.choice(probes) if probes else None
        if ranks.count(least) == 1:
            return free[ranks.index(least)]
        ties = [
            endpoint for endpoint, rank in zip(free, ranks) if rank == least
        ]
        return ties[int(self._rng.random() * len(ties))]

    def record_outcome(
        self,
        task: work.Task,
        endpoint: ids.EndpointId,
        outcome: work.Outcome | None,
        *,
        run_s: float,
        now: float,
    ) -> None:
        """Tell the health estimates how a task ended; None if cancelled."""
        match outcome:
            case work.Response(status=status):
                self._record_response(task, endpoint, status, run_s, now)
            case work.OutcomeUnknown() if not self._is_deadline_too_short(
                task, run_s, now
            ):
                self._health.record_failure(
                    endpoint, request_id=task.request_id, now=now
                )
            case work.Refused(problem=problem) if (
                problem.code == endpoint_conn.UNREACHABLE
            ):
                self._health.record_refusal(
                    endpoint, request_id=task.request_id, now=now
                )
            case _:
                self._health.record_inconclusive(endpoint)

    def _record_response(
        self,
        task: work.Task,
        endpoint: ids.EndpointId,
        status: int,
        run_s: float,
        now: float,
    ) -> None:
        request_id = task.request_id
        if status == _UNAVAILABLE:
            self._health.record_refusal(
                endpoint, request_id=request_id, now=now
            )
        elif status >= _SERVER_ERROR and status != _NOT_IMPLEMENTED:
            self._health.record_failure(
                endpoint, request_id=request_id, now=now
            )
        elif status >= _CLIENT_ERROR:
            self._health.record_response(endpoint, now=now)
        else:
            self._health.record_success(
                endpoint, customer=task.customer, run_s=run_s, now=now
            )
            if task.kind is work.TaskKind.JOB:
                self._health.record_job_success(request_id)

    def _is_deadline_too_short(
        self, task: work.Task, run_s: float, now: float
    ) -> bool:
        """Tell whether the caller's short deadline explains the loss."""
        if now < task.deadline:
            return False
        usual_s = self._health.mean_run_s(task.customer)
        return run_s < DEADLINE_FAILURE_FACTOR * usual_s

    def _remove_excluded(
        self,
        free: tuple[ids.EndpointId, ...],
        exclude: frozenset[ids.EndpointId],
    ) -> tuple[ids.EndpointId, ...]:
        """Drop the endpoints that a task avoids, unless that is all."""
        if len(exclude) >= len(self._vms) and exclude.issuperset(self._vms):
            return free
        return tuple(endpoint for endpoint in free if endpoint not in exclude)


def _may_probe(task: work.Task) -> bool:
    return task.idempotent and task.kind is work.TaskKind.SINGLE
