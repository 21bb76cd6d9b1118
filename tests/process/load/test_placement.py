"""Choice of workers, compared with a search through all of them."""

import hypothesis
import testtools
from hypothesis import strategies

from sardineproxy import ids
from sardineproxy.process.load import placement
from tests import examples
from tests.process.load import samples

DISTANCE_FACTOR = 2


def make_pool(*fakes: samples.FakeWorker) -> placement.WorkerPool:
    pool = placement.WorkerPool()
    for fake in fakes:
        pool.refresh(fake, 0)
    pool.update_fastest_speed()
    return pool


def choose(
    pool: placement.WorkerPool, now: float = 0, **changes: object
) -> str | None:
    chosen = pool.choose(
        samples.make_batch(**changes), distance_factor=DISTANCE_FACTOR, now=now
    )
    return None if chosen is None else chosen.worker.worker


class TestChoice(testtools.TestCase):
    def test_partly_used_worker_is_filled_first(self) -> None:
        """Guards against small tasks that leave no room for large ones."""
        used, empty = samples.make_worker('w0'), samples.make_worker('w1')
        used.occupy(samples.make_batch())
        self.assertEqual('w0', choose(make_pool(empty, used)))

    def test_task_waits_for_a_fast_worker_while_that_is_in_time(self) -> None:
        """Guards against a late result on a slow worker that happened to be
        free.

        After the time at which the fast worker would still be on time, any
        worker is used.
        """
        slow = samples.make_worker('w0', speed=0.3)
        fast = samples.make_worker('w1', speed=2.0)
        pool = make_pool(slow, fast)
        fast.occupy(samples.make_batch(millicores=32_000))
        pool.refresh(fast, 0)
        self.assertIsNone(choose(pool))
        self.assertEqual('w0', choose(pool, now=10))

    def test_outdated_entry_is_not_chosen(self) -> None:
        """Guards against an order to a worker that became unusable.

        It has changed since it was indexed.
        """
        gone, usable = samples.make_worker('w0'), samples.make_worker('w1')
        pool = make_pool(gone, usable)
        gone.is_usable = False
        self.assertEqual('w1', choose(pool))

    def test_task_goes_to_the_rack_of_its_data(self) -> None:
        """Guards against ignoring that distant tasks take longer."""
        fakes = [
            samples.make_worker(f'w{number}', labels=(f'r{number}',))
            for number in range(4)
        ]
        self.assertEqual('w2', choose(make_pool(*fakes), rack='r2'))

    def test_constraints_exclude_workers(self) -> None:
        """Guards against a task on a worker of another service or type."""
        pool = make_pool(samples.make_worker())
        self.assertIsNone(choose(pool, requires='b'))
        self.assertIsNone(choose(pool, service=ids.ServiceId('other')))
        self.assertIsNone(choose(pool, memory_mb=10**6))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 48_000), strategies.floats(0.5, 2)
            ),
            max_size=20,
        ),
        strategies.integers(1, 40_000),
    )
    @examples.settings()
    def test_free_capacity_is_found(
        self, free: list[tuple[int, float]], millicores: int
    ) -> None:
        """Guards against a task that waits although a worker has room."""
        fakes = [
            samples.make_worker(f'w{number}', millicores=size, speed=speed)
            for number, (size, speed) in enumerate(free)
        ]
        chosen = choose(make_pool(*fakes), millicores=millicores, slack_s=90.0)
        with_room = [size >= millicores for size, _ in free]
        self.assertEqual(any(with_room), chosen is not None)
        if chosen is not None:
            self.assertTrue(with_room[int(chosen[1:])])


class TestCount(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 64_000), max_size=20),
        strategies.integers(0, 40_000),
        strategies.integers(0, 9),
    )
    @examples.settings()
    def test_startable_tasks_are_counted_up_to_a_limit(
        self, sizes: list[int], millicores: int, limit: int
    ) -> None:
        """Guards against rejections while there is free capacity."""
        pool = make_pool(
            *(
                samples.make_worker(f'w{number}', millicores=size)
                for number, size in enumerate(sizes)
            )
        )
        expected = sum(size // max(1, millicores) for size in sizes)
        self.assertEqual(expected, pool.count_startable(millicores))
        self.assertEqual(
            min(limit, expected), pool.count_startable(millicores, limit)
        )

    def test_removed_worker_is_not_counted(self) -> None:
        """Guards against capacity of workers that have left."""
        pool = make_pool(samples.make_worker())
        pool.discard(ids.WorkerId('w0'))
        self.assertEqual(0, pool.count_startable(1))
        pool.discard(ids.WorkerId('w0'))
