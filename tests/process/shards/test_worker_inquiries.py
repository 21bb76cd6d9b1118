"""Inquiries at workers that another process orders."""

import asyncio
from typing import Any

import testtools

from sardineproxy import ids
from sardineproxy.process import metrics
from sardineproxy.process.shards import (
    fencing,
    times,
    worker_inquiries,
    workers,
)
from sardineproxy.standin import worker_model
from tests.process.shards import samples


class Directory:
    """The workers of a rig, which a leader with epoch 1 orders."""

    def __init__(self, rig: samples.Rig) -> None:
        self.rig = rig
        self.token: fencing.FencingToken | None = fencing.FencingToken(
            epoch=1, rank=0
        )
        self.is_complete = True

    def shard_workers(
        self, shard: ids.ShardId
    ) -> worker_inquiries.ShardWorkers:
        return worker_inquiries.ShardWorkers(
            workers=tuple(model.worker for model in self.rig.models.values()),
            is_complete=self.is_complete,
        )

    def leader_token(self, shard: ids.ShardId) -> fencing.FencingToken | None:
        return self.token


def make_inquiries(
    rig: samples.Rig, directory: Directory
) -> worker_inquiries.WorkerInquiries:
    return worker_inquiries.WorkerInquiries(
        api=rig.api,
        directory=directory,
        metrics=metrics.Metrics(),
        cfg=times.CallTiming(),
    )


def _long_work(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 0.2 if 'short' in task else 30)


class TestInquiries(testtools.TestCase):
    def test_runs_and_results_are_found(self) -> None:
        """Guards against a start anew of a task that runs or has ended.

        The leader stores no result, so that the worker goes on listing it.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            for job in ('short', 'long'):
                leader.submit(
                    samples.FakeLink(),
                    samples.make_submit(job, stored=True),
                    rig.clock.now(),
                )
            await asyncio.sleep(1)
            inquiries = make_inquiries(rig, Directory(rig))
            findings, same = await asyncio.gather(
                inquiries.ask(samples.SHARD), inquiries.ask(samples.SHARD)
            )
            self.assertIs(findings, same)
            self.assertTrue(findings.is_complete)
            self.assertEqual({'long.0.0.0'}, set(findings.active))
            self.assertEqual({'short.0.0.0'}, set(findings.finished))

        samples.with_rig(scenario, work_of=_long_work)

    def test_leader_goes_on_after_an_inquiry(self) -> None:
        """Guards against a leader that an inquiry takes for superseded.

        Its fences are above those that the inquiry tries first; the inquiry
        raises them, and the leader raises its own.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            inquiries = make_inquiries(rig, Directory(rig))
            for number in range(6):
                leader.mark_all_unconfirmed('test')
                await asyncio.sleep(0.1)
                link: Any = samples.FakeLink()
                leader.submit(
                    link,
                    samples.make_submit(f'short{number}', slack_s=5.0),
                    rig.clock.now(),
                )
                await inquiries.ask(samples.SHARD)
                await asyncio.sleep(1)
                self.assertEqual({0: 'done'}, link.results())
            self.assertEqual([], rig.superseded_shards)
            self.assertEqual([], rig.violations())

        samples.with_rig(scenario, work_of=_long_work)

    def test_missing_response_is_reported(self) -> None:
        """Guards against taking a silent worker for one without runs."""

        async def scenario(rig: samples.Rig) -> None:
            await rig.lead_and_sync()
            directory = Directory(rig)
            inquiries = make_inquiries(rig, directory)
            directory.is_complete = False
            self.assertFalse((await inquiries.ask(samples.SHARD)).is_complete)
            directory.is_complete = True
            rig.models['w0'].is_up = False
            self.assertFalse((await inquiries.ask(samples.SHARD)).is_complete)
            rig.models['w0'].is_up = True
            self.assertTrue((await inquiries.ask(samples.SHARD)).is_complete)
            directory.token = None
            self.assertFalse((await inquiries.ask(samples.SHARD)).is_complete)

        samples.with_rig(scenario)
