"""Workload, ideal and figures of the load driver."""

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
    offered=100,
    customers={'a': 0.75, 'b': 0.25},
    entries=6,
)
METRICS = """# a comment
sardineproxy_peer_frames_total{kind="View"} 4
sardineproxy_peer_frames_total{kind="Heartbeat"} 6
sardineproxy_endpoint_attempts_total{result="answered"} 11
sardineproxy_platform_calls_total 2
sardineproxy_forwards_total{reply="Gone"} 9
"""


def _submit(arrival: float, *run_ms: float) -> workload.Submission:
    return workload.Submission(
        arrival=arrival,
        customer='a',
        entry=0,
        tasks=tuple(tasks.Task(label='t', run_ms=one) for one in run_ms),
        is_job=len(run_ms) > 1,
    )


class WorkloadTest(testtools.TestCase):
    """Guards against runs that are not comparable."""

    def test_same_seed_gives_same_work(self) -> None:
        work = workload.generate(PLAN)
        self.assertThat(workload.generate(PLAN), matchers.Equals(work))
        other = workload.generate(dataclasses.replace(PLAN, seed=8))
        self.assertThat(other, matchers.Not(matchers.Equals(work)))

    @given(st.integers(0, 1000), st.floats(1, 200))
    def test_offers_the_load_exactly(self, seed: int, offered: float) -> None:
        plan = dataclasses.replace(
            PLAN, seed=seed, offered=offered, duration_s=2
        )
        work = workload.generate(plan)
        rate = sum(one.run_s for one in work) / work[-1].arrival
        self.assertAlmostEqual(rate / offered, 1)
        labels = [task.label for one in work for task in one.tasks]
        self.assertThat(len(set(labels)), matchers.Equals(len(labels)))


class IdealTest(testtools.TestCase):
    """Guards against an ideal that is too slow, and so easy to reach."""

    def test_fastest_slot_singles_first_longest_first(self) -> None:
        work = [_submit(0, 100, 400), _submit(0.01, 100), _submit(9, 100)]
        self.assertThat(
            [round(one, 6) for one in ideal.respond(work, [2])],
            matchers.Equals([0.3, 0.24, 0.05]),
        )
        self.assertThat(
            [round(one, 6) for one in ideal.respond(work, [1, 2])],
            matchers.Equals([0.2, 0.19, 0.05]),
        )


class MeasuresTest(testtools.TestCase):
    """Guards against figures that leave messages out."""

    def test_waste_counts_everything_but_useful_attempts(self) -> None:
        counted = measures.parse_counters(METRICS)
        self.assertThat(
            measures.waste_by_kind(counted, useful=10),
            matchers.Equals(
                {
                    'peer_frames.Heartbeat': 0.6,
                    'peer_frames.View': 0.4,
                    'platform_calls': 0.2,
                    'extra_endpoint_attempts': 0.1,
                }
            ),
        )

    def test_finds_families_that_no_process_reports(self) -> None:
        text = METRICS.replace('endpoint_attempts', 'other')
        counted = measures.parse_counters(text)
        self.assertThat(
            measures.find_absent(counted),
            matchers.Equals(['sardineproxy_endpoint_attempts_total']),
        )

    def test_percentile_is_nearest_rank(self) -> None:
        numbers = [4, 1, 3, 2]
        for percent, expected in ((50, 2), (99, 4), (0, 1), (75, 3)):
            found = measures.percentile(numbers, percent)
            self.assertThat(found, matchers.Equals(expected))


class _StuckSender:
    """Answers nothing before everything was sent."""

    def __init__(self) -> None:
        self.all_sent = asyncio.Event()
        self.sent = 0

    async def send(self, submission: workload.Submission) -> str:
        self.sent += 1
        if self.sent == 2:
            self.all_sent.set()
        await self.all_sent.wait()
        if submission.is_job:
            await asyncio.Event().wait()
        return 'answer'

    def judge(
        self, submission: workload.Submission, answer: str
    ) -> driver.Reply:
        return driver.Reply(useful=1)


class DriverTest(testtools.TestCase):
    """Guards against a driver that waits for answers or drops a request."""

    def test_open_loop_counts_unanswered(self) -> None:
        async def run() -> list[driver.Sample]:
            load = driver.Driver(
                clock=clocks.SystemClock(), sender=_StuckSender()
            )
            work = [_submit(0, 1), _submit(0.01, 1, 1)]
            return await load.drive(work, drain_limit_s=0.1)

        samples = asyncio.run(run())
        faults = [sample.reply.fault for sample in samples]
        self.assertThat(faults, matchers.Equals([None, driver.UNANSWERED]))
