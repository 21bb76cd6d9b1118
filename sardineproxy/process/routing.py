"""Choice of an endpoint for each task, and recording of task outcomes."""

import random

from sardineproxy import ids
from sardineproxy.connection import endpoint as endpoint_conn
from sardineproxy.process import health, platform
from sardineproxy.request import flows, work

#: A task that was interrupted by its deadline counts as a failure of the
#: endpoint only if it ran for at least this multiple of the customer's mean run
#: time.
DEADLINE_FAILURE_FACTOR = 2

#: Rank of endpoints that are not in service; larger than all other ranks.
_NO_RANK = 1_000_000

_CLIENT_ERROR = 400
_SERVER_ERROR = 500
_NOT_IMPLEMENTED = 501
_UNAVAILABLE = 503


class Router:
    """Chooses among the live endpoints of the newest VM list."""

    def __init__(
        self, *, rng: random.Random, zone: ids.ZoneId, health: health.Health
    ) -> None:
        """Create a router without endpoints."""
        self._rng = rng
        self._zone = zone
        self._health = health
        self._vms: dict[ids.EndpointId, platform.Vm] = {}

    def set_listing(self, vm_list: platform.VmList) -> None:
        """Replace the endpoints by the live ones of a newer VM list."""
        self._vms = {
            ids.EndpointId(vm.name): vm
            for vm in vm_list.vms
            if vm.role is platform.VmRole.ENDPOINT
            and vm.state is platform.VmState.LIVE
        }
        self._health.set_endpoints(
            {endpoint: vm.zone for endpoint, vm in self._vms.items()},
            own_zone=self._zone,
        )

    def listed_vm(self, endpoint: ids.EndpointId) -> platform.Vm:
        """Return the VM list's entry for a live endpoint."""
        return self._vms[endpoint]

    def choose_endpoint(
        self,
        entry: flows.QueueEntry,
        free: tuple[ids.EndpointId, ...],
        *,
        now: float,
    ) -> ids.EndpointId | None:
        """Return the endpoint to use, or None if no free one is suitable.

        The endpoint with the shortest expected run time is chosen. Endpoints
        of the own zone come before others, and ties are broken at random.

        An idempotent single task is sent to an endpoint on probation first,
        as a probe. Other tasks probe only if no other endpoint is suitable.
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
        best_rank = min(ranks, default=_NO_RANK)
        if best_rank == _NO_RANK:
            probes = self._health.probes_for_any_task(probes, now=now)
            return self._rng.choice(probes) if probes else None
        if ranks.count(best_rank) == 1:
            return free[ranks.index(best_rank)]
        ties = [
            endpoint for endpoint, rank in zip(free, ranks) if rank == best_rank
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
        """Record a task's outcome in the health estimates of its endpoint.

        ``outcome`` is None if the attempt was cancelled.
        """
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
        """Return whether the deadline was too short for the task's run time.

        The failure is then not attributed to the endpoint.
        """
        if now < task.deadline:
            return False
        mean_run_s = self._health.mean_run_s(task.customer)
        return run_s < DEADLINE_FAILURE_FACTOR * mean_run_s

    def _remove_excluded(
        self,
        free: tuple[ids.EndpointId, ...],
        exclude: frozenset[ids.EndpointId],
    ) -> tuple[ids.EndpointId, ...]:
        """Return ``free`` without excluded endpoints.

        If all listed endpoints are excluded, the exclusion is ignored.
        """
        if len(exclude) >= len(self._vms) and exclude.issuperset(self._vms):
            return free
        return tuple(endpoint for endpoint in free if endpoint not in exclude)


def _may_probe(task: work.Task) -> bool:
    """Return whether the task can be retried if its endpoint still fails."""
    return task.idempotent and task.kind is work.TaskKind.SINGLE
