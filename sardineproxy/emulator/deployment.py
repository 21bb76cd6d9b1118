"""A deployment of entry VMs with real nodes, and its clients."""

import asyncio
import dataclasses
import random
import types
from typing import Any, Callable, Iterable, Mapping

import result

from sardineproxy import deployment, ids
from sardineproxy.emulator import (
    network,
    table_store,
    virtual_loop,
    worker_access,
    worker_entries,
)
from sardineproxy.process import metrics
from sardineproxy.process.node import dependencies, policy
from sardineproxy.process.node import node as nodes
from sardineproxy.process.shards import runs, workers
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.request import jobs
from sardineproxy.standin import row_store, worker_model
from sardineproxy.version import routes

#: One-way delay between VMs, and to workers and the store, in seconds.
LATENCY_S = 0.0014
STORE_LATENCY_S = 0.004

#: Time for which a client waits for a response, in seconds.
CLIENT_WAIT_S = 2.5

#: Label of the workers outside the first zone, and of all workers.
OTHER_ZONES = 'b'
ANY_ZONE = 'a'

ROUTE = routes.Route(
    route=ids.RouteId('r'),
    host='jobs.example',
    path_prefix='/jobs/',
    service=ids.ServiceId('s'),
    stretch=1.6,
    slack_s=0.06,
    priority=0,
    max_attempts=2,
)

#: Half of a worker's capacity.
TASK = jobs.Resources(millicores=16_000, memory_mb=64, gpus=0)

_BOUNDS = deployment.Bounds(
    lease_s=3,
    stop_timeout_s=0.05,
    shutdown_grace_s=6,
    config_apply_s=2,
    status_retention_s=120,
    distance_factor=2,
)
_NO_ADDRESS = deployment.Address(host='127.0.0.1', port=1)
_PORT = 8166


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Layout:
    """Sizes of a deployment."""

    #: Numbers of entry VMs by zone.
    vms: Mapping[str, int]

    #: Number of workers of each zone; each runs two tasks at a time.
    workers: int = 4


#: Two VMs in the first zone, as in the review cases 6 and 7.
SMALL = Layout(vms=types.MappingProxyType({'z1': 2, 'z2': 1, 'z3': 1}))


class Vm:
    """An entry VM, and the process that it runs at present."""

    process: virtual_loop.Process
    node: nodes.Node
    workers: worker_access.WorkerAccess

    def __init__(
        self, *, name: str, zone: str, number: int, emulated: 'Deployment'
    ) -> None:
        """Create a VM without a process."""
        self.name = ids.VmId(name)
        self.zone = ids.ZoneId(zone)
        self.address = deployment.Address(host=f'10.0.0.{number}', port=_PORT)
        self.store = table_store.VmStore(
            rows=emulated.rows, latency_s=STORE_LATENCY_S
        )
        self._emulated = emulated

    def start(self) -> None:
        """Start a process."""
        self.process = virtual_loop.Process()
        self.node = self.process.context.copy().run(self._make_node)
        self.process.spawn(self.node.start())

    def kill(self) -> None:
        """Kill the process; its connections are closed."""
        self.process.kill()
        self._emulated.network.disconnect(self.process)

    def leads(self, shard: ids.ShardId) -> bool:
        """Return whether the process leads a shard, as far as it knows."""
        return not self.process.is_killed and (
            shard in self.node.led_shards.shards
        )

    def _make_node(self) -> nodes.Node:
        self.workers = worker_access.WorkerAccess(
            models=self._emulated.workers,
            clock=self._emulated.clock,
            latency_s=LATENCY_S,
        )
        interface = network.Interface(
            network=self._emulated.network, vm=self.name, process=self.process
        )
        return nodes.Node(
            cfg=self._settings(),
            node_policy=policy.Policy().fit(_BOUNDS),
            dependencies=dependencies.Dependencies(
                clock=self._emulated.clock,
                rng=random.Random(self._emulated.rng.random()),
                store=self.store,
                workers=self.workers,
                formats=self._emulated.formats,
                metrics=metrics.Metrics(),
                connect=interface.connect,
                listen=interface.listen,
            ),
        )

    def _settings(self) -> deployment.Deployment:
        return deployment.Deployment(
            vm=self.name,
            zone=self.zone,
            zones=self._emulated.zones,
            front=_NO_ADDRESS,
            ready=_NO_ADDRESS,
            peers=self.address,
            seeds=(),
            store=_NO_ADDRESS,
            bounds=_BOUNDS,
            cores=1,
            memory_bytes=2**28,
            max_fds=1000,
        )


class Deployment:
    """Entry VMs, workers and the store; ``start`` starts the processes.

    Workers of the first zone have the label ``ANY_ZONE`` only, all others also
    ``OTHER_ZONES``.
    """

    def __init__(self, *, layout: Layout, seed: int) -> None:
        """Create a deployment in the running virtual loop."""
        self.rng = random.Random(seed)
        self.clock = virtual_loop.LoopClock()
        self.rows = row_store.RowStore()
        self.zones = tuple(map(ids.ZoneId, layout.vms))
        self.network = network.Network(latency_s=LATENCY_S)
        self._run_times_s: dict[tuple[ids.JobId, int], float] = {}
        self.workers = self._make_workers(layout)
        self.entries = worker_entries.WorkerEntries(
            rows=self.rows, models=self.workers, rng=self.rng
        )
        self.formats = dependencies.RowFormats(
            configuration_table='operator',
            configuration_row='operator/configuration',
            worker_table=worker_entries.TABLE,
            decode_configuration=_decode_configuration,
            worker_id=self.entries.worker_id,
            decode_worker=self.entries.decode,
            evacuated_zone=lambda _: None,
        )
        names = [
            (f'{zone}-{number + 1}', zone)
            for zone, count in layout.vms.items()
            for number in range(count)
        ]
        self.vms = {
            name: Vm(name=name, zone=zone, number=number, emulated=self)
            for number, (name, zone) in enumerate(names, start=1)
        }

        self.stored_jobs: set[ids.JobId] = set()

        #: Times at which clients were told that a job does not run.
        self.refused_at: dict[ids.JobId, float] = {}

        #: Local times, in seconds, at which clients learned of an end.
        self.completed_at: dict[ids.JobId, float] = {}
        self.cancelled_at: dict[ids.JobId, float] = {}
        self._job_numbers = iter(range(10**6))

    async def start(self) -> None:
        """Start all processes and wait until each shard has a leader."""
        self.rows.put('operator/configuration', b'1')
        self._heartbeats = virtual_loop.spawn_outside(self.entries.run())
        for vm in self.vms.values():
            vm.start()
        while not all(self.leader(zone) for zone in self.zones):
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    def leader(self, zone: str) -> Vm | None:
        """Return the VM of a zone that leads its shard."""
        for vm in self.vms.values():
            if vm.zone == zone and vm.leads(ids.ShardId(zone)):
                return vm
        return None

    def any_leader(self, zone: str) -> Vm | None:
        """Return a VM of any zone that leads the shard of a zone."""
        for vm in self.vms.values():
            if vm.leads(ids.ShardId(zone)):
                return vm
        return None

    def workers_of(self, zone: str) -> set[str]:
        """Return the names of a zone's workers."""
        return {
            name
            for name, model in self.workers.items()
            if model.worker.zone == zone
        }

    # Faults.

    def set_paths(
        self, vm: Vm, others: Iterable[Vm], state: network.PathState
    ) -> None:
        """Set the state of the paths from a VM to others."""
        for other in others:
            if other is not vm:
                self.network.set_state(frozenset((vm.name, other.name)), state)

    def cut_off(
        self, vm: Vm, state: network.PathState, access: table_store.Access
    ) -> None:
        """Cut a VM off from all others and from the store."""
        self.set_paths(vm, self.vms.values(), state)
        vm.store.access = access

    # Clients.

    def make_job(
        self,
        home: str,
        *run_times_s: float,
        label: str = OTHER_ZONES,
        count: int = 2,
        stored: bool = True,
    ) -> jobs.Job:
        """Return a job of a home shard, with a step for each run time.

        Its first step needs workers with ``label``.
        """
        job_id = self._next_job_id(home)
        steps = []
        for step_index, run_time_s in enumerate(run_times_s):
            self._run_times_s[job_id, step_index] = run_time_s
            steps.append(
                jobs.Step(
                    count=count,
                    resources=TASK,
                    estimate_s=run_time_s,
                    requires=ANY_ZONE if step_index else label,
                    after=(step_index - 1,) if step_index else (),
                )
            )
        if stored:
            self.stored_jobs.add(job_id)
        return jobs.Job(
            job_id=job_id, payload='text', steps=tuple(steps), stored=stored
        )

    async def submit(self, vm: Vm, job: jobs.Job) -> bool:
        """Store a job through a VM; return whether it was accepted."""
        return (
            await self._call(
                vm,
                lambda: vm.node.job_intake.store(job, ROUTE, CLIENT_WAIT_S),
            )
            is job_manager.JobReply.ACCEPTED
        )

    async def run(
        self, vm: Vm, job: jobs.Job, wait_s: float
    ) -> jobs.Outcome | None:
        """Run a job that is not stored; None without a response in time."""
        outcome: jobs.Outcome | None = await self._call(
            vm, lambda: vm.node.job_intake.run(job, ROUTE, wait_s), wait_s
        )
        if isinstance(outcome, jobs.NotRun):
            self.refused_at.setdefault(job.job_id, self.clock.now())
        return outcome

    async def query(
        self, vm: Vm, job: ids.JobId, *, cancel: bool = False
    ) -> job_manager.JobReply | None:
        """Return the state of a job, None without a response in time."""
        reply: job_manager.JobReply | None = await self._call(
            vm,
            lambda: vm.node.job_intake.query(job, CLIENT_WAIT_S, cancel=cancel),
        )
        now = self.clock.now()
        if reply is job_manager.JobReply.COMPLETED:
            self.completed_at.setdefault(job, now)
        if cancel and reply is job_manager.JobReply.CANCELLED:
            self.cancelled_at.setdefault(job, now)
        return reply

    async def wait_for(
        self,
        vm: Vm,
        job: ids.JobId,
        states: frozenset[job_manager.JobReply],
        limit_s: float,
    ) -> job_manager.JobReply | None:
        """Query a job until it is in one of the states; return the last."""
        until = self.clock.now() + limit_s
        reply = None
        while self.clock.now() < until:
            reply = await self.query(vm, job)
            if reply in states:
                return reply
            await asyncio.sleep(0.25)
        return reply

    def records(self) -> list[worker_model.RunRecord]:
        """Return the records of all runs up to now."""
        records: list[worker_model.RunRecord] = []
        for model in self.workers.values():
            model.advance(self.clock.now())
            records.extend(model.records)
        return records

    def _next_job_id(self, home: str) -> ids.JobId:
        managers = next(iter(self.vms.values())).node.job_service
        while True:
            job_id = ids.JobId(f'{next(self._job_numbers):016x}')
            if managers.home_shard(job_id) == home:
                return job_id

    async def _call(
        self,
        vm: Vm,
        request: Callable[[], Any],
        wait_s: float = CLIENT_WAIT_S,
    ) -> Any:
        """Call a VM as a client; return None without a response in time.

        The call ends at once when the VM's process is killed.
        """
        process = vm.process
        call = process.spawn(request())
        until = self.clock.now() + wait_s + 0.5
        while self.clock.now() < until:
            await asyncio.wait((call,), timeout=0.05)
            if call.done():
                return call.result()
            if process.is_killed:
                return None
        return None

    def _make_workers(
        self, layout: Layout
    ) -> dict[str, worker_model.WorkerModel]:
        return {
            f'{zone}-w{number}': worker_model.WorkerModel(
                worker=workers.Worker(
                    worker=ids.WorkerId(f'{zone}-w{number}'),
                    service=ROUTE.service,
                    address=_NO_ADDRESS,
                    zone=zone,
                    state=workers.WorkerState.READY,
                    started_ms=1,
                    capacity=jobs.Resources(
                        millicores=2 * TASK.millicores, memory_mb=1024, gpus=0
                    ),
                    labels=(ANY_ZONE,)
                    if zone == self.zones[0]
                    else (ANY_ZONE, OTHER_ZONES),
                ),
                work_of=self._work_of,
            )
            for zone in self.zones
            for number in range(layout.workers)
        }

    def _work_of(self, task: workers.TaskName, run: int) -> worker_model.Work:
        job, step, _ = runs.split_task(task)
        return worker_model.Work(
            resources=TASK, work_s=self._run_times_s[job, step]
        )


def _decode_configuration(
    body: bytes,
) -> result.Result[routes.RoutingTable, str]:
    return result.Ok(routes.RoutingTable(number=int(body), routes=(ROUTE,)))
