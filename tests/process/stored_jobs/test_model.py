"""Stored jobs under random faults of owners, workers and the store.

What workers ran is compared with the promises: every accepted job ends, no
task runs twice at a time or again after a good end, none is tried too often,
and no worker goes over its capacity.
"""

import asyncio
import dataclasses

import hypothesis
import testtools
from hypothesis import strategies

from sardineproxy import ids
from sardineproxy.process.stored_jobs import job_manager
from tests import examples, virtual_time
from tests.process.stored_jobs import cluster as worlds

JOBS = 30

#: Longest time until all accepted jobs have ended once the faults are over.
FINISH_S = 60

_KINDS = (
    'crash of the owner',
    'silent takeover',
    'relink',
    'crash of a worker',
    'restart of workers',
    'store down',
    'store back',
    'cancel',
)

_events = strategies.lists(
    strategies.tuples(
        strategies.floats(min_value=0, max_value=6),
        strategies.sampled_from(_KINDS),
    ),
    max_size=10,
)


class Play:
    """Six seconds of jobs and faults."""

    def __init__(self, world: worlds.Cluster) -> None:
        self.world = world
        self.accepted: set[ids.JobId] = set()
        self.refused: set[ids.JobId] = set()
        self.cancelled: set[ids.JobId] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def at(self, time_s: float, kind: str) -> None:
        """Let something happen later."""
        asyncio.get_running_loop().call_later(
            time_s, lambda: self._spawn(self._happen(kind))
        )

    def hand_in(self, number: int) -> None:
        """Hand a job in, once more after an answer that says nothing."""
        self._spawn(self._hand_in(number))

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _hand_in(self, number: int) -> None:
        counts = [self.world.rng.randint(1, 4)] * self.world.rng.randint(1, 2)
        stored = worlds.make_job(number, *counts)
        answers = []
        for _ in range(2):
            answers.append(await self.world.leader.manager.accept(stored))
            if answers[-1] is not job_manager.JobReply.UNKNOWN:
                break
            await asyncio.sleep(1.3)
        if answers[-1] is job_manager.JobReply.ACCEPTED:
            self.accepted.add(stored.job.job)
        elif job_manager.JobReply.UNKNOWN not in answers:
            self.refused.add(stored.job.job)

    async def _happen(self, kind: str) -> None:
        world = self.world
        model = world.rng.choice(list(world.rig.models.values()))
        match kind:
            case 'crash of the owner':
                await world.replace()
            case 'silent takeover':
                world.take_over()
            case 'relink':
                world.leader.relink()
            case 'crash of a worker':
                model.crash(world.rig.clock.now())
            case 'restart of workers':
                world.restart_workers()
            case 'store down' | 'store back':
                world.store.is_down = kind == 'store down'
            case 'cancel':
                await self._cancel()

    async def _cancel(self) -> None:
        running = sorted(self.accepted - self.cancelled)
        if running:
            job = self.world.rng.choice(running)
            self.cancelled.add(job)
            await self.world.leader.manager.cancel(job)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What became of a play's jobs."""

    complaints: list[str]
    states: dict[ids.JobId, str]

    #: Jobs of which a task was started.
    ran: set[str]
    refused: set[ids.JobId]
    cancelled: set[ids.JobId]


async def play(
    seed: int, fault_share: float, events: list[tuple[float, str]]
) -> Report:
    """Play, end all faults, and wait for the ends of accepted jobs."""
    world = worlds.Cluster(seed, fault_share=fault_share, failing_percent=10)
    played = Play(world)
    loop = asyncio.get_running_loop()
    for at, kind in events:
        played.at(at, kind)
    for number in range(JOBS):
        loop.call_later(0.2 + number * 0.2, played.hand_in, number)
    await asyncio.sleep(9)
    world.fault_share = 0
    world.store.fault_share = 0
    world.store.is_down = False
    world.restart_workers()
    until = world.rig.clock.now() + FINISH_S
    states = {
        job: await world.settle(job, until - world.rig.clock.now())
        for job in sorted(played.accepted)
    }
    await asyncio.sleep(2)
    return Report(
        complaints=world.complaints(),
        states=states,
        ran={record.task.partition('.')[0] for record in world.rig.records()},
        refused=played.refused,
        cancelled=played.cancelled,
    )


class TestModel(testtools.TestCase):
    @hypothesis.given(
        strategies.integers(min_value=0, max_value=2**32),
        strategies.sampled_from((0, 0.02, 0.1)),
        _events,
    )
    @examples.settings(30)
    def test_promises_of_stored_jobs_hold_under_faults(
        self, seed: int, fault_share: float, events: list[tuple[float, str]]
    ) -> None:
        """Guards what must hold whatever is lost, late or replaced."""
        report = virtual_time.run(lambda: play(seed, fault_share, events))
        self.assertEqual([], report.complaints)
        self.assertEqual(set(), report.ran & report.refused)
        for job, state in report.states.items():
            self.assertIn(state, {'completed', 'failed', 'cancelled'}, job)
            if state == 'cancelled':
                self.assertIn(job, report.cancelled)

    def test_all_jobs_complete_without_faults(self) -> None:
        """Guards against a model in which nothing happens."""

        report = virtual_time.run(lambda: play(1, 0, []))
        self.assertEqual(JOBS, len(report.states))
        self.assertNotIn('cancelled', report.states.values())
