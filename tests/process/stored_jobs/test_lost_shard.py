"""A stored job whose tasks were moved to a shard that is lost."""

import asyncio
from typing import Any, Callable, Coroutine

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.shards import (
    runs,
    times,
    worker_inquiries,
    workers,
)
from sardineproxy.process.stored_jobs import execution, records
from sardineproxy.request import open_tasks
from tests import virtual_time
from tests.process.shards import samples
from tests.process.stored_jobs import cluster as clusters

HOME = samples.SHARD
OTHER = ids.ShardId('zone-b')


class Fixture:
    """The execution of a job of one task, which is in another shard."""

    def __init__(self) -> None:
        self.links: dict[ids.ShardId, Any] = {
            HOME: samples.FakeLink('vm-a'),
            OTHER: samples.FakeLink('vm-b'),
        }
        self.stored = 0
        self.rows: dict[str, bytes] = {}
        self.inquiries = clusters.Inquiries()
        clock = virtual_time.LoopClock()
        self.execution = execution.Execution(
            stored_job=clusters.make_job(1, 1),
            progress=records.JobProgress(moved={(0, 0): OTHER}),
            home_shard=HOME,
            router=self,  # type: ignore[arg-type]
            table=self,  # type: ignore[arg-type]
            clock=clock,
            inquiries=self.inquiries,
            on_finished=lambda _: None,
            resumed=True,
        )

    is_confirmed = True

    def message_authority(self) -> Any:
        return HOME, 1, 0

    def is_outdated_by(self, newer: Any) -> bool:
        return False

    def leader_link(self, shard: ids.ShardId) -> Any:
        return self.links.get(shard)

    def route(self, route: ids.RouteId) -> Any:
        return clusters.ROUTE

    def put(
        self, key: str, body: bytes | None, *, max_delay_s: float
    ) -> asyncio.Future[bool]:
        self.stored += 1
        if body is not None:
            self.rows[key.split('/')[-2]] = body
        commit_fut: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        commit_fut.set_result(True)
        return commit_fut

    def find_runs(
        self,
        *,
        active: bool = False,
        finished: workers.RunResult | None = None,
        complete: bool = True,
    ) -> None:
        """Let the workers of the other shard list a run of the task."""
        task = runs.task_name(self.execution.stored_job.job.job_id, 0, 0)
        results = {}
        if finished is not None:
            ended = workers.FinishedRun(
                position=1, task=task, run=1, result=finished
            )
            results[task] = (ended,)
        self.inquiries.findings = worker_inquiries.Findings(
            active=frozenset((task,) if active else ()),
            finished=results,
            is_complete=complete,
        )

    def lose(self, shard: ids.ShardId) -> Any:
        lost = self.links.pop(shard)
        self.execution.post_event(
            open_tasks.LeaderLost(shard=shard, former_leader=lost)
        )
        return lost

    def find(self, shard: ids.ShardId, link: Any) -> None:
        self.links[shard] = link
        self.execution.post_event(open_tasks.LeaderFound(shard=shard))


def submitted(link: Any) -> list[ids.ShardId]:
    return [
        message.shard
        for message in link.sent
        if isinstance(message, messages.Submit)
    ]


def with_fixture(
    scenario: Callable[[Fixture], Coroutine[Any, Any, None]],
) -> None:
    async def main() -> None:
        fixture = Fixture()
        fixture.execution.start()
        running = asyncio.create_task(fixture.execution.run())
        await scenario(fixture)
        running.cancel()

    virtual_time.run(main)


class TestLostShard(testtools.TestCase):
    def test_tasks_come_back_after_the_leases_have_expired(self) -> None:
        """Guards against review case 10: tasks in a lost zone that never
        start again; and against a second run while the first may exist."""

        async def scenario(fixture: Fixture) -> None:
            home = fixture.links[HOME]
            self.assertEqual([OTHER], submitted(fixture.links[OTHER]))
            fixture.lose(OTHER)
            await asyncio.sleep(times.TAKE_BACK_S - 0.1)
            self.assertEqual([], submitted(home))
            await asyncio.sleep(0.2)
            self.assertEqual([HOME], submitted(home))
            self.assertLess(0, fixture.stored)

        with_fixture(scenario)

    def test_time_begins_anew_with_each_loss(self) -> None:
        """Guards against a second run in a zone that returned in between."""

        async def scenario(fixture: Fixture) -> None:
            home = fixture.links[HOME]
            lost = fixture.lose(OTHER)
            await asyncio.sleep(5)
            fixture.find(OTHER, lost)
            await asyncio.sleep(1)
            self.assertEqual([OTHER, OTHER], submitted(lost))
            fixture.lose(OTHER)
            await asyncio.sleep(times.TAKE_BACK_S - 0.1)
            self.assertEqual([], submitted(home))
            await asyncio.sleep(0.2)
            self.assertEqual([HOME], submitted(home))

        with_fixture(scenario)

    def test_unreported_success_is_found_at_the_worker(self) -> None:
        """Guards against review case 13: a completed task that starts anew.

        The leader that has its result cannot be reached, but the worker can.
        """

        async def scenario(fixture: Fixture) -> None:
            home = fixture.links[HOME]
            fixture.find_runs(finished=workers.RunResult.DONE)
            fixture.lose(OTHER)
            await asyncio.sleep(times.TAKE_BACK_S + 0.1)
            self.assertEqual([OTHER], fixture.inquiries.asked)
            self.assertEqual([], submitted(home))
            self.assertTrue(fixture.execution.finished.done())

        with_fixture(scenario)

    def test_unreported_failure_counts_as_an_attempt(self) -> None:
        """Guards against more runs than the route allows."""

        async def scenario(fixture: Fixture) -> None:
            home = fixture.links[HOME]
            fixture.find_runs(finished=workers.RunResult.FAILED)
            fixture.lose(OTHER)
            await asyncio.sleep(times.TAKE_BACK_S + 0.2)
            self.assertEqual([HOME], submitted(home))
            self.assertEqual(((0, 2),), home.sent[-1].tasks)

        with_fixture(scenario)

    def test_active_run_is_left_to_its_worker(self) -> None:
        """Guards against review case 12: two runs of a task at once.

        The leader of the other shard has not dropped the task.
        """

        async def scenario(fixture: Fixture) -> None:
            home = fixture.links[HOME]
            fixture.find_runs(active=True)
            fixture.lose(OTHER)
            await asyncio.sleep(times.TAKE_BACK_S + 20)
            self.assertEqual([], submitted(home))
            fixture.find_runs(finished=workers.RunResult.DONE)
            await asyncio.sleep(1.1)
            self.assertTrue(fixture.execution.finished.done())

        with_fixture(scenario)

    def test_tasks_do_not_wait_for_a_lost_worker_for_good(self) -> None:
        """Guards against a job that never ends as a worker never responds."""

        async def scenario(fixture: Fixture) -> None:
            home = fixture.links[HOME]
            fixture.find_runs(complete=False)
            fixture.lose(OTHER)
            await asyncio.sleep(times.TAKE_BACK_S + 1.5)
            self.assertEqual([], submitted(home))
            await asyncio.sleep(1.1)
            self.assertEqual([HOME], submitted(home))

        with_fixture(scenario)

    def test_result_beside_a_start_in_doubt_waits_for_the_lease(self) -> None:
        """Guards against a success that counts although the task ran again.

        A worker did not respond before the task was started anew. The next
        manager and the ended job must still know of that.
        """

        async def scenario(fixture: Fixture) -> None:
            fixture.find_runs(complete=False)
            lost = fixture.lose(OTHER)
            await asyncio.sleep(times.TAKE_BACK_S + 7)
            progress = records.decode_progress(fixture.rows['progress'])
            self.assertEqual({(0, 0)}, progress.ok_value.restarted_in_doubt)
            fixture.find(OTHER, lost)
            fixture.execution.post_event(
                open_tasks.FromLeader(
                    source=lost,
                    message=messages.RunEnded(
                        shard=OTHER,
                        job=fixture.execution.stored_job.job.job_id,
                        step=0,
                        index=0,
                        run=1,
                        result='done',
                        stored=True,
                    ),
                )
            )
            await asyncio.sleep(0.1)
            self.assertTrue(lost.sent[-1].after_lapse)
            ended_job = records.decode_job(fixture.rows['job']).ok_value
            self.assertTrue(ended_job.restarted_in_doubt)

        with_fixture(scenario)

    def test_task_is_withdrawn_before_a_late_result_is_stored(self) -> None:
        """Guards against a start after the end of the task was recorded.

        The result of the run in the lost shard arrives after the move.
        """

        async def scenario(fixture: Fixture) -> None:
            home = fixture.links[HOME]
            fixture.lose(OTHER)
            await asyncio.sleep(times.TAKE_BACK_S + 0.1)
            fixture.execution.post_event(
                open_tasks.FromLeader(
                    source=samples.FakeLink('vm-c'),  # type: ignore[arg-type]
                    message=messages.RunEnded(
                        shard=OTHER,
                        job=fixture.execution.stored_job.job.job_id,
                        step=0,
                        index=0,
                        run=1,
                        result='done',
                        stored=True,
                    ),
                )
            )
            await asyncio.sleep(0.1)
            withdrawn = [
                message
                for message in home.sent
                if isinstance(message, messages.WithdrawTasks)
            ]
            self.assertEqual([(0,)], [entry.indices for entry in withdrawn])

        with_fixture(scenario)
