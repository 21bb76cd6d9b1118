"""Heartbeats on links over which tasks run, as both ends see them."""

import asyncio
from typing import Any, Callable, Coroutine

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.membership import links
from sardineproxy.process.node import link_timing, node
from sardineproxy.process.shards import fencing, workers
from sardineproxy.standin import worker_model
from tests import virtual_time
from tests.process.node import samples
from sardineproxy.standin import worker_calls as faults
from tests.process.shards import samples as shard_samples

#: A client sends a job again this long after a missing response, in seconds,
#: and a worker takes so long for a stop.
RETRANSMIT_S = 1.3
STOP_S = 0.05

#: Time that a task works, in seconds.
LONG_WORK_S = 20.0

HOME = ids.ShardId('z1')
OTHER = ids.ShardId('z2')


class PeerLink(shard_samples.FakeLink):
    """A link to another VM that was opened now."""

    def __init__(self, *, zone: str) -> None:
        super().__init__('edge-peer')
        self.peer = messages.Greeting(
            vm=ids.VmId('edge-peer'),
            incarnation=ids.Incarnation('1'),
            zone=ids.ZoneId(zone),
        )
        now = virtual_time.LoopClock().now()
        self.opened_at = now
        self.last_received_at = now
        self.last_heartbeat_at = now
        self.last_used_at = now
        self.is_aborted = False
        self.heartbeat_times: list[float] = []

    def send(self, message: Any) -> bool:
        now = virtual_time.LoopClock().now()
        if isinstance(message, messages.Heartbeat):
            self.last_heartbeat_at = now
            self.heartbeat_times.append(now)
        else:
            self.last_used_at = now
        return super().send(message)

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True


class Rig:
    """A node with one open link and one modelled worker."""

    def __init__(self, *, peer_zone: str) -> None:
        self.clock = virtual_time.LoopClock()
        self.model = worker_model.WorkerModel(
            worker=shard_samples.make_worker(), work_of=_long_work
        )
        self.node = samples.make_node(
            samples.MemoryStore(),
            faults.FaultyWorkerApi(models={'w0': self.model}, clock=self.clock),
        )
        self.link: Any = PeerLink(zone=peer_zone)
        self.node.links.open_links[self.link.peer.vm] = [self.link]
        self.is_peer_alive = True

    def lead(self, shard: ids.ShardId) -> None:
        """Lead a shard with the worker."""
        self.node.led_shards.lead(shard, fencing.FencingToken(epoch=1, rank=0))
        self.node.led_shards.shards[shard].set_workers(
            [self.model.worker], complete=True
        )

    def receive(self, message: Any) -> None:
        """Receive a message other than a heartbeat from the peer."""
        self.link.last_received_at = self.clock.now()
        self.link.last_used_at = self.clock.now()
        self.node.received(self.link, message)

    async def tick_for(self, time_s: float) -> None:
        """Tick; a peer that is alive sends heartbeats all the while."""
        for _ in range(round(time_s / node.TICK_S)):
            if self.is_peer_alive:
                self.link.last_received_at = self.clock.now()
            self.node.tick(self.clock.now())
            await asyncio.sleep(node.TICK_S)

    def runs(self) -> list[worker_model.RunRecord]:
        self.model.advance(self.clock.now())
        return self.model.records


def _long_work(task: workers.TaskName, run: int) -> worker_model.Work:
    return shard_samples.typical_work(task, run, LONG_WORK_S)


def _with_rig(
    scenario: Callable[[Rig], Coroutine[Any, Any, None]], *, peer_zone: str
) -> None:
    async def main() -> None:
        rig = Rig(peer_zone=peer_zone)
        await scenario(rig)
        await rig.node.close()

    virtual_time.run(main)


class TestLinksWithTasks(testtools.TestCase):
    def test_runs_of_a_frozen_vm_of_another_zone_end_before_a_retry(
        self,
    ) -> None:
        """Guards against a task that runs twice at the same time.

        The VM freezes just before its client's wait ends, while a task that it
        submitted to another zone has run for longer than a link stays in use
        without messages. The client sends the job again 1.3 s later.
        """

        async def scenario(rig: Rig) -> None:
            rig.lead(HOME)
            await rig.tick_for(1)
            rig.receive(
                shard_samples.make_submit(
                    shard=HOME,
                    estimate_s=LONG_WORK_S,
                    timeout_s=2 * LONG_WORK_S,
                )
            )
            await rig.tick_for(links.USED_S + 1)
            run = shard_samples.only_item(rig.runs())
            self.assertIsNone(run.result)
            rig.is_peer_alive = False
            await rig.tick_for(RETRANSMIT_S - STOP_S)
            self.assertEqual(
                [workers.RunResult.STOPPED],
                [record.result for record in rig.runs()],
            )

        _with_rig(scenario, peer_zone='z2')

    def test_vm_with_tasks_in_another_zone_sends_the_leader_heartbeats(
        self,
    ) -> None:
        """Guards against runs that are stopped as those of a failed VM.

        The leader expects heartbeats at the shorter interval while it has the
        tasks.
        """

        async def scenario(rig: Rig) -> None:
            # A draining VM claims no shards.
            rig.node.drain(shutdown_at=rig.clock.now() + 10 * LONG_WORK_S)
            rig.node.received(
                rig.link,
                messages.Heartbeat(
                    version=1,
                    shards=((OTHER, 1, 0, 5, True),),
                    pending=(),
                ),
            )
            submitted = asyncio.create_task(
                rig.node.job_intake.run(
                    samples.make_job(), samples.ROUTE, LONG_WORK_S
                )
            )
            await rig.tick_for(links.USED_S + 1)
            sent_before = len(rig.link.heartbeat_times)
            await rig.tick_for(2)
            times = rig.link.heartbeat_times[sent_before - 1 :]
            longest_s = max(
                second - first for first, second in zip(times, times[1:])
            )
            self.assertLessEqual(
                longest_s,
                links.LEADER_HEARTBEAT.interval_s + node.TICK_S + 0.01,
            )
            submitted.cancel()

        _with_rig(scenario, peer_zone='z2')


class TestLinksOfALeader(testtools.TestCase):
    def test_leader_of_another_zone_uses_the_timing_of_its_vms(self) -> None:
        """Guards against a VM that closes the link to its leader.

        A VM expects heartbeats of its home shard's leader at the shortest
        interval, also of a leader in another zone.
        """

        async def scenario(rig: Rig) -> None:
            rig.lead(OTHER)
            await rig.tick_for(links.USED_S + 1)
            timing = link_timing.LinkTiming(process=rig.node)
            self.assertEqual(
                links.HOME_LEADER_HEARTBEAT,
                timing.choose(rig.link, rig.clock.now()),
            )

        _with_rig(scenario, peer_zone='z2')
