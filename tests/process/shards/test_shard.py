"""Queue, placement, list of workers and takeover of a shard."""

import asyncio

import testtools
from testtools import matchers

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.process.shards import fencing, workers
from sardineproxy.process.shards import shard as shards
from sardineproxy.standin import worker_model
from sardineproxy.standin import worker_calls as faults
from tests.process.shards import samples


def _work_of_1_s(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 1.0)


def _long_work(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 60 if 'long' in task else 0.2)


def _crashed(rig: samples.Rig) -> worker_model.WorkerModel:
    """Return a worker that does not respond."""
    model = worker_model.WorkerModel(
        worker=rig.models['w0'].worker, work_of=_long_work
    )
    model.is_up = False
    return model


async def _run_on(
    rig: samples.Rig, model: worker_model.WorkerModel, task: str
) -> worker_model.RunRecord:
    """Run a task on a worker for a former leader."""
    order = workers.Order(
        task=workers.TaskName(task),
        run=1,
        payload='',
        fence=fencing.FencingToken(epoch=1, rank=0).fence(0),
        expires_ms=model.clock_ms(rig.clock.now()) + 1000,
    )
    model.start(order, rig.clock.now())
    await asyncio.sleep(0.5)
    return samples.only_item(rig.records())


async def _extend_lease(
    rig: samples.Rig, model: worker_model.WorkerModel, length_s: float
) -> None:
    """Extend the lease of a worker for a former leader."""
    until = rig.clock.now() + length_s
    while rig.clock.now() < until:
        now = rig.clock.now()
        model.poll(
            workers.Poll(
                fence=fencing.FencingToken(epoch=1, rank=0).fence(0),
                acked=0,
                expires_ms=model.clock_ms(now) + 1000,
                wait_s=0,
            ),
            now,
        )
        await asyncio.sleep(0.1)


def _fill(rig: samples.Rig, leader: shards.ShardLeader) -> None:
    """Occupy all workers."""
    leader.submit(
        samples.FakeLink(),
        samples.make_submit('long', 4, timeout_s=60.0, slack_s=60.0),
        rig.clock.now(),
    )


async def _acknowledge(
    leader: shards.ShardLeader, job: ids.JobId, *, after_lapse: bool = False
) -> None:
    """Let a job manager acknowledge the first run of a job's only task."""
    await asyncio.sleep(0.5)
    leader.acknowledge_results(
        messages.ResultsStored(
            shard=samples.SHARD,
            job=job,
            step=0,
            runs=((0, 1),),
            after_lapse=after_lapse,
        )
    )
    await asyncio.sleep(0.4)


class TestQueue(testtools.TestCase):
    def test_job_that_cannot_be_on_time_is_declined_unstarted(self) -> None:
        """Guards against running a job whose result comes too late to be used."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            now = rig.clock.now()
            first, second = samples.FakeLink(), samples.FakeLink()
            leader.submit(
                first, samples.make_submit('j1', 2, estimate_s=1.0), now
            )
            leader.submit(second, samples.make_submit('j2', 1), now)
            await asyncio.sleep(0.6)
            declined = samples.only_item(second.declined())
            self.assertEqual((0,), declined.indices)
            self.assertEqual('', declined.suggested_shard)
            self.assertEqual(
                {'j1'}, {record.task[:2] for record in rig.records()}
            )

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_tasks_of_a_started_job_are_not_declined(self) -> None:
        """Guards against wasting the other tasks of a job for one late task."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
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

    def test_task_with_less_remaining_time_is_started_first(self) -> None:
        """Guards against short jobs that are late after long ones."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
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

    def test_lower_priority_number_is_started_first(self) -> None:
        """Guards against urgent jobs that wait for a backlog of other jobs."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
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
        """Guards against tasks that wait while another shard is idle."""

        async def scenario(rig: samples.Rig) -> None:
            rig.report_capacity('zone-b', 5)
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('j1', 5), rig.clock.now())
            declined = samples.only_item(link.declined())
            self.assertEqual('zone-b', declined.suggested_shard)
            self.assertThat(declined.indices, matchers.HasLength(3))

        samples.with_rig(scenario)

    def test_outdated_capacity_report_is_not_used(self) -> None:
        """Guards against tasks sent to a leader that has stopped reporting."""

        async def scenario(rig: samples.Rig) -> None:
            rig.report_capacity('zone-b', 5)
            leader = await rig.lead_and_sync()
            await asyncio.sleep(0.6)
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('j1', 5), rig.clock.now())
            self.assertEqual([], link.declined())

        samples.with_rig(scenario)

    def test_pinned_tasks_are_not_declined(self) -> None:
        """Guards against tasks that are sent back and forth between shards."""

        async def scenario(rig: samples.Rig) -> None:
            rig.report_capacity('zone-b', 5)
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link, samples.make_submit('j1', 5, pinned=True), rig.clock.now()
            )
            self.assertEqual([], link.declined())

        samples.with_rig(scenario)

    def test_task_is_not_started_without_its_required_label(self) -> None:
        """Guards against starts on workers of another machine type."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(requires='b'),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            self.assertEqual([], rig.records())

        samples.with_rig(scenario)

    def test_failed_run_is_reported(self) -> None:
        """Guards against failures that never reach the coordinator."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
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

    def test_done_tasks_of_a_resubmitted_job_are_not_repeated(self) -> None:
        """Guards against second runs after the reply to a client was lost."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(count=2),
                rig.clock.now(),
            )
            await asyncio.sleep(4)
            new_link = samples.FakeLink('vm-2')
            leader.submit(
                new_link, samples.make_submit(count=2), rig.clock.now()
            )
            self.assertEqual({0: 'done', 1: 'done'}, new_link.results())
            await asyncio.sleep(1)
            self.assertThat(rig.records(), matchers.HasLength(2))

        samples.with_rig(scenario)

    def test_task_done_after_its_job_was_dropped_is_not_repeated(self) -> None:
        """Guards against a second run of a task that completed when stopped.

        The job is withdrawn 0.1 ms after its task has completed, before the
        leader has received the result.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.2006)
            leader.withdraw(link, ids.JobId('j1'))
            await asyncio.sleep(1.3)
            new_link = samples.FakeLink('vm-2')
            leader.submit(new_link, samples.make_submit(), rig.clock.now())
            self.assertEqual({0: 'done'}, new_link.results())

        samples.with_rig(scenario)

    def test_refused_repeat_of_a_job_is_declined_with_its_runs(self) -> None:
        """Guards against "not run" for a job that another VM has run.

        Its run was stopped when that VM was lost, and the client submits the
        job again through a VM that knows of no run. Jobs that were only given
        to another shard count, too, but not for the VM that moved them.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            former, new = samples.FakeLink(), samples.FakeLink('vm-2')
            leader.submit(former, samples.make_submit('j1', 2), rig.clock.now())
            rig.report_capacity('zone-b', 2)
            leader.submit(former, samples.make_submit('j2', 2), rig.clock.now())
            await asyncio.sleep(0.05)
            leader.link_lost(former, rig.clock.now())
            await asyncio.sleep(1.3)
            leader.submit(
                samples.FakeLink('vm-3'),
                samples.make_submit('other', 2, timeout_s=9.0, slack_s=8.0),
                rig.clock.now(),
            )
            for source, job, ran_before in (
                (former, 'j2', False),
                (new, 'j1', True),
                (new, 'j2', True),
                (new, 'j3', False),
            ):
                source.sent.clear()
                leader.submit(
                    source,
                    samples.make_submit(job, estimate_s=0.05, slack_s=0.01),
                    rig.clock.now(),
                )
                await asyncio.sleep(0.01)
                declined = samples.only_item(source.declined())
                self.assertIs(ran_before, declined.ran_before, job)

        samples.with_rig(
            scenario,
            work_of=lambda task, run: samples.typical_work(task, run, 60),
        )

    def test_recent_results_expire(self) -> None:
        """Guards against memory use that grows with each task."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            for number in range(3):
                leader.submit(
                    samples.FakeLink(),
                    samples.make_submit(f'j{number}'),
                    rig.clock.now(),
                )
                await asyncio.sleep(6)
            new_link = samples.FakeLink()
            leader.submit(new_link, samples.make_submit('j0'), rig.clock.now())
            self.assertEqual({}, new_link.results())

        samples.with_rig(scenario)

    def test_new_leader_waits_for_the_list_of_workers(self) -> None:
        """Guards against starts on workers that are already draining.

        In a test with 30 VMs, a VM that read the list every 15 s became
        leader, and started a task on a worker that had drained for 3 s.
        """

        async def scenario(rig: samples.Rig) -> None:
            rig.is_list_current = False
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.3)
            self.assertEqual([], rig.records())
            rig.is_list_current = True
            await asyncio.sleep(0.3)
            self.assertEqual({0: 'done'}, link.results())

        samples.with_rig(scenario)

    def test_new_leader_starts_tasks_without_a_new_worker_list(self) -> None:
        """Guards against an idle shard while the store does not respond.

        No newer list arrives. The leader waits no longer than 0.7 s for it if
        the former one is recent, and not at all if the store is down.
        """

        async def scenario(rig: samples.Rig) -> None:
            rig.is_list_current = False
            rig.is_list_available = is_available
            rig.listed_at = rig.clock.now() - age_s
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            submit = samples.make_submit(estimate_s=0.5)
            leader.submit(link, submit, rig.clock.now())
            await asyncio.sleep(wait_s + 0.3)
            self.assertEqual({0: 'done'}, link.results())

        for is_available, age_s, wait_s in ((True, 0.5, 0.7), (False, 60, 0)):
            samples.with_rig(scenario)

    def test_old_list_is_not_used_while_the_store_can_be_read(self) -> None:
        """Guards against starts on workers that have drained for seconds.

        The new leader's reads fail for longer than it waits for a new list,
        for example as the store refuses them because of their rate.
        """

        async def scenario(rig: samples.Rig) -> None:
            rig.is_list_current = False
            rig.listed_at = rig.clock.now() - 2.5
            leader = await rig.lead_and_sync()
            submit = samples.make_submit(stored=True)
            leader.submit(samples.FakeLink(), submit, rig.clock.now())
            await asyncio.sleep(3)
            self.assertEqual(0, rig.count_starts())
            rig.listed_at = rig.clock.now()
            await asyncio.sleep(0.1)
            self.assertEqual(1, rig.count_starts())

        samples.with_rig(scenario)

    def test_leader_starts_nothing_with_a_list_that_became_old(self) -> None:
        """Guards against the same at a leader whose reads begin to fail."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            await asyncio.sleep(1)
            rig.is_list_current = False
            rig.listed_at = rig.clock.now()
            await asyncio.sleep(2)
            submit = samples.make_submit(stored=True)
            leader.submit(samples.FakeLink(), submit, rig.clock.now())
            await asyncio.sleep(1)
            self.assertEqual(0, rig.count_starts())

        samples.with_rig(scenario)

    def test_removed_worker_is_not_polled_forever(self) -> None:
        """Guards against polls of removed workers, each of which has a cost."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            rig.models['w0'].crash(rig.clock.now())
            rig.list_workers(leader, [])
            await asyncio.sleep(3)
            before = len(rig.api.calls)
            await asyncio.sleep(10)
            self.assertEqual(before, len(rig.api.calls))
            self.assertEqual([], leader.state(rig.clock.now())['workers'])

        samples.with_rig(scenario)

    def test_relisted_worker_accepts_orders_of_the_same_leader(self) -> None:
        """Guards against fences that restart when a worker is listed again.

        The worker has seen higher fences of the same leader and would refuse
        the lower ones.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
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

    def test_runs_of_a_lost_coordinator_are_stopped(self) -> None:
        """Guards against work for a client whose entry VM has failed."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.1)
            leader.link_lost(link, rig.clock.now())
            await asyncio.sleep(0.6)
            record = samples.only_item(rig.records())
            self.assertEqual(workers.RunResult.STOPPED, record.result)

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_runs_end_with_the_wait_of_their_client(self) -> None:
        """Guards against a task that runs twice at the same time.

        The client sends its job again 1.3 s after the end of its wait. The
        coordinator has frozen, and its link counts as open: a leader that is
        itself late does not close it.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link, samples.make_submit(timeout_s=0.4), rig.clock.now()
            )
            await asyncio.sleep(0.3)
            self.assertIsNone(samples.only_item(rig.records()).result)
            await asyncio.sleep(0.3)
            record = samples.only_item(rig.records())
            self.assertEqual(workers.RunResult.STOPPED, record.result)
            self.assertEqual({0: 'late'}, link.results())

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_job_sent_again_runs_until_the_end_of_the_later_wait(self) -> None:
        """Guards against stopping a run that another client request awaits."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link, later_link = samples.FakeLink(), samples.FakeLink('vm-2')
            leader.submit(
                link, samples.make_submit(timeout_s=0.4), rig.clock.now()
            )
            await asyncio.sleep(0.3)
            leader.submit(
                later_link, samples.make_submit(timeout_s=2.0), rig.clock.now()
            )
            await asyncio.sleep(1.2)
            self.assertEqual({0: 'done'}, later_link.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_stored_job_runs_after_the_deadline(self) -> None:
        """Guards against stopping work for which nobody waits on purpose."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(
                link,
                samples.make_submit(timeout_s=0.4, stored=True),
                rig.clock.now(),
            )
            await asyncio.sleep(1.5)
            self.assertEqual({0: 'done'}, link.results())

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_reconnected_coordinator_keeps_its_runs(self) -> None:
        """Guards against repeated work after a connection reset."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link, new_link = samples.FakeLink(), samples.FakeLink()
            leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.1)
            leader.link_lost(link, rig.clock.now())
            await asyncio.sleep(0.1)
            leader.submit(
                new_link, samples.make_submit(resumed=True), rig.clock.now()
            )
            await asyncio.sleep(1.5)
            self.assertEqual({0: 'done'}, new_link.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, work_of=_work_of_1_s)


class TestTakeover(testtools.TestCase):
    def test_new_leader_adopts_active_runs(self) -> None:
        """Guards against lost work when a leader fails."""

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.lead_and_sync()
            old.submit(
                samples.FakeLink(),
                samples.make_submit('j1', 2),
                rig.clock.now(),
            )
            await asyncio.sleep(0.2)
            await old.close()
            new, link = await rig.lead_and_sync(epoch=2), samples.FakeLink()
            new.submit(
                link,
                samples.make_submit('j1', 2, resumed=True),
                rig.clock.now(),
            )
            await asyncio.sleep(1.5)
            self.assertEqual({0: 'done', 1: 'done'}, link.results())
            self.assertEqual(2, len(rig.records()))

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_resumed_task_of_a_known_batch_is_adopted(self) -> None:
        """Guards against a second run after a retry and a change of leader.

        The coordinator submits a failed task to the new leader before it
        resumes the other task of the step, which still runs.
        """

        async def scenario(rig: samples.Rig) -> None:
            link = samples.FakeLink()
            old_leader = await rig.lead_and_sync()
            old_leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.1)
            rig.superseded_shards.append(old_leader)
            old_leader.step_down()
            new_leader = await rig.lead_and_sync(epoch=2)
            new_leader.submit(
                link, samples.make_submit(tasks=((1, 2),)), rig.clock.now()
            )
            new_leader.submit(
                link, samples.make_submit(resumed=True), rig.clock.now()
            )
            await asyncio.sleep(2.5)
            self.assertEqual([], rig.violations())
            self.assertEqual({0: 'done', 1: 'done'}, link.results())
            self.assertEqual(2, len(rig.records()))

        samples.with_rig(scenario, work_of=_work_of_1_s, count=2)

    def test_unconfirmed_result_is_sent_to_the_manager_again(self) -> None:
        """Guards against a result that a replaced job manager did not store."""

        async def scenario(rig: samples.Rig) -> None:
            old_leader = await rig.lead_and_sync()
            old_leader.submit(
                samples.FakeLink(),
                samples.make_submit(stored=True),
                rig.clock.now(),
            )
            await asyncio.sleep(0.3)
            rig.superseded_shards.append(old_leader)
            await old_leader.close()
            manager_link = samples.FakeLink()
            rig.manager_link = lambda _: manager_link  # type: ignore[method-assign]
            await rig.lead_and_sync(epoch=2)
            await asyncio.sleep(rig.cfg.adopt_s + 0.5)
            self.assertEqual(1, len(manager_link.sent))
            await asyncio.sleep(rig.cfg.result_claim_s)
            self.assertEqual(2, len(manager_link.sent))

        samples.with_rig(scenario)

    def test_task_submitted_anew_is_adopted(self) -> None:
        """Guards against a second run if a client retries during a takeover.

        The VM that coordinates the second attempt does not know of the first.
        """

        async def scenario(rig: samples.Rig) -> None:
            old_leader = await rig.lead_and_sync()
            old_leader.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.1)
            rig.superseded_shards.append(old_leader)
            old_leader.step_down()
            new_leader = await rig.lead_and_sync(epoch=2)
            link = samples.FakeLink('vm-2')
            new_leader.submit(link, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(2.5)
            self.assertEqual([], rig.violations())
            self.assertEqual({0: 'done'}, link.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, work_of=_work_of_1_s, count=2)

    def test_old_leader_is_fenced(self) -> None:
        """Guards against starts by a leader that missed the takeover."""

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.lead_and_sync()
            await rig.lead_and_sync(epoch=2)
            old.submit(
                samples.FakeLink(),
                samples.make_submit('j1', 2),
                rig.clock.now(),
            )
            await asyncio.sleep(0.5)
            self.assertIn(old, rig.superseded_shards)
            self.assertEqual([], rig.records())

        samples.with_rig(scenario)

    def test_superseded_leader_gives_no_further_orders(self) -> None:
        """Guards against orders of two leaders around a handover.

        A worker refuses the first order of the former leader, which must not
        try the task on the workers that the new leader has not polled yet.
        """

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.lead_and_sync()
            rig.models['w0'].start(
                workers.Order(
                    task=workers.TaskName('other'),
                    run=1,
                    payload='',
                    fence=fencing.FencingToken(epoch=2, rank=0).fence(0),
                    expires_ms=10**6,
                ),
                rig.clock.now(),
            )
            for number in range(3):
                old.submit(
                    samples.FakeLink(),
                    samples.make_submit(f'j{number}', 2, slack_s=9.0),
                    rig.clock.now(),
                )
            await asyncio.sleep(0.005)
            self.assertIn(old, rig.superseded_shards)
            self.assertEqual(6, rig.count_starts())
            await asyncio.sleep(3)
            self.assertEqual(6, rig.count_starts())

        samples.with_rig(scenario, count=4)

    def test_task_on_an_unlisted_worker_is_not_started_again(self) -> None:
        """Guards against a bug by which an incomplete list hid active runs.

        The new leader's list lacks the worker that runs the task.
        """

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.lead_and_sync()
            old.submit(
                samples.FakeLink(), samples.make_submit(), rig.clock.now()
            )
            await asyncio.sleep(0.1)
            await old.close()
            unlisted_model = rig.models.pop('w0')
            new = await rig.lead_and_sync(epoch=2, complete=False)
            link = samples.FakeLink()
            new.submit(link, samples.make_submit(resumed=True), rig.clock.now())
            await asyncio.sleep(1.0)
            rig.models['w0'] = unlisted_model
            self.assertEqual({0: 'late'}, link.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, count=2, work_of=_work_of_1_s)

    def test_task_on_an_unreachable_worker_is_not_started_again(self) -> None:
        """Guards against a second run beside one on an unreachable worker."""

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.lead_and_sync()
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

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_result_after_a_start_in_doubt_waits_for_the_lease(self) -> None:
        """Guards against a success that counts although the task ran again.

        A worker with a result does not respond to the new leader, while the
        former one extends its lease. The new leader starts the task anew, and
        learns of the result later, when the worker runs other tasks for it.
        """

        async def scenario(rig: samples.Rig) -> None:
            w0 = rig.models['w0']
            first = await _run_on(rig, w0, 't.0.0.0')
            api = faults.FaultyWorkerApi(
                models={**rig.models, 'w0': _crashed(rig)}, clock=rig.clock
            )
            new = await rig.lead_and_sync(epoch=2, api=api)
            link = samples.FakeLink()
            submit = samples.make_submit('t', stored=True, resumed=True)
            new.submit(link, submit, rig.clock.now())
            await _extend_lease(rig, w0, 5)
            self.assertEqual({0: 'done'}, link.results())
            rig.manager_link = lambda job: link  # type: ignore[method-assign]
            api.models['w0'] = w0
            await asyncio.sleep(1)
            _fill(rig, new)
            await _acknowledge(new, submit.job)
            self.assertIsNone(first.acked_at)
            await asyncio.sleep(3)
            self.assertIsNotNone(first.acked_at)
            self.assertTrue(first.is_lease_expired)

        samples.with_rig(scenario, count=2, work_of=_long_work)

    def test_result_waits_for_the_lease_if_its_manager_says_so(self) -> None:
        """Guards against the same after a start in another shard."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            submit = samples.make_submit('t', stored=True)
            leader.submit(samples.FakeLink(), submit, rig.clock.now())
            await asyncio.sleep(0.5)
            _fill(rig, leader)
            await _acknowledge(leader, submit.job, after_lapse=True)
            first = rig.records()[0]
            self.assertIsNone(first.acked_at)
            await asyncio.sleep(3)
            self.assertIsNotNone(first.acked_at)
            self.assertTrue(first.is_lease_expired)

        samples.with_rig(scenario, work_of=_long_work)

    def test_stored_tasks_of_a_lost_zone_wait_for_the_leases(self) -> None:
        """Guards against two runs of a task in a partitioned zone.

        The entries of its workers have expired, although they run tasks.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = rig.lead()
            leader.expect_unlisted_runs()
            await asyncio.sleep(0.1)
            leader.submit(
                samples.FakeLink(),
                samples.make_submit(stored=True, resumed=True),
                rig.clock.now(),
            )
            await asyncio.sleep(rig.cfg.former_runs_s - 0.2)
            self.assertEqual([], rig.records())
            await asyncio.sleep(0.5)
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario)

    def test_waiting_tasks_of_a_lost_zone_are_referred_later(self) -> None:
        """Guards against jobs that wait for good in a zone that is gone.

        The other zones have no free capacity when the tasks are submitted.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = rig.lead()
            leader.expect_unlisted_runs()
            link = samples.FakeLink()
            leader.submit(
                link,
                samples.make_submit(stored=True, pinned=True),
                rig.clock.now(),
            )
            await asyncio.sleep(10)
            self.assertEqual([], link.declined())
            rig.report_capacity('zone-b', 1)
            await asyncio.sleep(0.2)
            declined = samples.only_item(link.declined())
            self.assertEqual('zone-b', declined.suggested_shard)

        samples.with_rig(scenario, count=0)

    def test_unresumed_runs_are_stopped(self) -> None:
        """Guards against capacity that a failed coordinator's runs occupy."""

        async def scenario(rig: samples.Rig) -> None:
            old = await rig.lead_and_sync()
            old.submit(
                samples.FakeLink(),
                samples.make_submit('j1', 2),
                rig.clock.now(),
            )
            await asyncio.sleep(0.1)
            await old.close()
            await rig.lead_and_sync(epoch=2)
            await asyncio.sleep(0.8)
            self.assertEqual(
                {workers.RunResult.STOPPED},
                {record.result for record in rig.records()},
            )

        samples.with_rig(
            scenario,
            work_of=lambda task, run: samples.typical_work(task, run, 5),
        )

    def test_job_resubmitted_by_another_vm_is_reattached(self) -> None:
        """Guards against a second run if a client retries through another VM."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            first, second = samples.FakeLink('vm-1'), samples.FakeLink('vm-2')
            leader.submit(first, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(0.1)
            leader.submit(second, samples.make_submit(), rig.clock.now())
            await asyncio.sleep(1.5)
            self.assertEqual({0: 'replaced'}, first.results())
            self.assertEqual({0: 'done'}, second.results())
            self.assertEqual(1, len(rig.records()))

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_resubmitted_task_waits_for_its_withdrawn_run(self) -> None:
        """Guards against two runs at a time if a stop order is lost.

        The job is submitted again while its withdrawn run is still active.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
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
            self.assertEqual([], rig.violations())
            self.assertEqual(2, len(rig.records()))

        samples.with_rig(scenario, count=2, work_of=_work_of_1_s)
