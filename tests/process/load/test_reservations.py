"""Reservations and backfilling."""

import testtools

from sardineproxy import ids
from sardineproxy.process.load import reservations, run_times
from sardineproxy.process.shards import runs
from tests.process.load import samples

LIMITS = reservations.Limits(max_share=0.5, max_wait_s=1, tolerance=0.5)
LARGE = 24_000


class World:
    """Two workers of 32 cores, each with a run of 16 cores."""

    def __init__(self) -> None:
        self.held = reservations.Reservations(
            times=run_times.RunTimes(), limits=LIMITS
        )
        self.workers = {
            ids.WorkerId(name): samples.make_worker(name)
            for name in ('w0', 'w1')
        }
        self.active: list[runs.Run] = []

    def occupy(self, name: str, ends_at: float) -> runs.Run:
        batch = samples.make_batch(
            f'on-{name}', millicores=16_000, estimate_s=ends_at
        )
        run = samples.make_run(batch)
        run.worker = ids.WorkerId(name)
        self.workers[run.worker].ledger.add(run)
        self.active.append(run)
        return run

    def reserve(
        self, batch: runs.Batch, now: float = 0
    ) -> reservations.Reservation | None:
        return self.held.make(batch, self.active, self.workers, now)

    def allows(
        self, batch: runs.Batch, name: str = 'w0', now: float = 0
    ) -> bool:
        return self.held.allows(batch, self.workers[ids.WorkerId(name)], now)


class TestReservations(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = World()
        self.world.occupy('w0', 0.3)
        self.world.occupy('w1', 0.6)
        self.large = samples.make_batch('large', millicores=LARGE, slack_s=2.0)

    def test_worker_of_the_soonest_start_is_reserved(self) -> None:
        """Guards against a large task that waits longer than necessary."""
        made = self.world.reserve(self.large)
        assert made is not None
        self.assertEqual('w0', made.worker)
        self.assertAlmostEqual(0.3, made.starts_at)

    def test_only_tasks_that_end_before_are_backfilled(self) -> None:
        """Guards against small tasks that delay a reserved start."""
        self.world.reserve(self.large)
        short = samples.make_batch('s', millicores=16_000, estimate_s=0.1)
        long = samples.make_batch('l', millicores=16_000, estimate_s=0.9)
        self.assertTrue(self.world.allows(short))
        self.assertFalse(self.world.allows(long))
        self.assertTrue(self.world.allows(long, 'w1'))
        self.assertTrue(self.world.allows(self.large))

    def test_task_that_leaves_room_is_allowed(self) -> None:
        """Guards against idle capacity that no reservation needs."""
        self.world.reserve(self.large)
        small = samples.make_batch('s', millicores=8_000, estimate_s=0.9)
        self.assertTrue(self.world.allows(small))

    def test_start_that_is_too_late_is_not_reserved(self) -> None:
        """Guards against capacity that is held for a late task.

        The task would not be started there.
        """
        urgent = samples.make_batch('u', millicores=LARGE, slack_s=0.01)
        self.assertIsNone(self.world.reserve(urgent))

    def test_number_is_bounded(self) -> None:
        """Guards against most workers being held."""
        self.world.reserve(self.large)
        other = samples.make_batch('other', millicores=LARGE)
        self.assertIsNone(self.world.reserve(other))

    def test_unusable_worker_is_not_reserved(self) -> None:
        """Guards against a task that waits for a draining worker."""
        self.world.workers[ids.WorkerId('w0')].is_usable = False
        made = self.world.reserve(self.large)
        assert made is not None
        self.assertEqual('w1', made.worker)

    def test_reservation_ends_with_its_worker(self) -> None:
        """Guards against a task that waits for a lost worker."""
        self.world.reserve(self.large)
        self.world.held.worker_gone(ids.WorkerId('w0'))
        self.assertEqual(0, len(self.world.held))

    def test_wrong_forecast_releases_the_worker(self) -> None:
        """Guards against capacity that is held for a run that never ends."""
        self.world.reserve(self.large)
        self.world.held.expire(0.4)
        self.assertEqual(1, len(self.world.held))
        self.world.held.expire(0.5)
        self.assertEqual(0, len(self.world.held))
        self.assertEqual({'made': 1, 'broken': 1}, self.world.held.pop_counts())

    def test_reservation_ends_when_the_task_starts(self) -> None:
        """Guards against a worker held for a task that runs elsewhere."""
        self.world.reserve(self.large)
        self.world.held.started(self.large, ids.WorkerId('w1'))
        self.assertEqual(0, len(self.world.held))

    def test_progress_corrects_the_forecast(self) -> None:
        """Guards against a start expected after a run 7 times as long."""
        run = self.world.active[0]
        run.started_at = 0.01
        run.progress_at = 0.21
        run.percent = 10
        made = self.world.reserve(self.large, now=0.22)
        assert made is not None
        self.assertEqual('w1', made.worker)
