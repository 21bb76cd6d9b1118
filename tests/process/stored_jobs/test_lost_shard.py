"""A stored job whose tasks were moved to a shard that is lost."""

import asyncio
from typing import Any, Callable, Coroutine

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.shards import times
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
        clock = virtual_time.LoopClock()
        self.execution = execution.Execution(
            stored_job=clusters.make_job(1, 1),
            progress=records.JobProgress(moved={(0, 0): OTHER}),
            home_shard=HOME,
            router=self,  # type: ignore[arg-type]
            table=self,  # type: ignore[arg-type]
            clock=clock,
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
        commit_fut: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        commit_fut.set_result(True)
        return commit_fut

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
