"""Look-ahead placement by the scheduler, replayed on one worker."""

import collections
from typing import Any

import testtools

from sardineproxy.bench import replay_load, replay_shard
from sardineproxy.process.shards import times
from tests.process.shards import samples

SMALL_S = 0.1
JOB = replay_load.Job(
    name='job',
    kind=replay_load.KINDS[0],
    zone=replay_load.ZONES[0],
    arrives_at=0,
    millicores=8_000,
    estimate_s=SMALL_S,
    work_s=(SMALL_S,),
    patience_s=30,
)


class LargeLink:
    """Records when the large task has ended."""

    def __init__(self, shard_clock: Any) -> None:
        self.clock = shard_clock
        self.ended_at: float | None = None

    def send(self, message: Any) -> None:
        self.ended_at = self.clock.now()


def replay(*, lookahead: bool) -> tuple[float | None, dict[str, int]]:
    """Return the end of a large task among small ones, and the counters.

    Small tasks of a lower priority arrive for 3 s, so that three at a time
    fill the worker of 24 cores; the large one needs 20.
    """
    timeline = replay_shard.Timeline()
    shard = replay_shard.ReplayShard(
        zone=replay_load.ZONES[0],
        timeline=timeline,
        jobs_by_name=collections.defaultdict(lambda: JOB),
        cfg=times.ShardTiming(lookahead=lookahead),
        exact=True,
        worker_count=1,
    )
    large = LargeLink(timeline.clock)

    def submit(name: str, millicores: int, priority: int, link: Any) -> None:
        shard.submit(
            samples.make_submit(
                name,
                service='service',
                millicores=millicores,
                priority=priority,
                estimate_s=SMALL_S,
                slack_s=30.0,
                timeout_s=30.0,
                memory_mb=1,
                pinned=True,
            ),
            link,
        )

    def submit_small(number: int) -> None:
        if number:
            submit(f's{number}', 8_000, 1, samples.FakeLink())
            timeline.at(
                timeline.clock.now() + 0.04, lambda: submit_small(number - 1)
            )

    submit_small(75)
    timeline.at(0.5, lambda: submit('large', 20_000, 0, large))
    for tick in range(400):
        timeline.run(0.025 * tick)
        shard.scheduler.check_queue(timeline.clock.now())
    return large.ended_at, shard.metrics.counters()


class TestLookahead(testtools.TestCase):
    def test_large_task_is_not_delayed_by_small_ones(self) -> None:
        """Guards against large tasks that wait until no small one arrives.

        Without look-ahead the large task starts after all small ones.
        """
        without, counters = replay(lookahead=False)
        self.assertNotIn('reservations_total{how="made"}', counters)
        with_it, counters = replay(lookahead=True)
        assert without is not None and with_it is not None
        self.assertGreater(without, 3)
        self.assertLess(with_it, 1)
        self.assertEqual(1, counters['reservations_total{how="used"}'])
