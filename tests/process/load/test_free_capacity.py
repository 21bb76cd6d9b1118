"""Free capacity by class: counting, reservation, size of the report."""

import random
import timeit

import hypothesis
import testtools
from hypothesis import strategies

from sardineproxy.connection import messages
from sardineproxy.process.load import free_capacity, free_workers
from sardineproxy.process.membership import capacity_rows
from tests import examples
from tests.process.load import samples
from tests.process.shards import samples as shard_samples

_SIZES = (4_000, 8_000, 14_000, 32_000, 64_000)


def make_workers(seed: int, count: int) -> list[samples.FakeWorker]:
    """Return workers that differ in label, rack, size and speed."""
    rng = random.Random(seed)
    return [
        samples.make_worker(
            f'w{number}',
            millicores=rng.choice(_SIZES) - rng.choice((0, 1_000)),
            speed=rng.choice((0.7, 1.0, 1.7)),
            labels=(rng.choice('abc'), f'rack-{number // 8}'),
        )
        for number in range(count)
    ]


def make_task(**changes: object) -> free_capacity.TaskClass:
    return free_capacity.task_class(samples.make_batch(**changes))


def count_exactly(
    workers: list[samples.FakeWorker], task: free_capacity.TaskClass
) -> int:
    return sum(
        free_capacity.count_fitting(task, worker.ledger.free_capacity)
        for worker in workers
        if not task.label or task.label in worker.worker.labels
    )


def make_pool(
    workers: list[samples.FakeWorker],
) -> free_workers.FreeWorkers:
    pool = free_workers.FreeWorkers()
    for worker in workers:
        pool.refresh(worker, 0)
    return pool


class TestSummary(testtools.TestCase):
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.integers(0, 300),
        strategies.sampled_from(_SIZES),
        strategies.sampled_from(('', 'a', 'rack-0', 'none')),
    )
    @examples.settings()
    def test_report_is_small_and_never_too_high(
        self, seed: int, count: int, millicores: int, label: str
    ) -> None:
        """Guards against review case 8: tasks moved to workers that are not
        suitable, and against heartbeats that grow with the shard."""
        workers = make_workers(seed, count)
        rows = free_capacity.summarize(workers)
        task = make_task(millicores=millicores, requires=label)
        self.assertLessEqual(
            free_capacity.count_startable(rows, task),
            count_exactly(workers, task),
        )
        heartbeat = messages.Heartbeat(
            version=1,
            shards=((shard_samples.SHARD, 1, 0, 0, True),),
            pending=(),
            free_capacity=capacity_rows.encode([rows]),
        )
        frame = messages.CODEC.encode(heartbeat, header=0).unwrap()
        self.assertLess(len(frame), 1024)
        received = messages.CODEC.decode(frame[4:]).unwrap().message
        decoded = capacity_rows.decode(received)[shard_samples.SHARD]
        self.assertEqual(
            free_capacity.count_startable(rows, task),
            free_capacity.count_startable(decoded or (), task),
        )

    def test_idle_equal_workers_are_reported_exactly(self) -> None:
        """Guards against capacity that stays idle because it was rounded."""
        workers = [samples.make_worker(f'w{number}') for number in range(40)]
        for millicores, expected in ((32_000, 40), (14_000, 80), (33_000, 0)):
            task = make_task(millicores=millicores)
            rows = free_capacity.summarize(workers)
            self.assertEqual(
                expected, free_capacity.count_startable(rows, task)
            )

    def test_machine_types_stay_in_the_report_of_a_large_shard(self) -> None:
        """Guards against kinds of workers that no other shard learns of."""
        workers = make_workers(1, 746)
        rows = free_capacity.summarize(workers)
        for label in 'abc':
            task = make_task(requires=label, millicores=4_000)
            self.assertLess(0, free_capacity.count_startable(rows, task))

    def test_shard_that_is_full_differs_from_one_that_accepts_nothing(
        self,
    ) -> None:
        """Guards against tasks sent to a leader that may not start them."""
        heartbeat = messages.Heartbeat(
            version=1,
            shards=(('full', 1, 0, 0, True), ('closed', 1, 0, 0, True)),
            pending=(),
            free_capacity=capacity_rows.encode([(), None]),
        )
        self.assertEqual(
            {'full': (), 'closed': None}, capacity_rows.decode(heartbeat)
        )

    def test_heartbeat_of_an_older_process_reports_nothing(self) -> None:
        """Guards against links that close while versions are mixed."""
        current = messages.Heartbeat(
            version=1, shards=(('a', 1, 0, 7, True),), pending=()
        )
        frame = messages.CODEC.encode(current, header=0).unwrap()[4:]
        # The last byte is the empty list of the added field.
        former = bytes((frame[0] - 1,)) + frame[1:-1]
        received = messages.CODEC.decode(former).unwrap().message
        self.assertEqual({'a': None}, capacity_rows.decode(received))


class TestReservation(testtools.TestCase):
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.integers(1, 30),
        strategies.integers(0, 40),
    )
    @examples.settings()
    def test_reserved_tasks_leave_the_rest(
        self, seed: int, workers: int, taken: int
    ) -> None:
        """Guards against a gap that is filled several times, or lost."""
        rows = free_capacity.summarize(make_workers(seed, workers), 10**6)
        task = make_task(millicores=8_000, requires='a')
        before = free_capacity.count_startable(rows, task)
        taken = min(taken, before)
        left = free_capacity.reserve(rows, task, taken)
        self.assertEqual(
            before - taken, free_capacity.count_startable(left, task)
        )
        self.assertEqual(workers, sum(row.worker_count for row in left))


class TestFreeWorkers(testtools.TestCase):
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.integers(0, 40),
        strategies.sampled_from(('', 'a', 'rack-0')),
    )
    @examples.settings()
    def test_suitable_workers_are_counted(
        self, seed: int, count: int, label: str
    ) -> None:
        """Guards against refusals while suitable workers are free."""
        workers = make_workers(seed, count)
        pool = make_pool(workers)
        for discarded in workers[::3]:
            pool.discard(discarded.worker.worker)
        del workers[::3]
        task = make_task(millicores=8_000, requires=label)
        self.assertEqual(
            count_exactly(workers, task), pool.count_suitable(task)
        )

    def test_count_does_not_look_at_unsuitable_workers(self) -> None:
        """Guards against a cost per job that grows with the shard.

        Compares the time with 256 and with 8 workers, the least of several
        measurements.
        """
        task = make_task(requires='b')
        times_s = []
        for count in (8, 256):
            others = [
                samples.make_worker(f'w{number}') for number in range(count)
            ]
            suitable = samples.make_worker('b', labels=('b',))
            times_s.append(_measure(make_pool([*others, suitable]), task))
        self.assertLess(times_s[1], 2 * times_s[0])


def _measure(
    pool: free_workers.FreeWorkers, task: free_capacity.TaskClass
) -> float:
    return min(
        timeit.repeat(
            lambda: pool.count_suitable(task, 8), number=200, repeat=7
        )
    )
