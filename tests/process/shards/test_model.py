"""Owners, coordinators and workers under random faults.

Owners replace each other, links and answers are lost, orders are carried out
late, workers crash and start anew. The modelled workers note what they ran.
"""

import asyncio
import random
from typing import Any

import hypothesis
import testtools
from hypothesis import strategies

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.shards import shard as shards
from sardineproxy.process.shards import workers
from sardineproxy.request import active_jobs, coordinator, jobs
from sardineproxy.standin import worker_model
from sardineproxy.version import routes
from tests import examples, virtual_time
from tests.process.shards import samples, faults

#: Time from a failed answer until a client sends its job again, in seconds.
RESEND_S = 1.3

#: Longest time until one end of a cut link notices, in seconds.
NOTICE_S = 0.45

ROUTE = routes.Route(
    route=ids.RouteId('r'),
    host='a.example',
    path_prefix='/r/',
    service=samples.SERVICE,
    stretch=1.6,
    slack_s=0.06,
    priority=0,
    max_attempts=2,
)


class _End:
    """One end of a link between a coordinator's VM and an owner."""

    def __init__(self, world: 'World', deliver: Any) -> None:
        self.world = world
        self.deliver = deliver
        self.other: '_End'
        self.is_cut = False
        self.peer = messages.Greeting(
            vm=ids.VmId('vm'),
            incarnation=ids.Incarnation('1'),
            zone=ids.ZoneId('zone-a'),
        )

    def send(self, message: Any) -> bool:
        if self.is_cut:
            return False
        delay_s = self.world.rng.uniform(0.0001, 0.003)
        asyncio.get_running_loop().call_later(delay_s, self._arrive, message)
        return True

    def is_closing(self) -> bool:
        return self.is_cut

    def _arrive(self, message: Any) -> None:
        if not self.is_cut:
            self.deliver(self.other, message)


class Vm:
    """An accepting VM: a board, and links to owners."""

    def __init__(self, world: 'World') -> None:
        self.world = world
        self.board = active_jobs.ActiveJobs()
        self.ends: dict[shards.ShardLeader, _End] = {}

    def default_shard(self) -> ids.ShardId | None:
        return samples.SHARD if self.world.leader in self.ends else None

    def leader_link(self, shard: ids.ShardId) -> Any:
        return self.ends.get(self.world.leader)

    def connect(self, leader: shards.ShardLeader) -> None:
        near = _End(
            self.world,
            lambda end, message: self._to_leader(leader, end, message),
        )
        far = _End(self.world, lambda _, message: self.board.deliver(message))
        near.other = far
        far.other = near
        self.ends[leader] = near
        self.board.notify_leader_found(samples.SHARD)

    def cut(self, leader: shards.ShardLeader) -> None:
        """Cut a link; both ends notice some time later."""
        near = self.ends.pop(leader, None)
        if near is None:
            return
        near.is_cut = True
        near.other.is_cut = True
        loop = asyncio.get_running_loop()
        rng = self.world.rng
        loop.call_later(
            rng.uniform(0, NOTICE_S),
            self.board.notify_leader_lost,
            samples.SHARD,
            near,
        )
        loop.call_later(
            rng.uniform(0, NOTICE_S), self._notice, leader, near.other
        )

    def _notice(self, leader: shards.ShardLeader, far: Any) -> None:
        leader.link_lost(far, self.world.rig.clock.now())

    def _to_leader(
        self, leader: shards.ShardLeader, end: Any, message: Any
    ) -> None:
        now = self.world.rig.clock.now()
        if leader in self.world.rig.superseded_shards:
            end.send(messages.ShardReleased(shard=samples.SHARD))
        elif isinstance(message, messages.Submit):
            leader.submit(end, message, now)
        elif isinstance(message, messages.Withdraw):
            leader.withdraw(end, message.job)


class World:
    """A cell, its owners in turn, two accepting VMs and their clients."""

    def __init__(self, seed: int, fault_share: float) -> None:
        self.rng = random.Random(seed)
        self.fault_share = fault_share
        self.rig = samples.Rig(count=4, work_of=self.work_of)
        self.vms = [Vm(self), Vm(self)]
        self.leader: shards.ShardLeader
        self.epoch = 0
        self.outcomes: list[jobs.Outcome] = []
        self.clients: set[asyncio.Task[None]] = set()

    def work_of(self, task: workers.TaskName, run: int) -> worker_model.Work:
        draw = random.Random(f'{task}.{run}').randrange(100)
        result = (
            workers.RunResult.FAILED if draw < 3 else workers.RunResult.DONE
        )
        return worker_model.Work(
            resources=samples.typical_work(task, run).resources,
            work_s=random.Random(task).choice((0.06, 0.2, 0.9)),
            result=result,
        )

    def fault_of(self, kind: str) -> faults.CallFault:
        return faults.draw_fault(self.rng, self.fault_share)

    def take_over(self) -> None:
        self.epoch += 1
        api = faults.FaultyWorkerApi(
            models=self.rig.models,
            clock=self.rig.clock,
            fault_of=self.fault_of,
            delay_s=lambda: self.rng.uniform(0.0001, 0.003),
        )
        api.late_s = self.rng.uniform(0.5, 4)
        self.leader = self.rig.lead(epoch=self.epoch, api=api)
        for vm in self.vms:
            vm.connect(self.leader)

    def happen(self, kind: str) -> None:
        now = self.rig.clock.now()
        model = self.rng.choice(list(self.rig.models.values()))
        match kind:
            case 'takeover':
                old = self.leader
                self.take_over()
                for vm in self.vms:
                    vm.cut(old)
            case 'silent takeover':
                self.take_over()
            case 'cut':
                self.rng.choice(self.vms).cut(self.leader)
            case 'reconnect':
                self.reconnect()
            case 'crash':
                model.crash(now)
            case 'restart':
                self.restart_workers(now)
            case 'stall':
                self.leader.mark_all_unconfirmed('test')

    def reconnect(self) -> None:
        for vm in self.vms:
            if self.leader not in vm.ends:
                vm.connect(self.leader)

    def restart_workers(self, now: float) -> None:
        for each in self.rig.models.values():
            if not each.is_up:
                each.restart(now)
        self.leader.set_workers(
            [each.worker for each in self.rig.models.values()], complete=True
        )

    async def client(self, number: int) -> None:
        """Send a job, and send it again to another VM after a failure."""
        job = jobs.Job(
            job_id=ids.JobId(f'{number:016x}'),
            payload='text',
            steps=(
                jobs.Step(
                    count=self.rng.randint(1, 4),
                    resources=samples.typical_work('', 1).resources,
                    estimate_s=0.3,
                ),
            ),
        )
        for vm in self.rng.sample(self.vms, 2):
            now = self.rig.clock.now()
            outcome = await vm.board.run(
                coordinator.Coordinator(
                    job=job,
                    route=ROUTE,
                    router=vm,
                    clock=self.rig.clock,
                    arrived_at=now,
                    deadline=now + 2.5,
                )
            )
            self.outcomes.append(outcome)
            if not isinstance(outcome, jobs.GivenUp):
                return
            await asyncio.sleep(RESEND_S)

    def start_client(self, number: int) -> None:
        task = asyncio.create_task(self.client(number))
        self.clients.add(task)
        task.add_done_callback(self.clients.discard)


_events = strategies.lists(
    strategies.tuples(
        strategies.floats(min_value=0, max_value=6),
        strategies.sampled_from(
            (
                'takeover',
                'silent takeover',
                'cut',
                'reconnect',
                'crash',
                'restart',
                'stall',
            )
        ),
    ),
    max_size=12,
)


async def play(
    seed: int, fault_share: float, events: list[tuple[float, str]]
) -> World:
    """Play six seconds of jobs and faults, and what follows from them."""
    world = World(seed, fault_share)
    world.take_over()
    loop = asyncio.get_running_loop()
    for at, kind in events:
        loop.call_later(at, world.happen, kind)
    for number in range(60):
        loop.call_later(number * 0.1, world.start_client, number)
    await asyncio.sleep(14)
    return world


class TestModel(testtools.TestCase):
    @hypothesis.given(
        strategies.integers(min_value=0, max_value=2**32),
        strategies.sampled_from((0, 0.02, 0.1)),
        _events,
    )
    @examples.settings(40)
    def test_no_double_run_and_no_run_over_capacity(
        self, seed: int, fault_share: float, events: list[tuple[float, str]]
    ) -> None:
        """Guards what must hold whatever is lost, late or replaced."""

        async def main() -> tuple[list[str], World]:
            world = await play(seed, fault_share, events)
            return world.rig.complaints(), world

        complaints, world = virtual_time.run(main)
        self.assertEqual([], complaints)
        self.assertFalse(world.clients, 'a client got no answer')

    def test_most_jobs_complete_without_faults(self) -> None:
        """Guards against a model in which nothing happens."""

        async def main() -> World:
            return await play(1, 0, [])

        world = virtual_time.run(main)
        completed = [
            outcome
            for outcome in world.outcomes
            if isinstance(outcome, jobs.Completed)
        ]
        self.assertGreater(len(completed), 50)
