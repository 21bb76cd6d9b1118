"""Queue, placement, hand-over and takeover of a cell."""

import asyncio

import testtools
from testtools import matchers

from sardineproxy import ids
from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_model
from tests.process.shards import samples, faults


def _long(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 1.0)


class TestQueue(testtools.TestCase):
    def test_job_that_cannot_be_in_time_is_declined_unstarted(self) -> None:
        """Guards against work for a job whose client gains nothing."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            now = rig.clock.now()
            first, second = samples.FakeLink(), samples.FakeLink()
            leader.submit(
                first, samples.make_submit('j1', 2, estimate_s=1.0), now
            )
            leader.submit(second, samples.make_submit('j2', 1), now)
            await asyncio.sleep(0.6)
            declined = samples.only(second.declined())
            self.assertEqual((0,), declined.indices)
            self.assertEqual('', declined.suggested_shard)
            self.assertEqual(
                {'j1'}, {record.task[:2] for record in rig.records()}
            )

        samples.with_rig(scenario, work_of=_long)

    def test_tasks_of_a_job_that_has_begun_are_not_declined(self) -> None:
        """Guards against work thrown away for a task that waits a little."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            now = rig.clock.now()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('j1', 2), now)
            leader.submit(
                link,
                samples.make_submit('j2', 1, job_started=True, estimate_s=0.1),
                now,
            )
            await asyncio.sleep(0.6)
            self.assertEqual([], link.declined())
            self.assertThat(rig.records(), matchers.HasLength(3))

        samples.with_rig(scenario)

    def test_task_with_less_time_left_goes_first(self) -> None:
        """Guards against short jobs late behind long ones."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            now = rig.clock.now()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('first', 2), now)
            leader.submit(
                link, samples.make_submit('long', 2, estimate_s=2.0), now
            )
            leader.submit(
                link, samples.make_submit('short', 2, slack_s=0.2), now
            )
            await asyncio.sleep(2)
            started = [record.task[:4] for record in rig.records()]
            self.assertEqual(
                ['firs', 'firs', 'shor', 'shor', 'long', 'long'], started
            )

        samples.with_rig(scenario)

    def test_lower_priority_number_goes_first(self) -> None:
        """Guards against urgent jobs behind a backlog of others."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            now = rig.clock.now()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('first', 2), now)
            leader.submit(
                link, samples.make_submit('later', 2, priority=2), now
            )
            leader.submit(
                link, samples.make_submit('urgent', 2, estimate_s=0.3), now
            )
            await asyncio.sleep(2)
            started = [record.task[:4] for record in rig.records()]
            self.assertEqual(['firs', 'firs', 'urge', 'urge'], started[:4])

        samples.with_rig(scenario)

    def test_tasks_without_free_capacity_go_to_another_shard(self) -> None:
        """Guards against waiting while another cell is idle."""

        async def scenario(rig: samples.Rig) -> None:
            rig.capacities.update(ids.ShardId('zone-b'), 5, rig.clock.now())
            leader = await rig.ready()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('j1', 5), rig.clock.now())
            declined = samples.only(link.declined())
            self.assertEqual('zone-b', declined.suggested_shard)
            self.assertThat(declined.indices, matchers.HasLength(3))

        samples.with_rig(scenario)

    def test_room_that_was_told_long_ago_is_not_used(self) -> None:
        """Guards against tasks sent to an owner that is lost."""

        async def scenario(rig: samples.Rig) -> None:
            rig.capacities.update(ids.ShardId('zone-b'), 5, rig.clock.now())
            leader = await rig.ready()
            await asyncio.sleep(0.6)
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('j1', 5), rig.clock.now())
            self.assertEqual([], link.declined())

        samples.with_rig(scenario)

    def test_firm_tasks_stay(self) -> None:
        """Guards against tasks that are sent to and fro between cells."""

        async def scenario(rig: samples.Rig) -> None:
            rig.capacities.update(ids.ShardId('zone-b'), 5, rig.clock.now())
            leader = await rig.ready()
            link = samples.FakeLink()
            leader.submit(
                link, samples.make_submit('j1', 5, pinned=True), rig.clock.now()
            )
            self.assertEqual([], link.declined())

        samples.with_rig(scenario)

    def test_required_label_is_kept(self) -> None:
        """Guards against starts on workers of another kind."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(requires='b'),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            self.assertEqual([], rig.records())

        samples.with_rig(scenario)

    def test_failed_run_is_told(self) -> None:
        """Guards against jobs that never fail."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(1)
            self.assertEqual({0: 'failed'}, link.results())

        samples.with_rig(
            scenario,
            work_of=lambda task, run: worker_model.Work(
                resources=samples.typical_work(task, run).resources,
                work_s=0.1,
                result=workers.RunResult.FAILED,
            ),
        )

    def test_done_tasks_of_a_job_sent_again_are_not_repeated(self) -> None:
        """Guards against a second original after an answer was lost."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(count=2),
                rig.clock.now(),
            )
            await asyncio.sleep(4)
            again = samples.FakeLink('vm-2')
            leader.submit(again, samples.make_submit(count=2), rig.clock.now())
            self.assertEqual({0: 'done', 1: 'done'}, again.results())
            await asyncio.sleep(1)
            self.assertThat(rig.records(), matchers.HasLength(2))

        samples.with_rig(scenario)

    def test_task_done_after_its_job_was_dropped_is_not_repeated(self) -> None:
        """Guards against a second run of what ended as it was stopped."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.2006)
            leader.withdraw(link, ids.JobId('j1'))
            await asyncio.sleep(1.3)
            again = samples.FakeLink('vm-2')
            leader.submit(again, samples.make_submit(), rig.clock.now())
            self.assertEqual({0: 'done'}, again.results())

        samples.with_rig(scenario)

    def test_ends_are_forgotten_after_a_while(self) -> None:
        """Guards against memory that grows with each task."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            for at in range(3):
                leader.submit(
                    samples.FakeLink(),
                    samples.make_submit(f'j{at}'),
                    rig.clock.now(),
                )
                await asyncio.sleep(6)
            again = samples.FakeLink()
            leader.submit(again, samples.make_submit('j0'), rig.clock.now())
            self.assertEqual({}, again.results())

        samples.with_rig(scenario)

    def test_new_leader_waits_for_the_list_of_workers(self) -> None:
        """Guards against starts on workers that have said that they leave.

        In a sweep of 30 VMs a VM that read the list every 15 s won a cell, and
        started a task on a worker that had been draining for 3 s.
        """

        async def scenario(rig: samples.Rig) -> None:
            rig.list_is_new = False
            leader = await rig.ready()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.3)
            self.assertEqual([], rig.records())
            rig.list_is_new = True
            await asyncio.sleep(0.3)
            self.assertEqual({0: 'done'}, link.results())

        samples.with_rig(scenario)

    def test_new_leader_works_without_the_store(self) -> None:
        """Guards against a zone without work while the store is silent."""

        async def scenario(rig: samples.Rig) -> None:
            rig.list_is_new = False
            leader = await rig.ready()
            link = samples.FakeLink()
            submit = samples.make_submit(estimate_s=0.5)
            leader.submit(link, submit, rig.clock.now())
            await asyncio.sleep(1)
            self.assertEqual({0: 'done'}, link.results())

        samples.with_rig(scenario)

    def test_worker_that_left_is_not_asked_for_ever(self) -> None:
        """Guards against looks at workers that are gone, which are priced."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            rig.models['w0'].crash(rig.clock.now())
            rig.list_workers(leader, [])
            await asyncio.sleep(3)
            before = len(rig.api.calls)
            await asyncio.sleep(10)
            self.assertEqual(before, len(rig.api.calls))
            self.assertEqual([], leader.state(rig.clock.now())['workers'])

        samples.with_rig(scenario)

    def test_returning_worker_knows_the_same_leader(self) -> None:
        """Guards against a lower fence after a worker was away."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            for _ in range(3):
                rig.list_workers(leader, [])
                await asyncio.sleep(3)
                rig.list_workers(leader, list(rig.models.values()))
                await asyncio.sleep(1)
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(1)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual([], rig.superseded_shards)

        samples.with_rig(scenario)

    def test_lost_coordinator_s_runs_are_stopped(self) -> None:
        """Guards against work for a client whose VM is gone."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.1)
            leader.link_lost(link, rig.clock.now())
            await asyncio.sleep(0.6)
            record = samples.only(rig.records())
            self.assertEqual(workers.RunResult.STOPPED, record.result)

        samples.with_rig(scenario, work_of=_long)

    def test_coordinator_back_in_time_keeps_its_runs(self) -> None:
        """Guards against repeated work after a reset of a link."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            link, again = samples.FakeLink(), samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.1)
            leader.link_lost(link, rig.clock.now())
            await asyncio.sleep(0.1)
            leader.submit(
                again, samples.make_submit(resumed=True), rig.clock.now()
            )
            await asyncio.sleep(1.5)
            self.assertEqual({0: 'done'}, again.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, work_of=_long)


class TestTakeover(testtools.TestCase):
    def test_new_leader_takes_over_what_runs(self) -> None:
        """Guards against lost work when an owner dies."""

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.ready()
            old.submit(
                samples.FakeLink(),
                samples.make_submit('j1', 2),
                rig.clock.now(),
            )
            await asyncio.sleep(0.2)
            await old.close()
            new, link = await rig.ready(epoch=2), samples.FakeLink()
            new.submit(
                link,
                samples.make_submit('j1', 2, resumed=True),
                rig.clock.now(),
            )
            await asyncio.sleep(1.5)
            self.assertEqual({0: 'done', 1: 'done'}, link.results())
            self.assertEqual(2, len(rig.records()))

        samples.with_rig(scenario, work_of=_long)

    def test_old_leader_is_fenced(self) -> None:
        """Guards against two owners that order on one worker."""

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.ready()
            await rig.ready(epoch=2)
            old.submit(
                samples.FakeLink(),
                samples.make_submit('j1', 2),
                rig.clock.now(),
            )
            await asyncio.sleep(0.5)
            self.assertIn(old, rig.superseded_shards)
            self.assertEqual([], rig.records())

        samples.with_rig(scenario)

    def test_run_on_an_unknown_worker_is_not_started_again(self) -> None:
        """Guards the bug by which an incomplete list hid running tasks."""

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.ready()
            old.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.1)
            await old.close()
            hidden = rig.models.pop('w0')
            new = await rig.ready(epoch=2, complete=False)
            link = samples.FakeLink()
            new.submit(link, samples.make_submit(resumed=True), rig.clock.now())
            await asyncio.sleep(1.0)
            rig.models['w0'] = hidden
            self.assertEqual({0: 'late'}, link.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, count=2, work_of=_long)

    def test_resumed_task_waits_for_a_worker_that_does_not_report(self) -> None:
        """Guards against a second run beside one on a worker cut off."""

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.ready()
            old.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.1)
            await old.close()
            api = faults.FaultyWorkerApi(
                models=rig.models,
                clock=rig.clock,
                fault_of=lambda _: faults.CallFault.REQUEST_LOST,
            )
            new, link = rig.lead(epoch=2, api=api), samples.FakeLink()
            new.submit(link, samples.make_submit(resumed=True), rig.clock.now())
            await asyncio.sleep(0.4)
            self.assertEqual({0: 'late'}, link.results())

        samples.with_rig(scenario, work_of=_long)

    def test_runs_that_nobody_resumes_are_stopped(self) -> None:
        """Guards against room that is lost to runs of a dead coordinator."""

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.ready()
            old.submit(
                samples.FakeLink(),
                samples.make_submit('j1', 2),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            await old.close()
            await rig.ready(epoch=2)
            await asyncio.sleep(0.8)
            self.assertEqual(
                {workers.RunResult.STOPPED},
                {record.result for record in rig.records()},
            )

        samples.with_rig(
            scenario,
            work_of=lambda task, run: samples.typical_work(task, run, 5),
        )

    def test_same_job_from_another_vm_replaces_the_first(self) -> None:
        """Guards against two runs when a client sends a job again."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            first, second = samples.FakeLink('vm-1'), samples.FakeLink('vm-2')
            leader.submit(first, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.1)
            leader.submit(second, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(1.5)
            self.assertEqual({0: 'replaced'}, first.results())
            self.assertEqual({0: 'done'}, second.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, work_of=_long)

    def test_task_waits_for_the_end_of_its_withdrawn_run(self) -> None:
        """Guards against two runs of a job that is withdrawn and sent again."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.ready()
            link = samples.FakeLink()
            submit = samples.make_submit()
            leader.submit(link, submit, rig.clock.now())
            await asyncio.sleep(0.1)
            stops = [faults.CallFault.REQUEST_LOST]
            rig.api.fault_of = lambda kind: (
                stops.pop()
                if kind == 'stop' and stops
                else faults.CallFault.DONE
            )
            leader.withdraw(link, submit.job)
            leader.submit(link, submit, rig.clock.now())
            await asyncio.sleep(2)
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual([], rig.complaints())
            self.assertEqual(2, len(rig.records()))

        samples.with_rig(scenario, count=2, work_of=_long)
