"""Takeovers of a shard while workers with runs have no valid entry.

Real nodes in virtual time, as in review case 15.
"""

import asyncio
import dataclasses
import itertools
from typing import Any, Awaitable, Callable, Coroutine

import testtools

from sardineproxy import ids
from sardineproxy.emulator import (
    deployment,
    network,
    rules,
    table_store,
    virtual_loop,
    worker_entries,
)

LAYOUT = dataclasses.replace(deployment.SMALL, workers=3)
JOB_COUNT = 4
RUN_TIME_S = 20.0

#: Time from the loss of an entry to the end of the leader, in seconds: while the
#: entry expires, while the worker still counts as listed, and afterwards.
END_DELAYS_S = (4.0, 5.5, 9.0)
AFTER_EXPIRY_S = (9.0,)

#: Time after which a client sends a job again, in seconds.
RETRANSMIT_S = 1.3


class Fixture:
    """Jobs of long tasks, and the workers of ``z1`` that run some of them."""

    def __init__(self, emulated: deployment.Deployment) -> None:
        self.emulated = emulated
        self.clients: list[asyncio.Task[Any]] = []

    async def start_jobs(self, *, stored: bool) -> None:
        vms = list(self.emulated.vms.values())
        for number in range(JOB_COUNT):
            job = self.emulated.make_job(
                self.emulated.zones[number % 3],
                RUN_TIME_S,
                label=deployment.ANY_ZONE,
                stored=stored,
            )
            vm = vms[number % len(vms)]
            if stored:
                assert await self.emulated.submit(vm, job)
            else:
                self.clients.append(
                    asyncio.ensure_future(
                        self.emulated.run(vm, job, 3 * RUN_TIME_S)
                    )
                )
        await asyncio.sleep(1)

    def busy_workers(self) -> set[str]:
        """Return the workers of ``z1`` that run tasks."""
        busy = {
            record.worker
            for record in self.emulated.records()
            if record.ended_at is None and record.worker.startswith('z1')
        }
        assert busy
        return busy

    def leader(self) -> deployment.Vm:
        leader = self.emulated.any_leader('z1')
        assert leader is not None
        return leader

    def other_vms(self, vm: deployment.Vm) -> list[deployment.Vm]:
        return [
            other for other in self.emulated.vms.values() if other is not vm
        ]


LoseEntry = Callable[[worker_entries.WorkerEntries, str], Any]
EndLeader = Callable[[Fixture], Awaitable[None]]


def expire(entries: worker_entries.WorkerEntries, worker: str) -> None:
    entries.cut_off.add(worker)


def malform(entries: worker_entries.WorkerEntries, worker: str) -> None:
    entries.malformed.add(worker)


def move(entries: worker_entries.WorkerEntries, worker: str) -> None:
    entries.zones[worker] = ids.ZoneId('z2')


async def kill(fixture: Fixture) -> None:
    leader = fixture.leader()
    leader.kill()
    await asyncio.sleep(0.5)
    leader.start()


async def terminate(fixture: Fixture) -> None:
    leader = fixture.leader()
    shutdown_at = fixture.emulated.clock.now() + 3
    leader.process.call(lambda: leader.node.drain(shutdown_at=shutdown_at))
    await asyncio.sleep(3)
    leader.kill()


async def freeze(fixture: Fixture) -> None:
    process = fixture.leader().process
    process.freeze()
    await asyncio.sleep(3)
    process.resume()


async def cut_off(fixture: Fixture) -> None:
    leader = fixture.leader()
    fixture.emulated.cut_off(
        leader, network.PathState.SILENT, table_store.Access.SILENT
    )
    await asyncio.sleep(5)
    fixture.emulated.cut_off(
        leader, network.PathState.OPEN, table_store.Access.OPEN
    )


async def kill_zone(fixture: Fixture) -> None:
    for vm in fixture.emulated.vms.values():
        if vm.zone == 'z1':
            vm.kill()


async def kill_with_successor(fixture: Fixture) -> None:
    for pause_s in (1.0, 0):
        fixture.leader().kill()
        await asyncio.sleep(pause_s)


ENDS = (kill, terminate, freeze, cut_off, kill_zone, kill_with_successor)


def play(
    *,
    lose_entry: LoseEntry,
    end_leader: EndLeader,
    delay_s: float,
    stored: bool,
) -> list[str]:
    """Play a takeover; return the violations."""

    async def main() -> list[str]:
        emulated = deployment.Deployment(layout=LAYOUT, seed=1)
        await emulated.start()
        fixture = Fixture(emulated)
        await fixture.start_jobs(stored=stored)
        for worker in fixture.busy_workers():
            lose_entry(emulated.entries, worker)
        await asyncio.sleep(delay_s)
        await end_leader(fixture)
        await asyncio.sleep(6)
        return rules.find_violations(emulated)

    return virtual_loop.run(main)


class TestRunningTasks(testtools.TestCase):
    def check(
        self,
        lose_entry: LoseEntry,
        *,
        stored: bool,
        delays_s: tuple[float, ...] = AFTER_EXPIRY_S,
    ) -> None:
        for end_leader, delay_s in itertools.product(ENDS, delays_s):
            violations = play(
                lose_entry=lose_entry,
                end_leader=end_leader,
                delay_s=delay_s,
                stored=stored,
            )
            self.assertEqual([], violations, (end_leader.__name__, delay_s))

    def test_tasks_on_workers_with_expired_entries_run_once(self) -> None:
        """Guards against review case 15: a task runs on two workers."""
        self.check(expire, stored=True, delays_s=END_DELAYS_S)

    def test_tasks_on_workers_with_malformed_entries_run_once(self) -> None:
        """Guards against a new leader that finds no entry of a worker."""
        self.check(malform, stored=True)

    def test_tasks_on_workers_that_name_another_zone_run_once(self) -> None:
        """Guards against two leaders that use one worker."""
        self.check(move, stored=True)

    def test_tasks_that_are_not_stored_run_once(self) -> None:
        """Guards against review case 15 for jobs that are not stored."""
        self.check(expire, stored=False)


class TestResults(testtools.TestCase):
    def test_results_on_unlisted_workers_are_not_repeated(self) -> None:
        """Guards against a second run of a task whose result is unknown.

        The leader is killed just before tasks end on workers whose entries
        have expired, so that it reports none of the results.
        """

        async def main() -> list[str]:
            emulated = deployment.Deployment(layout=LAYOUT, seed=1)
            await emulated.start()
            fixture = Fixture(emulated)
            await fixture.start_jobs(stored=True)
            busy = fixture.busy_workers()
            emulated.entries.cut_off.update(busy)
            await asyncio.sleep(RUN_TIME_S - 1.3)
            await kill(fixture)
            await asyncio.sleep(5)
            emulated.entries.cut_off.clear()
            await asyncio.sleep(10)
            done = [
                record.task
                for record in emulated.records()
                if record.worker in busy and record.result is not None
            ]
            assert len(done) == len(set(done))
            repeated = [
                record.task
                for record in emulated.records()
                if record.task in done and record.worker not in busy
            ]
            return [*rules.find_violations(emulated), *map(str, repeated)]

        self.assertEqual([], virtual_loop.run(main))


class TestResubmission(testtools.TestCase):
    def test_job_sent_again_does_not_meet_its_former_runs(self) -> None:
        """Guards against runs that a new leader keeps alive for nobody.

        The only VM of a zone is lost with the job, and its client sends the
        job again to another zone.
        """
        for restart_s in (0.2, 0.4, 0.6, 0.8, 5.0):
            violations = virtual_loop.run(_make_resubmission(restart_s))
            self.assertEqual([], violations, restart_s)


def _make_resubmission(
    restart_s: float,
) -> Callable[[], Coroutine[Any, Any, list[str]]]:
    """Return a scenario in which the lost VM starts again after some time."""

    async def main() -> list[str]:
        emulated = deployment.Deployment(layout=LAYOUT, seed=1)
        await emulated.start()
        lost = emulated.vms['z2-1']
        job = emulated.make_job('z1', RUN_TIME_S, stored=False)
        sending = asyncio.ensure_future(emulated.run(lost, job, RUN_TIME_S))
        await asyncio.sleep(1)
        lost.kill()
        killed_at = emulated.clock.now()
        await asyncio.sleep(min(restart_s, RETRANSMIT_S))
        if restart_s < RETRANSMIT_S:
            lost.start()
        await asyncio.sleep(killed_at + RETRANSMIT_S - emulated.clock.now())
        assert sending.done()
        again = asyncio.ensure_future(
            emulated.run(emulated.vms['z3-1'], job, RUN_TIME_S)
        )
        await asyncio.sleep(4)
        assert not again.done()
        assert len(emulated.records()) == 2 * job.steps[0].count
        return rules.find_violations(emulated)

    return main
