"""Job intake and readiness: shutdown, and a lost leader."""

import asyncio
from typing import Any, Callable, Coroutine

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.node import node, zone_vms
from sardineproxy.request import jobs
from tests import virtual_time
from tests.process.node import samples
from tests.process.shards import samples as shard_samples

#: Time after which the history of a job is known again, in seconds.
HISTORY_S = 4.1


def with_node(
    scenario: Callable[[node.Node], Coroutine[Any, Any, None]],
) -> None:
    async def main() -> None:
        await scenario(samples.make_node(samples.MemoryStore(), None))

    virtual_time.run(main)


class TestDraining(testtools.TestCase):
    def test_job_that_would_outlast_the_process_is_not_run(self) -> None:
        """Guards against jobs that are cut off by the end of the process.

        The refusal lets the client send the job to another VM at once.
        """

        async def scenario(tested: node.Node) -> None:
            await asyncio.sleep(HISTORY_S)
            drain(tested)
            outcome = await run_job(tested, 2)
            self.assertEqual(
                jobs.NotRun(
                    detail='process ends before the job would',
                    retry_after_s=1,
                ),
                outcome,
            )

        with_node(scenario)

    def test_draining_node_is_not_ready(self) -> None:
        """Guards against new connections to a process that shuts down."""

        async def scenario(tested: node.Node) -> None:
            self.assertFalse(tested.draining)
            tested.drain(shutdown_at=2000)
            self.assertTrue(tested.draining)
            self.assertFalse(tested.is_ready())

        with_node(scenario)


class TestRefusals(testtools.TestCase):
    def test_lost_vm_may_have_run_a_refused_job(self) -> None:
        """Guards against "not run" for a job that a lost VM has started."""

        async def scenario(tested: node.Node) -> None:
            open_link(tested, 'home', tested.home_shard)
            lost = open_link(tested, 'lost', ids.ShardId('z2'))
            await asyncio.sleep(HISTORY_S)
            drain(tested)
            self.assertIsInstance(await run_job(tested, 2), jobs.NotRun)
            close_link(tested, lost)
            self.assertIsInstance(await run_job(tested, 2), jobs.GivenUp)
            await asyncio.sleep(HISTORY_S)
            self.assertIsInstance(await run_job(tested, 2), jobs.NotRun)

        with_node(scenario)

    def test_refusal_without_the_home_leader_promises_nothing(self) -> None:
        """Guards against "not run" by a leader that knows nothing of a zone."""

        async def scenario(tested: node.Node) -> None:
            open_link(tested, 'other', ids.ShardId('z2'))
            home = open_link(tested, 'home', tested.home_shard)
            close_link(tested, home)
            await asyncio.sleep(HISTORY_S)
            drain(tested)
            self.assertIsInstance(await run_job(tested, 2), jobs.GivenUp)

        with_node(scenario)

    def test_vm_apart_from_its_zone_may_have_run_a_job(self) -> None:
        """Guards against "not run" by a leader that such a VM cannot reach."""
        apart = ids.VmId('apart')
        vms = zone_vms.ZoneVms()
        vms.lost(apart, 1)
        self.assertFalse(vms.are_linked((), 15))
        self.assertTrue(vms.are_linked((), 1 + zone_vms.MAX_APART_S))
        vms.lost(apart, 20)
        self.assertTrue(vms.are_linked((apart,), 20))

    def test_refused_job_may_have_run_before(self) -> None:
        """Guards against "not run" for a job whose client sends it again."""

        async def scenario(tested: node.Node) -> None:
            open_link(tested, 'home', tested.home_shard)
            running = asyncio.create_task(run_job(tested, 2))
            await asyncio.sleep(HISTORY_S)
            self.assertIsInstance(await running, jobs.GivenUp)
            drain(tested)
            self.assertIsInstance(await run_job(tested, 2), jobs.GivenUp)

        with_node(scenario)


class TestLostLeader(testtools.TestCase):
    """A job that is sent again while links are reset (reset-resend)."""

    def test_job_waits_for_the_leader_of_its_zone(self) -> None:
        """Guards against two runs of a task in two zones.

        The first runs exist until the leader has stopped them. It has a link
        again after a few milliseconds.
        """

        async def scenario(tested: node.Node) -> None:
            home = open_link(tested, 'home', tested.home_shard)
            other = open_link(tested, 'other', ids.ShardId('z2'))
            close_link(tested, home)
            running = asyncio.create_task(run_job(tested, 3))
            await asyncio.sleep(0.1)
            self.assertEqual([], submissions(other))
            reopened = open_link(tested, 'home', tested.home_shard)
            await asyncio.sleep(0.1)
            self.assertEqual(1, len(submissions(reopened)))
            self.assertEqual([], submissions(other))
            running.cancel()

        with_node(scenario)

    def test_other_shards_are_used_once_the_runs_have_ended(self) -> None:
        """Guards against refusals for as long as a leader is unreachable."""

        async def scenario(tested: node.Node) -> None:
            home = open_link(tested, 'home', tested.home_shard)
            other = open_link(tested, 'other', ids.ShardId('z2'))
            close_link(tested, home)
            await asyncio.sleep(1.2)
            running = asyncio.create_task(run_job(tested, 3))
            await asyncio.sleep(0.05)
            self.assertEqual(1, len(submissions(other)))
            running.cancel()

        with_node(scenario)

    def test_job_that_cannot_be_on_time_is_refused(self) -> None:
        """Guards against a wait that is longer than the job's time limit."""

        async def scenario(tested: node.Node) -> None:
            home = open_link(tested, 'home', tested.home_shard)
            open_link(tested, 'other', ids.ShardId('z2'))
            started_at = virtual_time.LoopClock().now()
            close_link(tested, home)
            outcome = await run_job(tested, 3)
            self.assertIsInstance(outcome, jobs.GivenUp)
            limit_s = samples.ROUTE.time_limit_s(0.3)
            took_s = virtual_time.LoopClock().now() - started_at
            self.assertLess(took_s, limit_s + 0.05)

        with_node(scenario)

    def test_job_without_any_leader_is_refused_at_once(self) -> None:
        """Guards against a wait at a VM that has lost all links."""

        async def scenario(tested: node.Node) -> None:
            close_link(tested, open_link(tested, 'home', tested.home_shard))
            started_at = virtual_time.LoopClock().now()
            outcome = await run_job(tested, 3)
            self.assertIsInstance(outcome, jobs.GivenUp)
            self.assertEqual(started_at, virtual_time.LoopClock().now())

        with_node(scenario)


def drain(tested: node.Node) -> None:
    """Start to shut down, so that jobs are refused."""
    tested.drain(shutdown_at=virtual_time.LoopClock().now() + 0.1)


async def run_job(tested: node.Node, wait_s: float) -> jobs.Outcome:
    return await tested.job_intake.run(
        samples.make_job(), samples.ROUTE, wait_s
    )


def open_link(tested: node.Node, vm: str, shard: ids.ShardId) -> Any:
    """Open a link to a VM that leads a shard."""
    opened: Any = shard_samples.FakeLink(vm)
    opened.timed_out = False
    opened.abort = lambda: None
    links: Any = tested.links
    links.open_links[vm] = [opened]
    tested.opened(opened)
    tested.received(
        opened,
        messages.Heartbeat(
            version=0, shards=((shard, 1, 0, 5, True),), pending=()
        ),
    )
    return opened


def close_link(tested: node.Node, closed: Any) -> None:
    """Close the only link to a VM."""
    links: Any = tested.links
    links.open_links.pop(closed.peer.vm)
    tested.closed(closed)


def submissions(link: Any) -> list[messages.Submit]:
    return [
        message for message in link.sent if isinstance(message, messages.Submit)
    ]
