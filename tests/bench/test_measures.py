"""Workload, ideal response times, message counters and the load driver."""

import asyncio
import dataclasses

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools import matchers

from sardineproxy import clock as clocks
from sardineproxy.bench import driver, ideal, measures, workload
from sardineproxy.demo import tasks

PLAN = workload.Plan(
    name='main',
    seed=7,
    duration_s=20,
    offered_load=100,
    customers={'a': 0.75, 'b': 0.25},
    entry_vms=6,
)
METRICS = """# a comment
sardineproxy_peer_frames_total{kind="View"} 4
sardineproxy_peer_frames_total{kind="Heartbeat"} 6
sardineproxy_endpoint_attempts_total{result="answered"} 11
sardineproxy_platform_calls_total 2
sardineproxy_forwards_total{reply="Gone"} 9
"""


def _make_submission(arrival_s: float, *run_ms: float) -> workload.Submission:
    return workload.Submission(
        arrival_s=arrival_s,
        customer='a',
        entry_index=0,
        tasks=tuple(
            tasks.Task(label='t', run_ms=task_ms) for task_ms in run_ms
        ),
        is_job=len(run_ms) > 1,
    )


class WorkloadTest(testtools.TestCase):
    """Guards against workloads that are not comparable between runs."""

    def test_same_seed_gives_same_submissions(self) -> None:
        submissions = workload.generate(PLAN)
        self.assertThat(workload.generate(PLAN), matchers.Equals(submissions))
        other_submissions = workload.generate(dataclasses.replace(PLAN, seed=8))
        self.assertThat(
            other_submissions, matchers.Not(matchers.Equals(submissions))
        )

    @given(st.integers(0, 1000), st.floats(1, 200))
    def test_offered_load_is_exact(
        self, seed: int, offered_load: float
    ) -> None:
        plan = dataclasses.replace(
            PLAN, seed=seed, offered_load=offered_load, duration_s=2
        )
        submissions = workload.generate(plan)
        rate = (
            sum(submission.run_s for submission in submissions)
            / submissions[-1].arrival_s
        )
        self.assertAlmostEqual(rate / offered_load, 1)
        labels = [
            task.label
            for submission in submissions
            for task in submission.tasks
        ]
        self.assertThat(len(set(labels)), matchers.Equals(len(labels)))


class IdealTest(testtools.TestCase):
    """Guards against an ideal schedule that is too slow.

    The ratios of the benchmark would then look better than they are.
    """

    def test_uses_fastest_slot_and_orders_singles_before_longest_tasks(
        self,
    ) -> None:
        submissions = [
            _make_submission(0, 100, 400),
            _make_submission(0.01, 100),
            _make_submission(9, 100),
        ]
        self.assertThat(
            [
                round(response_s, 6)
                for response_s in ideal.compute_responses(submissions, [2])
            ],
            matchers.Equals([0.3, 0.24, 0.05]),
        )
        self.assertThat(
            [
                round(response_s, 6)
                for response_s in ideal.compute_responses(submissions, [1, 2])
            ],
            matchers.Equals([0.2, 0.19, 0.05]),
        )


class MeasuresTest(testtools.TestCase):
    """Guards against message counts that are left out of the figures."""

    def test_waste_excludes_one_attempt_per_correct_task(self) -> None:
        counters = measures.parse_counters(METRICS)
        self.assertThat(
            measures.waste_by_kind(counters, correct_tasks=10),
            matchers.Equals(
                {
                    'peer_frames.Heartbeat': 0.6,
                    'peer_frames.View': 0.4,
                    'platform_calls': 0.2,
                    'extra_endpoint_attempts': 0.1,
                }
            ),
        )

    def test_finds_missing_families(self) -> None:
        text = METRICS.replace('endpoint_attempts', 'other')
        counters = measures.parse_counters(text)
        self.assertThat(
            measures.find_missing_families(counters),
            matchers.Equals(['sardineproxy_endpoint_attempts_total']),
        )

    def test_percentile_is_nearest_rank(self) -> None:
        values = [4, 1, 3, 2]
        for percent, expected in ((50, 2), (99, 4), (0, 1), (75, 3)):
            actual = measures.percentile(values, percent)
            self.assertThat(actual, matchers.Equals(expected))


class _DelayedSender:
    """Replies only after both submissions were sent, and never to a job."""

    def __init__(self) -> None:
        self.all_sent = asyncio.Event()
        self.sent_count = 0

    async def send(self, submission: workload.Submission) -> str:
        self.sent_count += 1
        if self.sent_count == 2:
            self.all_sent.set()
        await self.all_sent.wait()
        if submission.is_job:
            await asyncio.Event().wait()
        return 'answer'

    def check(
        self, submission: workload.Submission, reply: str
    ) -> driver.Outcome:
        return driver.Outcome(correct_tasks=1)


class DriverTest(testtools.TestCase):
    """Guards against a driver that waits for replies or loses submissions.

    The sender replies to the first submission only after the second was sent,
    so a driver that waits for each reply blocks forever.
    """

    def test_sends_without_waiting_and_counts_unanswered(self) -> None:
        async def run() -> list[driver.Sample]:
            load_driver = driver.Driver(
                clock=clocks.SystemClock(), sender=_DelayedSender()
            )
            submissions = [_make_submission(0, 1), _make_submission(0.01, 1, 1)]
            return await load_driver.run(submissions, drain_timeout_s=0.1)

        samples = asyncio.run(run())
        errors = [sample.outcome.error for sample in samples]
        self.assertThat(errors, matchers.Equals([None, driver.UNANSWERED]))
