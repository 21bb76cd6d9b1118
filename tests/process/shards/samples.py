"""Workers, links and submissions for tests of shards."""

import asyncio
from typing import Any, Callable

from sardineproxy import deployment, ids
from sardineproxy.connection import messages
from sardineproxy.process import metrics
from sardineproxy.process.load import free_capacity
from sardineproxy.process.shards import shard as shards
from sardineproxy.process.shards import (
    fencing,
    manager_tokens,
    shard_capacities,
    times,
    workers,
)
from sardineproxy.process.membership import loaded_shards
from sardineproxy.request import jobs
from sardineproxy.standin import run_checks, worker_model
from tests import virtual_time
from sardineproxy.standin import worker_calls as faults

SHARD = ids.ShardId('zone-a')
SERVICE = ids.ServiceId('print')

#: Millicores of a usual task; two fit on a usual worker.
TASK_MILLICORES = 14_000


def make_worker(name: str = 'w0', **changes: Any) -> workers.Worker:
    fields: dict[str, Any] = {
        'worker': ids.WorkerId(name),
        'service': SERVICE,
        'address': deployment.Address(host='10.0.0.1', port=80),
        'zone': ids.ZoneId('zone-a'),
        'state': workers.WorkerState.READY,
        'started_ms': 1,
        'capacity': jobs.Resources(millicores=32_000, memory_mb=65_536, gpus=0),
        'labels': ('a', 'r1'),
    }
    return workers.Worker(**{**fields, **changes})


def make_classes(
    count: int, **changes: Any
) -> tuple[free_capacity.WorkerClass, ...]:
    """Return the class of ``count`` workers with room for a usual task."""
    fields: dict[str, Any] = {
        'service': SERVICE,
        'labels': ('a', 'r1'),
        'speed': 1.0,
        'free': jobs.Resources(
            millicores=TASK_MILLICORES, memory_mb=64, gpus=0
        ),
        'worker_count': count,
    }
    worker_class = free_capacity.WorkerClass(**{**fields, **changes})
    return (worker_class,) if count else ()


class FakeLink:
    """Records the messages that a shard leader sends to a coordinator."""

    def __init__(self, vm: str = 'vm-1') -> None:
        self.peer = messages.Greeting(
            vm=ids.VmId(vm),
            incarnation=ids.Incarnation('1'),
            zone=ids.ZoneId('zone-a'),
        )
        self.sent: list[Any] = []

    def send(self, message: Any) -> bool:
        self.sent.append(message)
        return True

    def is_closing(self) -> bool:
        return False

    def results(self) -> dict[int, str]:
        return {
            message.index: message.result
            for message in self.sent
            if isinstance(message, messages.RunEnded)
        }

    def declined(self) -> list[messages.Declined]:
        return [
            message
            for message in self.sent
            if isinstance(message, messages.Declined)
        ]


def make_submit(job: str = 'j1', count: int = 1, **changes: Any) -> Any:
    fields: dict[str, Any] = {
        'shard': SHARD,
        'job': ids.JobId(job),
        'step': 0,
        'route': ids.RouteId('r'),
        'service': SERVICE,
        'priority': 0,
        'payload': 'text',
        'tasks': tuple((index, 1) for index in range(count)),
        'millicores': TASK_MILLICORES,
        'memory_mb': 64,
        'gpus': 0,
        'requires': '',
        'rack': '',
        'per_worker': 0,
        'estimate_s': 0.2,
        'age_s': float(0),
        'timeout_s': 3.0,
        'stretch': 1.6,
        'slack_s': 0.06,
        'resumed': False,
        'job_started': False,
        'pinned': False,
        'stored': False,
    }
    return messages.Submit(**{**fields, **changes})


def only_item(items: list[Any]) -> Any:
    """Return the only item of a list; fail if there is not exactly one."""
    assert len(items) == 1, items
    return items[0]


def typical_work(
    task: workers.TaskName, run: int, work_s: float = 0.2
) -> worker_model.Work:
    return worker_model.Work(
        resources=jobs.Resources(
            millicores=TASK_MILLICORES, memory_mb=64, gpus=0
        ),
        work_s=work_s,
    )


class UnstoredJobManager:
    """Acknowledges all results at once, as for jobs that are not stored."""

    def __init__(self) -> None:
        self.shards: list[shards.ShardLeader] = []

    def send(self, message: Any) -> bool:
        for leader in self.shards:
            leader.acknowledge_results(
                messages.ResultsStored(
                    shard=message.shard,
                    job=message.job,
                    step=message.step,
                    runs=((message.index, message.run),),
                )
            )
        return True


class Rig:
    """Modelled workers and the leaders of one shard."""

    def __init__(
        self,
        *,
        count: int = 1,
        work_of: worker_model.WorkOf = typical_work,
        cfg: times.ShardTiming | None = None,
        **changes: Any,
    ) -> None:
        self.clock = virtual_time.LoopClock()
        self.cfg = cfg or times.ShardTiming()
        self.models = {
            f'w{number}': worker_model.WorkerModel(
                worker=make_worker(f'w{number}', **changes), work_of=work_of
            )
            for number in range(count)
        }
        self.api = faults.FaultyWorkerApi(models=self.models, clock=self.clock)
        self.is_list_current = True

        #: Time of the newest list while it is not current, and whether the
        #: store can be read.
        self.listed_at: float = 0
        self.is_list_available = True
        self.is_leadership_confirmed = True
        self.manager_tokens = manager_tokens.ManagerTokens(
            metrics=metrics.Metrics()
        )
        self.superseded_shards: list[shards.ShardLeader] = []
        self.capacities = shard_capacities.ShardCapacities()
        self.listed_elsewhere: dict[str, list[workers.Worker]] = {}
        self.unstored_manager = UnstoredJobManager()
        self.shards = self.unstored_manager.shards
        self._tick_tasks: list[asyncio.Task[None]] = []

        #: VMs that report to manage the stored jobs of shards.
        self.managers: dict[ids.ShardId, ids.VmId] = {}

    def workers_listed_at(self) -> float:
        return self.clock.now() if self.is_list_current else self.listed_at

    def leadership_confirmed_at(self, shard: ids.ShardId, now: float) -> float:
        return now if self.is_leadership_confirmed else 0

    def is_worker_list_available(self) -> bool:
        return self.is_list_available

    def workers_of(self, shard: ids.ShardId) -> list[workers.Worker]:
        return self.listed_elsewhere.get(shard, [])

    def find_manager(self, job: ids.JobId) -> loaded_shards.LoadedShard | None:
        return loaded_shards.LoadedShard(vm=ids.VmId('vm-1'), since=0)

    def manager_vm(self, home_shard: ids.ShardId) -> ids.VmId | None:
        return self.managers.get(home_shard)

    def manager_link(self, job: ids.JobId) -> Any:
        return self.unstored_manager

    def superseded(self, leader: shards.ShardLeader) -> None:
        self.superseded_shards.append(leader)

    def report_capacity(self, shard: str, tasks: int, **changes: Any) -> None:
        """Report free workers of another shard, each for one usual task."""
        self.capacities.update(
            ids.ShardId(shard), make_classes(tasks, **changes), self.clock.now()
        )

    def lead(
        self,
        epoch: int = 1,
        *,
        api: Any = None,
        complete: bool = True,
        ticks: bool = True,
        context: Any = None,
    ) -> shards.ShardLeader:
        leader = shards.ShardLeader(
            shard=SHARD,
            token=fencing.FencingToken(epoch=epoch, rank=0),
            api=api or self.api,
            clock=self.clock,
            metrics=metrics.Metrics(),
            events=self,
            capacities=self.capacities,
            context=context or self,
            cfg=self.cfg,
        )
        self.list_workers(leader, list(self.models.values()), complete=complete)
        self.shards.append(leader)
        if ticks:
            self._tick_tasks.append(asyncio.create_task(self._tick(leader)))
        return leader

    def list_workers(
        self,
        leader: shards.ShardLeader,
        models: list[worker_model.WorkerModel],
        *,
        complete: bool = True,
    ) -> None:
        """Pass a list of workers to a leader."""
        leader.set_workers(
            [model.worker for model in models],
            complete=complete,
        )

    async def lead_and_sync(self, **kwargs: Any) -> shards.ShardLeader:
        """Lead the shard and wait for the first reports."""
        leader = self.lead(**kwargs)
        await asyncio.sleep(0.01)
        return leader

    def count_starts(self) -> int:
        """Return the number of start orders that leaders have given."""
        return sum(kind == 'start' for kind, _ in self.api.calls)

    def records(self) -> list[worker_model.RunRecord]:
        for model in self.models.values():
            model.advance(self.clock.now())
        return [
            record for model in self.models.values() for record in model.records
        ]

    def violations(self) -> list[str]:
        violations = [
            violation
            for model in self.models.values()
            for violation in model.violations
        ]
        return violations + run_checks.find_overlapping_runs(self.records())

    async def _tick(self, leader: shards.ShardLeader) -> None:
        while leader not in self.superseded_shards:
            leader.tick(self.clock.now())
            await asyncio.sleep(0.025)


def with_rig(test: Callable[..., Any], **rig_options: Any) -> Any:
    """Run ``test(rig)`` in virtual time."""

    async def main() -> Any:
        return await test(Rig(**rig_options))

    return virtual_time.run(main)
