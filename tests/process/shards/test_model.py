"""Leaders, coordinators and workers under random faults.

Leaders are replaced, links and responses are lost, orders are executed late, and
workers crash and restart. The modelled workers record their runs.
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
from sardineproxy.process.shards import runs, workers
from sardineproxy.request import active_jobs, coordinator, jobs
from sardineproxy.standin import worker_model
from sardineproxy.version import routes
from tests import examples, virtual_time
from sardineproxy.standin import worker_calls as faults
from tests.process.shards import samples

#: Time from a failure until a client submits its job again, in seconds.
RETRY_DELAY_S = 1.3

#: Longest time until one end of a broken link detects it, in seconds.
MAX_DETECTION_S = 0.45

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


class _LinkEnd:
    """One end of a link between a coordinator's VM and a shard leader."""

    def __init__(self, simulation: 'Simulation', deliver: Any) -> None:
        self.simulation = simulation
        self.deliver = deliver
        self.opposite_end: '_LinkEnd'
        self.is_broken = False
        self.peer = messages.Greeting(
            vm=ids.VmId('vm'),
            incarnation=ids.Incarnation('1'),
            zone=ids.ZoneId('zone-a'),
        )

    def send(self, message: Any) -> bool:
        if self.is_broken:
            return False
        delay_s = self.simulation.rng.uniform(0.0001, 0.003)
        asyncio.get_running_loop().call_later(delay_s, self._arrive, message)
        return True

    def is_closing(self) -> bool:
        return self.is_broken

    def _arrive(self, message: Any) -> None:
        if not self.is_broken:
            self.deliver(self.opposite_end, message)


class Vm:
    """An entry VM that coordinates jobs, and its links to shard leaders."""

    def __init__(self, simulation: 'Simulation') -> None:
        self.simulation = simulation
        self.active_jobs = active_jobs.ActiveJobs(clock=simulation.rig.clock)
        self.links: dict[shards.ShardLeader, _LinkEnd] = {}

    def default_shard(self) -> ids.ShardId | None:
        return samples.SHARD if self.simulation.leader in self.links else None

    def leader_link(self, shard: ids.ShardId) -> Any:
        return self.links.get(self.simulation.leader)

    def connect(self, leader: shards.ShardLeader) -> None:
        coordinator_end = _LinkEnd(
            self.simulation,
            lambda end, message: self._deliver_to_leader(leader, end, message),
        )
        leader_end = _LinkEnd(
            self.simulation,
            self.active_jobs.deliver,
        )
        coordinator_end.opposite_end = leader_end
        leader_end.opposite_end = coordinator_end
        self.links[leader] = coordinator_end
        self.active_jobs.notify_leader_found(samples.SHARD)

    def break_link(self, leader: shards.ShardLeader) -> None:
        """Break a link; both ends detect it after a delay."""
        coordinator_end = self.links.pop(leader, None)
        if coordinator_end is None:
            return
        coordinator_end.is_broken = True
        coordinator_end.opposite_end.is_broken = True
        loop = asyncio.get_running_loop()
        rng = self.simulation.rng
        loop.call_later(
            rng.uniform(0, MAX_DETECTION_S),
            self.active_jobs.notify_leader_lost,
            samples.SHARD,
            coordinator_end,
        )
        loop.call_later(
            rng.uniform(0, MAX_DETECTION_S),
            self._detect_break,
            leader,
            coordinator_end.opposite_end,
        )

    def _detect_break(
        self, leader: shards.ShardLeader, leader_end: Any
    ) -> None:
        leader.link_lost(leader_end, self.simulation.rig.clock.now())

    def _deliver_to_leader(
        self, leader: shards.ShardLeader, end: Any, message: Any
    ) -> None:
        now = self.simulation.rig.clock.now()
        if leader in self.simulation.rig.superseded_shards:
            end.send(messages.ShardReleased(shard=samples.SHARD))
        elif isinstance(message, messages.Submit):
            leader.submit(end, message, now)
        elif isinstance(message, messages.Withdraw):
            leader.withdraw(end, message.job)


class Simulation:
    """A shard, its successive leaders, two entry VMs and their clients."""

    def __init__(self, seed: int, fault_share: float) -> None:
        self.rng = random.Random(seed)
        self.fault_share = fault_share
        self.rig = samples.Rig(count=4, work_of=self.work_of)
        self.vms = [Vm(self), Vm(self)]
        self.leader: shards.ShardLeader
        self.epoch = 0
        self.outcomes: list[jobs.Outcome] = []
        self.refused_jobs: set[ids.JobId] = set()
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
        if self.epoch > 1:
            self.leader.limit_former_runs(self.rig.clock.now())
        for vm in self.vms:
            vm.connect(self.leader)

    def apply_event(self, kind: str) -> None:
        now = self.rig.clock.now()
        model = self.rng.choice(list(self.rig.models.values()))
        match kind:
            case 'takeover':
                former_leader = self.leader
                self.take_over()
                for vm in self.vms:
                    vm.break_link(former_leader)
            case 'unnoticed takeover':
                self.take_over()
            case 'cut':
                self.rng.choice(self.vms).break_link(self.leader)
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
            if self.leader not in vm.links:
                vm.connect(self.leader)

    def restart_workers(self, now: float) -> None:
        for model in self.rig.models.values():
            if not model.is_up:
                model.restart(now)
        self.leader.set_workers(
            [model.worker for model in self.rig.models.values()], complete=True
        )

    async def client(self, number: int) -> None:
        """Submit a job, and submit it to another VM after a failure."""
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
            outcome = await vm.active_jobs.run(
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
            if isinstance(outcome, jobs.NotRun):
                self.refused_jobs.add(job.job_id)
            if not isinstance(outcome, jobs.GivenUp):
                return
            await asyncio.sleep(RETRY_DELAY_S)

    def violations(self) -> list[str]:
        """Return a sentence for each double run, overload and run of a job
        whose client was told that it does not run."""
        return [
            *self.rig.violations(),
            *(
                f'{record.task} ran although its job was refused'
                for record in self.rig.records()
                if runs.job_of(record.task) in self.refused_jobs
            ),
        ]

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
                'unnoticed takeover',
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


async def simulate(
    seed: int, fault_share: float, events: list[tuple[float, str]]
) -> Simulation:
    """Simulate jobs and faults for 6 s, and wait 8 s for the outcomes."""
    simulation = Simulation(seed, fault_share)
    simulation.take_over()
    loop = asyncio.get_running_loop()
    for at_s, kind in events:
        loop.call_later(at_s, simulation.apply_event, kind)
    for number in range(60):
        loop.call_later(number * 0.1, simulation.start_client, number)
    await asyncio.sleep(14)
    return simulation


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
        """Guards against double runs and overloaded workers under faults."""

        async def main() -> tuple[list[str], Simulation]:
            simulation = await simulate(seed, fault_share, events)
            return simulation.violations(), simulation

        violations, simulation = virtual_time.run(main)
        self.assertEqual([], violations)
        self.assertFalse(simulation.clients, 'a client got no reply')

    def test_most_jobs_complete_without_faults(self) -> None:
        """Guards against a simulation in which no job is run."""

        async def main() -> Simulation:
            return await simulate(1, 0, [])

        simulation = virtual_time.run(main)
        completed = [
            outcome
            for outcome in simulation.outcomes
            if isinstance(outcome, jobs.Completed)
        ]
        self.assertGreater(len(completed), 50)
