"""A job at the VM that accepted it, with owners that a test plays."""

import asyncio
from typing import Any, Callable, Coroutine

import testtools
from testtools import matchers

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.request import coordinator, jobs, open_tasks
from tests import virtual_time
from tests.process.shards import samples as shard_samples
from tests.process.node import samples

HOME = ids.ShardId('zone-a')
OTHER = ids.ShardId('zone-b')


class Rig:
    """A coordinator and the links to the owners of two cells."""

    def __init__(self, count: int = 2) -> None:
        self.clock = virtual_time.LoopClock()
        self.links: dict[ids.ShardId, Any] = {
            HOME: shard_samples.FakeLink('vm-1'),
            OTHER: shard_samples.FakeLink('vm-2'),
        }
        step = jobs.Step(
            count=count,
            resources=shard_samples.usual_work('', 1).resources,
            estimate_s=0.3,
        )
        self.tested = coordinator.Coordinator(
            job=samples.make_job(steps=(step,)),
            route=samples.ROUTE,
            router=self,
            clock=self.clock,
            arrived_at=self.clock.now(),
            deadline=self.clock.now() + 2,
        )
        self.outcome = asyncio.create_task(self.tested.run())

    def default_shard(self) -> ids.ShardId | None:
        return HOME if HOME in self.links else None

    def leader(self, shard: ids.ShardId) -> Any:
        return self.links.get(shard)

    def submitted(self, shard: ids.ShardId = HOME) -> list[messages.Submit]:
        return [
            message
            for message in self.links[shard].sent
            if isinstance(message, messages.Submit)
        ]

    async def end(self, index: int, how: str = 'done', run: int = 1) -> None:
        self.tested.post(
            messages.Ended(
                shard=HOME,
                job=self.tested.job.job_id,
                step=0,
                index=index,
                run=run,
                how=how,
                stored=False,
            )
        )
        await asyncio.sleep(0.001)

    async def decline(
        self, *indices: int, shard: ids.ShardId = HOME, other: str = ''
    ) -> None:
        self.tested.post(
            messages.Declined(
                shard=shard,
                job=self.tested.job.job_id,
                step=0,
                indices=indices,
                other=other,
                cause='no room in time',
                retry_s=1.0,
                stored=False,
            )
        )
        await asyncio.sleep(0.001)

    async def lose_leader(self) -> None:
        lost = self.links.pop(HOME)
        self.tested.post(open_tasks.LeaderLost(shard=HOME, former_leader=lost))
        await asyncio.sleep(0.001)


def with_rig(scenario: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        rig = Rig()
        await asyncio.sleep(0.001)
        await scenario(rig)

    virtual_time.run(main)


class TestOutcomes(testtools.TestCase):
    def test_job_completes_when_all_tasks_have_ended(self) -> None:
        """Guards against answers before the last task."""

        async def scenario(rig: Rig) -> None:
            await rig.end(0)
            self.assertFalse(rig.outcome.done())
            await rig.end(1)
            self.assertEqual(jobs.Completed(), await rig.outcome)

        with_rig(scenario)

    def test_declined_job_was_not_run(self) -> None:
        """Guards against a client that must wait to learn of a refusal."""

        async def scenario(rig: Rig) -> None:
            await rig.decline(0, 1)
            self.assertIsInstance(await rig.outcome, jobs.NotRun)

        with_rig(scenario)

    def test_job_that_may_have_run_is_never_said_not_to_have(self) -> None:
        """Guards against a false refusal."""

        async def scenario(rig: Rig) -> None:
            await rig.end(0)
            await rig.decline(1)
            self.assertIsInstance(await rig.outcome, jobs.GivenUp)

        with_rig(scenario)

    def test_task_that_fails_too_often_fails_the_job(self) -> None:
        """Guards against endless attempts."""

        async def scenario(rig: Rig) -> None:
            await rig.end(0, 'failed')
            self.assertEqual(((0, 2),), rig.submitted()[-1].tasks)
            await rig.end(0, 'failed', run=2)
            self.assertIsInstance(await rig.outcome, jobs.Failed)

        with_rig(scenario)

    def test_deadline_ends_the_job_and_withdraws_it(self) -> None:
        """Guards against work on after the client has stopped waiting."""

        async def scenario(rig: Rig) -> None:
            self.assertIsInstance(await rig.outcome, jobs.GivenUp)
            self.assertIsInstance(rig.links[HOME].sent[-1], messages.Withdraw)

        with_rig(scenario)

    def test_stalled_process_ends_its_jobs(self) -> None:
        """Guards against answers on what others may have taken over."""

        async def scenario(rig: Rig) -> None:
            rig.tested.post(coordinator.Stalled())
            self.assertIsInstance(await rig.outcome, jobs.GivenUp)

        with_rig(scenario)


class TestMoves(testtools.TestCase):
    def test_declined_tasks_go_where_there_is_room(self) -> None:
        """Guards against a refusal while another cell is idle."""

        async def scenario(rig: Rig) -> None:
            await rig.decline(1, other=OTHER)
            moved = rig.submitted(OTHER)[0]
            self.assertEqual(((1, 1),), moved.tasks)
            self.assertTrue(moved.firm)

        with_rig(scenario)

    def test_moved_tasks_say_that_the_job_has_begun(self) -> None:
        """Guards against half of a job's work being thrown away."""

        async def scenario(rig: Rig) -> None:
            self.assertFalse(rig.submitted()[0].begun)
            await rig.decline(1, other=OTHER)
            self.assertTrue(rig.submitted(OTHER)[0].begun)

        with_rig(scenario)

    def test_job_moved_as_a_whole_has_not_begun(self) -> None:
        """Guards against late work for a job that could be refused."""

        async def scenario(rig: Rig) -> None:
            await rig.decline(0, 1, other=OTHER)
            self.assertFalse(rig.submitted(OTHER)[0].begun)

        with_rig(scenario)


class TestLostLeader(testtools.TestCase):
    def test_new_leader_is_asked_for_what_the_former_one_had(self) -> None:
        """Guards against second runs after a takeover."""

        async def scenario(rig: Rig) -> None:
            await rig.end(0)
            await rig.lose_leader()
            rig.links[HOME] = shard_samples.FakeLink('vm-3')
            rig.tested.post(open_tasks.LeaderFound(shard=HOME))
            await asyncio.sleep(0.001)
            asked = shard_samples.only(rig.submitted())
            self.assertTrue(asked.resumed)
            self.assertEqual(((1, 1),), asked.tasks)

        with_rig(scenario)

    def test_job_without_a_leader_is_given_up_in_time(self) -> None:
        """Guards against requests held until their deadline."""

        async def scenario(rig: Rig) -> None:
            begin = rig.clock.now()
            await rig.lose_leader()
            self.assertIsInstance(await rig.outcome, jobs.GivenUp)
            self.assertThat(rig.clock.now() - begin, matchers.LessThan(1.1))

        with_rig(scenario)
