"""Takeovers of a shard whose former leader used workers without an entry."""

import asyncio
from typing import Any

import testtools
from testtools import matchers

from sardineproxy import ids
from sardineproxy.process.shards import fencing, workers
from sardineproxy.standin import worker_calls as faults
from tests.process.shards import samples


def _work_of_1_s(task: Any, run: int) -> Any:
    return samples.typical_work(task, run, 1)


def _work_of_9_s(task: Any, run: int) -> Any:
    return samples.typical_work(task, run, 9)


async def _start_former(rig: samples.Rig, **changes: Any) -> None:
    """Let a former leader start a task on ``w0``."""
    former = rig.lead()
    rig.list_workers(former, [rig.models['w0']])
    await asyncio.sleep(0.01)
    former.submit(
        samples.FakeLink(), samples.make_submit(**changes), rig.clock.now()
    )
    await asyncio.sleep(0.1)
    await former.close()


def _lead_without_w0(rig: samples.Rig) -> Any:
    """Return a new leader whose list lacks ``w0``."""
    model = rig.models.pop('w0')
    leader = rig.lead(epoch=2)
    rig.models['w0'] = model
    return leader


class TestUnlistedWorkers(testtools.TestCase):
    def test_run_on_a_worker_without_an_entry_is_adopted(self) -> None:
        """Guards against review case 15: the task is started elsewhere."""

        async def scenario(rig: samples.Rig) -> None:
            await _start_former(rig, stored=True)
            new = _lead_without_w0(rig)
            new.add_former_workers([rig.models['w0'].worker])
            link = samples.FakeLink()
            new.submit(
                link,
                samples.make_submit(stored=True, resumed=True),
                rig.clock.now(),
            )
            await asyncio.sleep(1.5)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, count=2, work_of=_work_of_1_s)

    def test_silent_worker_without_an_entry_may_still_run_tasks(self) -> None:
        """Guards against a new leader that forgets a worker too early.

        Nothing is known to run on it as long as it has not reported.
        """

        async def scenario(rig: samples.Rig) -> None:
            await _start_former(rig, stored=True)
            silent = faults.FaultyWorkerApi(
                models={},
                clock=rig.clock,
                fault_of=lambda _: faults.CallFault.REFUSED,
            )
            reachable = rig.api.poll

            async def poll(worker: Any, *args: Any, **kwargs: Any) -> Any:
                if worker.worker == 'w0':
                    await asyncio.sleep(kwargs['timeout_s'])
                    return await silent.poll(
                        rig.models['w1'].worker, *args, **kwargs
                    )
                return await reachable(worker, *args, **kwargs)

            silent.models = rig.models
            self.patch(rig.api, 'poll', poll)
            new = _lead_without_w0(rig)
            new.add_former_workers([rig.models['w0'].worker])
            new.submit(
                samples.FakeLink(),
                samples.make_submit(stored=True, resumed=True),
                rig.clock.now(),
            )
            await asyncio.sleep(rig.cfg.former_runs_s - 0.2)
            self.assertEqual(1, len(rig.records()))
            await asyncio.sleep(0.5)
            self.assertEqual(2, len(rig.records()))
            self.assertEqual([], rig.violations())

        samples.with_rig(scenario, count=2, work_of=_work_of_1_s)

    def test_list_that_is_older_than_the_takeover_is_not_complete(self) -> None:
        """Guards against a second run beside one on a new worker.

        The worker registered after the new leader's last read of the list.
        """
        for stored in (True, False):

            async def scenario(rig: samples.Rig) -> None:
                await _start_former(rig, stored=stored)
                rig.is_list_current = False
                rig.listed_at = rig.clock.now() - 1
                new = _lead_without_w0(rig)
                link = samples.FakeLink()
                new.submit(
                    link,
                    samples.make_submit(stored=stored, resumed=True),
                    rig.clock.now(),
                )
                await asyncio.sleep(0.2)
                rig.is_list_current = True
                rig.list_workers(new, list(rig.models.values()))
                await asyncio.sleep(1.5)
                self.assertEqual({0: 'done'}, link.results())
                self.assertEqual(1, len(rig.records()))

            samples.with_rig(scenario, count=2, work_of=_work_of_1_s)

    def test_fence_of_an_unlisted_worker_does_not_end_the_leadership(
        self,
    ) -> None:
        """Guards against a zone that loses its leader with each claim.

        Another zone's leader has ordered the worker, whose entry named that
        zone.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.1)
            rig.list_workers(leader, [])
            rig.models['w0'].poll(
                workers.Poll(
                    fence=fencing.FencingToken(epoch=9, rank=0).fence(0),
                    acked=0,
                    expires_ms=None,
                    wait_s=0,
                ),
                rig.clock.now(),
            )
            await asyncio.sleep(3)
            self.assertEqual([], rig.superseded_shards)
            self.assertFalse(leader.uses(ids.WorkerId('w0')))

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_report_names_the_workers_without_an_entry(self) -> None:
        """Guards against a successor that does not learn of them."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.1)
            report = leader.report_workers(
                7, lambda worker: worker == 'w1', rig.clock.now()
            )
            self.assertEqual(7, report.list_revision)
            self.assertTrue(report.is_complete)
            self.assertEqual(
                [ids.WorkerId('w0')],
                [worker.worker for worker in report.unlisted],
            )

        samples.with_rig(scenario, count=2, work_of=_work_of_1_s)

    def test_leader_in_doubt_reports_that_until_the_runs_have_ended(
        self,
    ) -> None:
        """Guards against a successor that trusts an incomplete report."""

        async def scenario(rig: samples.Rig) -> None:
            leader = rig.lead()
            leader.expect_unlisted_runs()
            await asyncio.sleep(0.1)
            reports = []
            for pause_s in (0.1, rig.cfg.former_runs_s):
                await asyncio.sleep(pause_s)
                reports.append(
                    leader.report_workers(1, lambda _: True, rig.clock.now())
                )
            self.assertEqual(
                [False, True], [report.is_complete for report in reports]
            )

        samples.with_rig(scenario)


class TestFormerRuns(testtools.TestCase):
    """Runs of a former leader that was lost a while ago."""

    def test_runs_that_nobody_resumes_end_with_their_lease(self) -> None:
        """Guards against a run that meets the client's second attempt.

        The new leader finds the run, and no coordinator asks for it.
        """

        async def scenario(rig: samples.Rig) -> None:
            await _start_former(rig)
            lost_at = rig.clock.now()
            await asyncio.sleep(0.8)
            new = rig.lead(epoch=2)
            new.limit_former_runs(lost_at)
            await asyncio.sleep(3)
            ended_at = samples.only_item(rig.records()).ended_at
            self.assertThat(
                ended_at - lost_at,
                matchers.LessThan(rig.cfg.calls.longest_lease_s + 0.05),
            )

        samples.with_rig(scenario, work_of=_work_of_9_s)

    def test_resumed_run_gets_a_whole_lease_at_once(self) -> None:
        """Guards against the loss of a run that was resumed in time."""

        async def scenario(rig: samples.Rig) -> None:
            await _start_former(rig)
            lost_at = rig.clock.now()
            await asyncio.sleep(0.6)
            new = rig.lead(epoch=2)
            new.limit_former_runs(lost_at)
            await asyncio.sleep(0.02)
            new.submit(
                samples.FakeLink(),
                samples.make_submit(
                    resumed=True, estimate_s=9.0, timeout_s=9.0
                ),
                rig.clock.now(),
            )
            await asyncio.sleep(3)
            record = samples.only_item(rig.records())
            self.assertIsNone(record.ended_at)

        samples.with_rig(scenario, work_of=_work_of_9_s)
