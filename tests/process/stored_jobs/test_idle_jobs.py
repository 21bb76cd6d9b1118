"""Stored jobs that nothing continues are attached again (review case 1)."""

import asyncio
from typing import Any, Callable, Coroutine

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.stored_jobs import execution, idle_jobs
from sardineproxy.request import jobs, open_tasks
from tests import virtual_time
from tests.process.shards import samples
from tests.process.stored_jobs import cluster as clusters


def with_cluster(
    scenario: Callable[[clusters.Cluster], Coroutine[Any, Any, None]],
) -> None:
    async def main() -> None:
        cluster = clusters.Cluster()
        await asyncio.sleep(0.1)
        await scenario(cluster)

    virtual_time.run(main)


class TestIdleExecutions(testtools.TestCase):
    def test_job_goes_on_after_an_error_of_its_execution(self) -> None:
        """Guards against a job that stays running for good after an error."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 2, 1)
            await cluster.leader.manager.accept(stored_job)

            def fail(*_: Any) -> None:
                self.patch(execution.Execution, '_handle_result', handle)
                raise ValueError('test')

            handle = execution.Execution._handle_result
            self.patch(execution.Execution, '_handle_result', fail)
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            self.assertEqual([], cluster.violations())
            self.assertEqual(3, len(cluster.rig.records()))

        with_cluster(scenario)

    def test_tasks_that_missed_the_new_leader_are_submitted(self) -> None:
        """Guards against tasks that no leader has (review case 1)."""

        async def scenario(cluster: clusters.Cluster) -> None:
            process = cluster.leader
            stored_job = clusters.make_job(1, 2)
            link = process.link
            process.link = None
            await process.manager.accept(stored_job)
            process.link = link
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )

        with_cluster(scenario)

    def test_tasks_at_a_closed_link_are_submitted_again(self) -> None:
        """Guards against a lost event about the leader of a shard."""

        async def scenario(cluster: clusters.Cluster) -> None:
            process = cluster.leader
            stored_job = clusters.make_job(1, 2)
            lost: Any = samples.FakeLink()
            link = process.link
            process.link = lost
            await process.manager.accept(stored_job)
            await asyncio.sleep(0.1)
            self.assertIsInstance(lost.sent[0], messages.Submit)
            lost.is_closing = lambda: True
            process.link = link
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )

        with_cluster(scenario)


class FakeJob:
    def __init__(self, cause: str) -> None:
        self.cause = cause
        self.checks = 0

    def idle_cause(self) -> str:
        self.checks += 1
        return self.cause


class TestIdleJobs(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.idle_jobs: idle_jobs.IdleJobs[FakeJob] = idle_jobs.IdleJobs()

    def find_times(self, jobs: dict[ids.JobId, FakeJob]) -> list[float]:
        """Return when a job is to be attached again within 20 s."""
        return [
            tick / 10
            for tick in range(200)
            if self.idle_jobs.find(jobs, tick / 10)
        ]

    def test_attempts_become_rarer(self) -> None:
        """Guards against a job whose execution fails ten times a second."""
        times = self.find_times({ids.JobId('a'): FakeJob('test')})
        self.assertEqual([1, 3, 7, 15], times)

    def test_job_that_goes_on_is_left_alone(self) -> None:
        """Guards against tasks that are submitted for no reason."""
        self.assertEqual([], self.find_times({ids.JobId('a'): FakeJob('')}))

    def test_cost_of_a_tick_is_bounded(self) -> None:
        """Guards against ticks that grow with the number of jobs."""
        jobs = {ids.JobId(f'{number}'): FakeJob('') for number in range(1000)}
        for tick in range(16):
            before = sum(job.checks for job in jobs.values())
            self.idle_jobs.find(jobs, tick / 10)
            checks = sum(job.checks for job in jobs.values()) - before
            self.assertLessEqual(checks, idle_jobs.MAX_CHECKED)
        self.assertEqual({1}, {job.checks for job in jobs.values()})


class FakeRouter:
    def __init__(self) -> None:
        self.link: Any = samples.FakeLink('vm-1')

    def default_shard(self) -> ids.ShardId:
        return samples.SHARD

    def leader_link(self, shard: ids.ShardId) -> Any:
        return self.link


class TestUnattachedTasks(testtools.TestCase):
    def test_task_at_another_leader_is_unattached(self) -> None:
        """Guards against tasks that wait at a leader that was replaced."""

        router = FakeRouter()
        job = jobs.Job(
            job_id=ids.JobId('1'),
            payload='',
            steps=(
                jobs.Step(
                    count=1,
                    resources=samples.typical_work('', 1).resources,
                    estimate_s=0.2,
                ),
            ),
        )
        tasks = open_tasks.OpenTasks(
            job=job,
            route=clusters.ROUTE,
            router=router,
            clock=virtual_time.LoopClock(),
            times=open_tasks.JobTimes(arrived_at=0, deadline=1),
        )
        added = open_tasks.new_tasks(job, 0, samples.SHARD)
        tasks.add(added)
        self.assertEqual({(samples.SHARD, None)}, tasks.unattached())
        first = router.link
        added[0].leader = first
        self.assertEqual(set(), tasks.unattached())
        router.link = samples.FakeLink('vm-2')
        self.assertEqual({(samples.SHARD, first)}, tasks.unattached())
        added[0].is_moving = True
        self.assertEqual(set(), tasks.unattached())
