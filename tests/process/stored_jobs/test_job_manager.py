"""Tests of stored jobs at the leader of their shard, and after a takeover."""

import asyncio
from typing import Any, Callable, Coroutine

import testtools

from sardineproxy.connection import messages
from sardineproxy.process import store
from sardineproxy.process.stored_jobs import job_manager, job_table
from tests import virtual_time
from tests.process.shards import samples
from tests.process.stored_jobs import cluster as clusters

_Reply = job_manager.JobReply


def with_cluster(
    scenario: Callable[[clusters.Cluster], Coroutine[Any, Any, None]],
    **settings: Any,
) -> None:
    async def main() -> None:
        cluster = clusters.Cluster(**settings)
        await asyncio.sleep(0.1)
        await scenario(cluster)

    virtual_time.run(main)


class TestJobs(testtools.TestCase):
    def test_accepted_job_is_stored_and_completes(self) -> None:
        """Guards against a job that is acknowledged before it is stored."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 3)
            reply = await cluster.leader.manager.accept(stored_job)
            self.assertEqual(_Reply.ACCEPTED, reply)
            key = f'{job_table.JOB_PREFIX}{stored_job.job.job_id}'
            self.assertIsNotNone(
                cluster.store.rows.get(key, part=samples.SHARD)
            )
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            self.assertEqual(3, len(cluster.rig.records()))
            self.assertEqual([], cluster.violations())

        with_cluster(scenario)

    def test_many_jobs_at_once_are_all_accepted(self) -> None:
        """Guards against commits that exceed the store's limit of entries."""

        async def scenario(cluster: clusters.Cluster) -> None:
            replies = await asyncio.gather(
                *(
                    cluster.leader.manager.accept(clusters.make_job(number, 1))
                    for number in range(120)
                )
            )
            self.assertEqual([_Reply.ACCEPTED] * 120, replies)

        with_cluster(scenario)

    def test_repeated_submission_is_one_job(self) -> None:
        """Guards against second runs when a client submits a job repeatedly."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 1)
            replies = await asyncio.gather(
                *(cluster.leader.manager.accept(stored_job) for _ in range(3))
            )
            self.assertEqual([_Reply.ACCEPTED] * 3, replies)
            await cluster.wait_for_end(stored_job.job.job_id)
            reply = await cluster.leader.manager.accept(stored_job)
            self.assertEqual(_Reply.ACCEPTED, reply)
            await asyncio.sleep(2)
            self.assertEqual(1, len(cluster.rig.records()))

        with_cluster(scenario)

    def test_step_waits_for_earlier_ones(self) -> None:
        """Guards against tasks that start before the step they depend on."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 2, 3, 1)
            await cluster.leader.manager.accept(stored_job)
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            spans: dict[str, list[tuple[float, float]]] = {}
            for record in cluster.rig.records():
                step = record.task.split('.')[2]
                spans.setdefault(step, []).append(
                    (record.started_at, record.ended_at or 0)
                )
            for before, after in (('0', '1'), ('1', '2')):
                last_end = max(end for _, end in spans[before])
                first_start = min(start for start, _ in spans[after])
                self.assertLess(last_end, first_start)

        with_cluster(scenario)

    def test_task_that_fails_too_often_fails_the_job(self) -> None:
        """Guards against more attempts than the route allows."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 1)
            await cluster.leader.manager.accept(stored_job)
            self.assertEqual(
                'failed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            self.assertEqual(clusters.MAX_ATTEMPTS, len(cluster.rig.records()))

        with_cluster(scenario, failing_percent=100)

    def test_cancelled_job_stops_and_starts_no_more(self) -> None:
        """Guards against runs that go on or start after a cancellation."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 30)
            await cluster.leader.manager.accept(stored_job)
            await asyncio.sleep(0.03)
            reply = await cluster.leader.manager.cancel(stored_job.job.job_id)
            self.assertEqual(_Reply.CANCELLED, reply)
            await asyncio.sleep(0.05)
            before = len(cluster.rig.records())
            await asyncio.sleep(2)
            self.assertEqual(before, len(cluster.rig.records()))
            for record in cluster.rig.records():
                self.assertIsNotNone(record.ended_at)

        with_cluster(scenario)

    def test_job_is_refused_while_the_store_is_unavailable(self) -> None:
        """Guards against a job that runs although it was refused.

        The write is still waiting for a commit when the job is refused, and
        must be withdrawn.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 1)
            cluster.store.is_unavailable = True
            reply = await cluster.leader.manager.accept(stored_job)
            self.assertEqual(_Reply.REFUSED, reply)
            cluster.store.is_unavailable = False
            await asyncio.sleep(5)
            self.assertEqual([], cluster.rig.records())
            reply = await cluster.leader.manager.query(stored_job.job.job_id)
            self.assertEqual(_Reply.ABSENT, reply)

        with_cluster(scenario)

    def test_row_that_the_store_rejects_does_not_hold_up_others(self) -> None:
        """Guards against jobs that are refused for good beside a large one.

        The rows of all jobs share commits, of which only a few are sent at a
        time.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            cluster.store.max_row_bytes = 1000
            large = clusters.make_job(0, *([1] * 60))
            replies = await asyncio.gather(
                *(
                    cluster.leader.manager.accept(stored_job)
                    for stored_job in (
                        large,
                        *(clusters.make_job(number, 1) for number in (1, 2)),
                    )
                )
            )
            self.assertEqual(
                [_Reply.REFUSED, _Reply.ACCEPTED, _Reply.ACCEPTED], replies
            )
            cluster.store.max_row_bytes = 65_536
            reply = await cluster.leader.manager.accept(large)
            self.assertEqual(_Reply.ACCEPTED, reply)

        with_cluster(scenario)

    def test_results_are_acknowledged_once_they_are_stored(self) -> None:
        """Guards against acknowledged results that are lost in a crash.

        A worker discards a result once it is acknowledged, so it must be
        stored before.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 4)
            await cluster.leader.manager.accept(stored_job)
            cluster.store.is_unavailable = True
            await asyncio.sleep(3)
            records = cluster.rig.records()
            self.assertEqual(4, len(records))
            self.assertEqual(
                [None] * 4, [record.acked_at for record in records]
            )
            cluster.store.is_unavailable = False
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            await asyncio.sleep(1)
            for record in cluster.rig.records():
                self.assertIsNotNone(record.acked_at)

        with_cluster(scenario)

    def test_states_are_removed_after_their_retention(self) -> None:
        """Guards against a table that grows without bound."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 1)
            await cluster.leader.manager.accept(stored_job)
            await cluster.wait_for_end(stored_job.job.job_id)
            await asyncio.sleep(150)
            reply = await cluster.leader.manager.query(stored_job.job.job_id)
            self.assertEqual(_Reply.ABSENT, reply)
            key = f'{job_table.JOB_PREFIX}{stored_job.job.job_id}'
            self.assertIsNone(cluster.store.rows.get(key, part=samples.SHARD))

        with_cluster(scenario)


class TestTakeover(testtools.TestCase):
    def test_next_leader_continues_the_running_tasks(self) -> None:
        """Guards against accepted jobs that are lost when a leader crashes."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 6)
            await cluster.leader.manager.accept(stored_job)
            await asyncio.sleep(0.15)
            await cluster.replace()
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            self.assertEqual(6, len(cluster.rig.records()))
            self.assertEqual([], cluster.violations())

        with_cluster(scenario)

    def test_next_leader_has_the_states_of_ended_jobs(self) -> None:
        """Guards against final states that are lost when a leader crashes."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 1)
            await cluster.leader.manager.accept(stored_job)
            await cluster.wait_for_end(stored_job.job.job_id)
            await cluster.replace()
            await asyncio.sleep(0.2)
            reply = await cluster.leader.manager.query(stored_job.job.job_id)
            self.assertEqual(_Reply.COMPLETED, reply)

        with_cluster(scenario)

    def test_former_leader_stores_nothing_more(self) -> None:
        """Guards against two leaders that both accept jobs of a shard.

        The former leader learns of the takeover when its first write fails.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            former_leader = cluster.leader
            cluster.take_over()
            await asyncio.sleep(0.2)
            reply = await former_leader.manager.accept(clusters.make_job(1, 1))
            self.assertEqual(_Reply.UNKNOWN, reply)
            reply = await former_leader.manager.accept(clusters.make_job(2, 1))
            self.assertEqual(_Reply.UNAVAILABLE, reply)
            await asyncio.sleep(2)
            self.assertEqual([], cluster.rig.records())

        with_cluster(scenario)

    def test_done_task_is_not_repeated_after_a_crash(self) -> None:
        """Guards against a second run of a task that has completed.

        The former leader received the result, but could not store it before
        the crash. The worker still lists it, as it was not acknowledged.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 4)
            await cluster.leader.manager.accept(stored_job)
            # The leader receives the results but cannot store them.
            cluster.store.is_unavailable = True
            await asyncio.sleep(1.2)
            await cluster.replace()
            await asyncio.sleep(2)
            cluster.store.is_unavailable = False
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            self.assertEqual(4, len(cluster.rig.records()))
            self.assertEqual([], cluster.violations())

        with_cluster(scenario)

    def test_progress_stays_until_the_end_of_the_job_is_stored(self) -> None:
        """Guards against a second run of the tasks of a completed job.

        The progress row must outlive the commit of the final state, else
        the next leader finds an unfinished job without progress.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 4)
            await cluster.leader.manager.accept(stored_job)
            cluster.store.refused_prefix = job_table.JOB_PREFIX
            await asyncio.sleep(3)
            await cluster.replace()
            await asyncio.sleep(1)
            cluster.store.refused_prefix = ''
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            self.assertEqual(4, len(cluster.rig.records()))
            self.assertEqual([], cluster.violations())

        # One row per commit, as when the previous commit was full.
        self.patch(job_table, 'MAX_COMMIT_ROWS', 1)
        with_cluster(scenario)

    def test_failures_count_across_leaders(self) -> None:
        """Guards against failure counts that are lost in a takeover.

        A task would then exceed the attempts that its route allows.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 2)
            await cluster.leader.manager.accept(stored_job)
            for _ in range(3):
                await asyncio.sleep(0.12)
                await cluster.replace()
            self.assertEqual(
                'failed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            self.assertEqual([], cluster.violations())

        with_cluster(scenario, failing_percent=100)

    def test_lost_link_to_the_job_manager_does_not_stop_its_runs(self) -> None:
        """Guards against runs that are stopped because the link closes."""

        async def scenario(cluster: clusters.Cluster) -> None:
            stored_job = clusters.make_job(1, 4)
            await cluster.leader.manager.accept(stored_job)
            await asyncio.sleep(0.1)
            cluster.leader.relink()
            self.assertEqual(
                'completed', await cluster.wait_for_end(stored_job.job.job_id)
            )
            self.assertEqual(4, len(cluster.rig.records()))

        with_cluster(scenario)


class TestOutdatedManager(testtools.TestCase):
    """A manager that has not learned that another process took over."""

    def test_job_stored_by_another_process_is_not_reported_absent(self) -> None:
        """Guards against 410 for an accepted job (review case 4).

        The former manager has no traffic that would show the takeover.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            former_leader = cluster.leader
            cluster.take_over()
            await asyncio.sleep(0.2)
            stored_job = clusters.make_job(1, 1)
            reply = await cluster.leader.manager.accept(stored_job)
            self.assertEqual(_Reply.ACCEPTED, reply)
            reply = await former_leader.manager.query(stored_job.job.job_id)
            self.assertEqual(_Reply.UNAVAILABLE, reply)

        with_cluster(scenario)

    def test_job_is_not_reported_absent_while_the_store_is_down(self) -> None:
        """Guards against 410 without a response of the store."""

        async def scenario(cluster: clusters.Cluster) -> None:
            job = clusters.make_job(1, 1).job.job_id
            cluster.store.is_unavailable = True
            reply = await cluster.leader.manager.query(job)
            self.assertEqual(_Reply.UNAVAILABLE, reply)
            cluster.store.is_unavailable = False
            reply = await cluster.leader.manager.query(job)
            self.assertEqual(_Reply.ABSENT, reply)

        with_cluster(scenario)

    def test_queries_of_unknown_jobs_share_reads_of_the_store(self) -> None:
        """Guards against using up the store's rate limit."""

        async def scenario(cluster: clusters.Cluster) -> None:
            calls_before = cluster.store.calls
            replies = await asyncio.gather(
                *(
                    cluster.leader.manager.query(
                        clusters.make_job(number, 1).job.job_id
                    )
                    for number in range(50)
                )
            )
            self.assertEqual([_Reply.ABSENT] * 50, replies)
            self.assertLessEqual(cluster.store.calls - calls_before, 2)

        with_cluster(scenario)

    def test_result_of_an_unknown_job_is_kept_for_another_process(
        self,
    ) -> None:
        """Guards against a second run of a completed task.

        The worker discards a result that a manager does not need. A manager
        that does not know the job must not decide this if another process has
        stored the job.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            former_leader = cluster.leader
            leader = cluster.take_over()
            await asyncio.sleep(0.2)
            stored_job = clusters.make_job(1, 1)
            await leader.manager.accept(stored_job)
            source = samples.FakeLink()
            former_leader.manager.handle_message(
                source,  # type: ignore[arg-type]
                messages.RunEnded(
                    shard=samples.SHARD,
                    job=stored_job.job.job_id,
                    step=0,
                    index=0,
                    run=1,
                    result='done',
                    stored=True,
                ),
            )
            await asyncio.sleep(3)
            self.assertEqual([], source.sent)

        with_cluster(scenario)

    def test_repeated_result_of_an_unknown_job_is_confirmed_once(self) -> None:
        """Guards against one more waiting task for each repeated result."""

        async def scenario(cluster: clusters.Cluster) -> None:
            source = samples.FakeLink()
            ended = messages.RunEnded(
                shard=samples.SHARD,
                job=clusters.make_job(1, 1).job.job_id,
                step=0,
                index=0,
                run=1,
                result='done',
                stored=True,
            )
            cluster.store.is_unavailable = True
            for _ in range(5):
                cluster.leader.manager.handle_message(
                    source,  # type: ignore[arg-type]
                    ended,
                )
                await asyncio.sleep(1)
            self.assertEqual([], source.sent)
            cluster.store.is_unavailable = False
            await asyncio.sleep(3)
            self.assertEqual(1, len(source.sent))

        with_cluster(scenario)

    def test_job_with_a_malformed_row_is_not_reported_absent(self) -> None:
        """Guards against 410 for a job whose row cannot be read.

        Another version of the program may have written the row.
        """

        async def scenario(cluster: clusters.Cluster) -> None:
            job = clusters.make_job(1, 1).job.job_id
            cluster.store.rows.transact(
                conditions=(),
                writes=(
                    store.Write(
                        key=f'{job_table.JOB_PREFIX}{job}',
                        part=samples.SHARD,
                        body=b'odd',
                    ),
                ),
            )
            leader = await cluster.replace()
            await asyncio.sleep(0.2)
            self.assertEqual(
                _Reply.UNAVAILABLE, await leader.manager.query(job)
            )
            reply = await leader.manager.accept(clusters.make_job(1, 1))
            self.assertEqual(_Reply.UNAVAILABLE, reply)

        with_cluster(scenario)
