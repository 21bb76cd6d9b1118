"""Simulated shard with successive leaders and a store that injects faults."""

import asyncio
import random
from typing import Any

import result

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process import metrics, store
from sardineproxy.process.shards import shard as shards
from sardineproxy.process.shards import (
    fencing,
    manager_tokens,
    times,
    worker_inquiries,
    workers,
)
from sardineproxy.process.stored_jobs import (
    fenced_rows,
    job_manager,
    records,
    job_table,
)
from sardineproxy.process.membership import loaded_shards
from sardineproxy.process.node import leadership_contact
from sardineproxy.request import jobs, open_tasks
from sardineproxy.standin import row_store, run_checks, worker_model
from sardineproxy.version import routes
from tests import virtual_time
from sardineproxy.standin import worker_calls as faults
from tests.process.shards import samples

MAX_ATTEMPTS = 3

ROUTE = routes.Route(
    route=ids.RouteId('r'),
    host='a.example',
    path_prefix='/r/',
    service=samples.SERVICE,
    stretch=1.6,
    slack_s=0.06,
    priority=0,
    max_attempts=MAX_ATTEMPTS,
)


def make_job(number: int, *counts: int) -> Any:
    """Return a stored job of consecutive steps with ``counts`` tasks."""
    steps = tuple(
        jobs.Step(
            count=count,
            resources=samples.typical_work('', 1).resources,
            estimate_s=0.2,
            after=(step_index - 1,) if step_index else (),
        )
        for step_index, count in enumerate(counts)
    )
    job = jobs.Job(
        job_id=ids.JobId(f'{number:016x}'),
        payload='text',
        steps=steps,
        stored=True,
    )
    return records.StoredJob(
        job=job,
        route=ROUTE,
        accepted_at=virtual_time.LoopClock().wall(),
    )


class FaultyStore:
    """A store with latency that randomly fails calls and loses responses.

    A write whose response is lost may take effect up to 4 s later.
    """

    def __init__(self, rng: random.Random, fault_share: float) -> None:
        self.rows = row_store.RowStore()
        self.rng = rng
        self.fault_share = fault_share
        self.is_unavailable = False
        self.calls = 0

        #: Writes of rows with this key prefix are refused; empty for none.
        self.refused_prefix = ''

        #: Size of the largest row that the store accepts, in bytes.
        self.max_row_bytes = 65_536
        self._delayed: set[asyncio.Task[None]] = set()

    async def read(self, name: str, *, part: str = '') -> Any:
        if not await self._is_reachable():
            return _error(store.ErrorKind.UNAVAILABLE)
        page = self.rows.read(name, part=part, limit=10**6)
        return result.Ok(store.Rows(rows=page.rows, revision=page.revision))

    async def get(self, key: str, *, part: str = '') -> Any:
        if not await self._is_reachable():
            return _error(store.ErrorKind.UNAVAILABLE)
        return result.Ok(self.rows.get(key, part=part))

    async def transact(self, **changes: Any) -> Any:
        if any(
            len(write.body) > self.max_row_bytes for write in changes['writes']
        ):
            return _error(store.ErrorKind.INVALID)
        if not await self._is_reachable() or self._is_refused(
            changes['writes']
        ):
            return _error(store.ErrorKind.UNAVAILABLE)
        if self.rng.random() < self.fault_share:
            self._apply_later(changes)
            return _error(store.ErrorKind.UNKNOWN)
        outcome = self.rows.transact(**changes)
        if self.rng.random() < self.fault_share:
            return _error(store.ErrorKind.UNKNOWN)
        if isinstance(outcome, row_store.Conflict):
            return _error(store.ErrorKind.CONFLICT)
        return result.Ok(outcome)

    async def _is_reachable(self) -> bool:
        self.calls += 1
        await asyncio.sleep(self.rng.uniform(0.004, 0.012))
        return not self.is_unavailable and self.rng.random() >= self.fault_share

    def _is_refused(self, writes: tuple[store.Write, ...]) -> bool:
        prefix = self.refused_prefix
        return bool(prefix) and any(
            write.key.startswith(prefix) for write in writes
        )

    def _apply_later(self, changes: Any) -> None:
        async def apply() -> None:
            await asyncio.sleep(self.rng.uniform(0.1, 4))
            self.rows.transact(**changes)

        task = asyncio.create_task(apply())
        self._delayed.add(task)
        task.add_done_callback(self._delayed.discard)


class Link:
    """Loopback link of a process, which drops messages after a crash."""

    def __init__(self, process: 'Process') -> None:
        self.process = process
        self.peer = messages.Greeting(
            vm=ids.VmId(f'vm{process.epoch}'),
            incarnation=ids.Incarnation('1'),
            zone=ids.ZoneId('zone-a'),
        )

    def send(self, message: Any) -> bool:
        asyncio.get_running_loop().call_soon(self.process.receive, message)
        return True

    def is_closing(self) -> bool:
        return False


class Inquiries:
    """Answers for the workers of a shard whose leader cannot be reached."""

    def __init__(self) -> None:
        self.findings = worker_inquiries.Findings(
            active=frozenset(), finished={}, is_complete=True
        )
        self.asked: list[ids.ShardId] = []

    def ask(
        self, shard: ids.ShardId
    ) -> 'asyncio.Future[worker_inquiries.Findings]':
        self.asked.append(shard)
        findings_fut = asyncio.get_running_loop().create_future()
        findings_fut.set_result(self.findings)
        return findings_fut


class Process:
    """A leader of the shard with its job manager."""

    def __init__(self, cluster: 'Cluster', epoch: int) -> None:
        self.cluster = cluster
        self.epoch = epoch
        self.is_up = True
        self.link: Any = Link(self)
        api = faults.FaultyWorkerApi(
            models=cluster.rig.models,
            clock=cluster.rig.clock,
            fault_of=cluster.fault_of,
            delay_s=lambda: cluster.rng.uniform(0.0001, 0.003),
        )
        api.late_s = cluster.rng.uniform(0.5, 4)
        self.manager_tokens = manager_tokens.ManagerTokens(
            metrics=metrics.Metrics()
        )
        self.shard: shards.ShardLeader = cluster.rig.lead(
            epoch=epoch, api=api, context=self
        )
        self.manager = job_manager.JobManager(
            table=job_table.JobTable(
                shard=samples.SHARD,
                writer=fenced_rows.Writer(
                    token=fencing.FencingToken(epoch=epoch, rank=0),
                    incarnation=ids.Incarnation(f'i{epoch}'),
                ),
                store=cluster.store,
                clock=cluster.rig.clock,
                rng=cluster.rng,
                metrics=metrics.Metrics(),
            ),
            router=self,
            clock=cluster.rig.clock,
            metrics=metrics.Metrics(),
            retention_s=120,
            inquiries=Inquiries(),
            on_lost=lambda _: None,
        )
        self._loaded_shards = loaded_shards.LoadedShards()
        self.manager.start()
        self._ticks = asyncio.create_task(self._tick())

    def find_manager(self, job: ids.JobId) -> loaded_shards.LoadedShard | None:
        vm = self.link.peer.vm
        loaded = [samples.SHARD] if self.manager.is_loaded else []
        self._loaded_shards.update(vm, loaded, self.cluster.rig.clock.now())
        return self._loaded_shards.get(samples.SHARD, vm)

    def manager_vm(self, home_shard: ids.ShardId) -> ids.VmId | None:
        loaded = self.find_manager(ids.JobId(''))
        return None if loaded is None else loaded.vm

    def manager_link(self, job: ids.JobId) -> Any:
        return self.link

    def leadership_confirmed_at(self, shard: ids.ShardId, now: float) -> float:
        return now

    def workers_listed_at(self) -> float:
        return self.cluster.rig.clock.now()

    def is_worker_list_available(self) -> bool:
        return True

    def workers_of(self, shard: ids.ShardId) -> list[workers.Worker]:
        return []

    def default_shard(self) -> ids.ShardId | None:
        return samples.SHARD

    def leader_link(self, shard: ids.ShardId) -> Any:
        return self.link

    def route(self, route: ids.RouteId) -> routes.Route | None:
        return self.cluster.routes.get(route)

    def receive(self, message: Any) -> None:
        if self.is_up:
            self._dispatch(message)

    def renew_token(self) -> None:
        """Lead the shard under a higher token, as after a new claim."""
        token = self.cluster.next_token()
        self.shard.renew_token(token)
        self.manager.renew_token(token)

    async def crash(self) -> None:
        """Stop without closing links or releasing the shard."""
        self.is_up = False
        self.cluster.rig.superseded_shards.append(self.shard)
        self._ticks.cancel()
        await self.manager.close()
        await self.shard.close()

    def relink(self) -> None:
        """Replace the link between the job manager and the shard leader."""
        lost = self.link
        self.link = Link(self)
        self.shard.link_lost(lost, self.cluster.rig.clock.now())
        self.manager.broadcast(
            open_tasks.LeaderLost(shard=samples.SHARD, former_leader=lost)
        )

    async def _tick(self) -> None:
        while True:
            now = self.cluster.rig.clock.now()
            self.manager.tick(
                leadership_contact.Contact(confirmed_at=now, heard_at=None),
                now,
            )
            await asyncio.sleep(0.1)

    def _dispatch(self, message: Any) -> None:
        now = self.cluster.rig.clock.now()
        match message:
            case messages.Submit():
                self.shard.submit(self.link, message, now)
            case messages.Withdraw(job=job):
                if self.manager_tokens.admits(self.link, message):
                    self.shard.withdraw(self.link, job)
            case messages.ResultsStored():
                if self.manager_tokens.admits(self.link, message):
                    self.shard.acknowledge_results(message)
            case messages.OutdatedAuthority():
                self.manager.handle_refusal(self.link, message)
            case _:
                self.manager.handle_message(self.link, message)


class Cluster:
    """The store, the workers and the current leader of one shard."""

    def __init__(
        self,
        seed: int = 1,
        *,
        fault_share: float = 0,
        count: int = 4,
        failing_percent: int = 0,
        cfg: times.ShardTiming | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.fault_share = fault_share
        self.failing_percent = failing_percent
        self.rig = samples.Rig(count=count, work_of=self.work_of, cfg=cfg)
        self.store = FaultyStore(self.rng, fault_share)
        self.routes = {ROUTE.route: ROUTE}
        self.epoch = 0
        self.processes: list[Process] = []
        self.leader = self.take_over()

    def work_of(self, task: workers.TaskName, run: int) -> worker_model.Work:
        draw = random.Random(f'{task}.{run}').randrange(100)
        is_failing = draw < self.failing_percent
        return worker_model.Work(
            resources=samples.typical_work(task, run).resources,
            work_s=random.Random(task).choice((0.06, 0.2, 0.9)),
            result=workers.RunResult.FAILED
            if is_failing
            else workers.RunResult.DONE,
        )

    def fault_of(self, kind: str) -> faults.CallFault:
        return faults.draw_fault(self.rng, self.fault_share)

    def next_token(self) -> fencing.FencingToken:
        """Return the token of the next claim."""
        self.epoch += 1
        return fencing.FencingToken(epoch=self.epoch, rank=0)

    def take_over(self) -> Process:
        """Make a new process the leader; the former leader keeps running."""
        self.leader = Process(self, self.next_token().epoch)
        self.processes.append(self.leader)
        return self.leader

    async def replace(self) -> Process:
        """Crash the leader and make a new process the leader."""
        await self.leader.crash()
        return self.take_over()

    def restart_workers(self) -> None:
        for model in self.rig.models.values():
            if not model.is_up:
                model.restart(self.rig.clock.now())
        self.rig.list_workers(self.leader.shard, list(self.rig.models.values()))

    async def wait_for_end(self, job: ids.JobId, limit_s: float = 30) -> str:
        """Wait up to ``limit_s`` s for a final state; return the last state."""
        deadline = self.rig.clock.now() + limit_s
        reply = job_manager.JobReply.UNAVAILABLE
        while self.rig.clock.now() < deadline:
            reply = await self.leader.manager.query(job)
            if reply.value in {'completed', 'failed', 'cancelled'}:
                break
            await asyncio.sleep(0.05)
        return reply.value

    def violations(self) -> list[str]:
        run_records = self.rig.records()
        return [
            *self.rig.violations(),
            *run_checks.find_runs_after_success(run_records),
            *run_checks.find_runs_after_max_failures(run_records, MAX_ATTEMPTS),
        ]


def _error(kind: store.ErrorKind) -> Any:
    return result.Err(store.StoreError(kind=kind, detail=kind.value))
