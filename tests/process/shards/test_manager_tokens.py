"""Refusal of work that a replaced job manager sends (review cases 1, 6, 7)."""

import asyncio
from typing import Any

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    fencing,
    manager_tokens,
    shard as shards,
    workers,
)
from sardineproxy.standin import worker_model
from tests.process.shards import samples

HOME = ids.ShardId('zone-h')


def _work_of_1_s(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 1.0)


def submit(epoch: int, **changes: Any) -> messages.Submit:
    """Return a submission of a stored job under an epoch of its home shard."""
    submission: messages.Submit = samples.make_submit(
        stored=True, authority=(HOME, epoch, 0), timeout_s=100.0, **changes
    )
    return submission


def heartbeat(epoch: int) -> messages.Heartbeat:
    """Return a heartbeat of the leader of the home shard."""
    return messages.Heartbeat(
        version=1, shards=((HOME, epoch, 0, 0, True),), pending=()
    )


class TestShardLeader(testtools.TestCase):
    def test_replaced_manager_does_not_take_a_batch_from_its_successor(
        self,
    ) -> None:
        """Guards against accepted jobs that never end (review case 1).

        The batch was assigned to the manager that submitted it last, and the
        valid manager was told that it had been replaced.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            valid, former = samples.FakeLink('vm-1'), samples.FakeLink('vm-2')
            leader.submit(valid, submit(2), rig.clock.now())
            await asyncio.sleep(0.1)
            leader.submit(former, submit(1), rig.clock.now())
            await asyncio.sleep(1.5)
            self.assertEqual({0: 'done'}, valid.results())
            self.assertEqual([outdated(2)], former.sent)

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_replaced_manager_starts_no_completed_task(self) -> None:
        """Guards against second runs of completed tasks (review case 6).

        The leader knows of the takeover from a heartbeat; the job has ended.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            rig.manager_tokens.observe_heartbeat(heartbeat(2))
            former = samples.FakeLink()
            leader.submit(former, submit(1), rig.clock.now())
            await asyncio.sleep(1)
            self.assertEqual([], rig.records())
            self.assertEqual([outdated(2)], former.sent)

        samples.with_rig(scenario)

    def test_deferred_submission_is_checked_when_its_turn_comes(self) -> None:
        """Guards against tasks of cancelled jobs that start (review case 7).

        A new leader defers the submission until its workers have reported.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader: shards.ShardLeader = rig.lead(complete=False)
            former = samples.FakeLink()
            leader.submit(former, submit(1, resumed=True), rig.clock.now())
            await asyncio.sleep(0.1)
            rig.manager_tokens.observe_heartbeat(heartbeat(2))
            rig.list_workers(leader, list(rig.models.values()))
            await asyncio.sleep(1)
            self.assertEqual([], rig.records())
            self.assertEqual([outdated(2)], former.sent)

        samples.with_rig(scenario)

    def test_manager_may_submit_a_batch_over_another_link(self) -> None:
        """Guards against refusals of the valid manager after a lost link."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            first, second = samples.FakeLink(), samples.FakeLink()
            leader.submit(first, submit(2), rig.clock.now())
            leader.submit(second, submit(2), rig.clock.now())
            await asyncio.sleep(1.5)
            self.assertEqual((HOME, 2, 0), first.sent[-1].authority)
            self.assertEqual({0: 'done'}, second.results())

        samples.with_rig(scenario)


class TestManagerTokens(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tokens = manager_tokens.ManagerTokens(metrics=metrics.Metrics())
        self.tokens.observe(HOME, fencing.FencingToken(epoch=2, rank=1))
        self.link: Any = samples.FakeLink()

    def test_all_messages_of_a_replaced_manager_are_refused(self) -> None:
        """Guards against runs that are stopped, or results that are dropped."""
        for message in (
            submit(2),
            messages.Withdraw(
                shard=samples.SHARD,
                job=ids.JobId('j1'),
                authority=(HOME, 2, 0),
            ),
            messages.ResultsStored(
                shard=samples.SHARD,
                job=ids.JobId('j1'),
                step=0,
                runs=((0, 1),),
                authority=(HOME, 1, 3),
            ),
        ):
            self.assertFalse(self.tokens.admits(self.link, message))
        self.assertEqual([outdated(2, 1)] * 3, self.link.sent)

    def test_message_without_a_token_is_admitted(self) -> None:
        """Guards against jobs that are refused during an update."""
        self.assertTrue(
            self.tokens.admits(self.link, samples.make_submit(stored=True))
        )

    def test_higher_token_is_recorded_from_a_message(self) -> None:
        """Guards against a former manager before the first heartbeat."""
        self.assertTrue(self.tokens.admits(self.link, submit(3)))
        self.assertFalse(
            self.tokens.admits(
                self.link,
                messages.Withdraw(
                    shard=samples.SHARD,
                    job=ids.JobId('j2'),
                    authority=(HOME, 2, 5),
                ),
            )
        )

    def test_number_of_shards_is_bounded(self) -> None:
        """Guards against memory that a faulty peer can fill."""
        for number in range(2 * manager_tokens.MAX_SHARDS):
            self.tokens.observe(
                ids.ShardId(f's{number}'),
                fencing.FencingToken(epoch=1, rank=0),
            )
        self.assertEqual(manager_tokens.MAX_SHARDS, len(self.tokens.highest))


def outdated(epoch: int, rank: int = 0) -> messages.OutdatedAuthority:
    return messages.OutdatedAuthority(
        shard=samples.SHARD,
        job=ids.JobId('j1'),
        authority=(HOME, epoch, rank),
    )
