"""Destinations of waiting tasks, and late runs, of an evacuated shard."""

import dataclasses

import testtools

from sardineproxy import ids
from sardineproxy.process.load import evacuation, shard_choice

B, C = ids.ShardId('zone-b'), ids.ShardId('zone-c')


def place(count: int, *, is_refusable: bool = True, **free: int) -> object:
    return evacuation.place_elsewhere(
        evacuation.WaitingTasks(count=count, is_refusable=is_refusable),
        {ids.ShardId(f'zone-{name}'): number for name, number in free.items()},
    )


class TestPlaceElsewhere(testtools.TestCase):
    def test_tasks_fill_the_shards_in_order(self) -> None:
        """Guards against tasks sent to a shard that has no room for them."""
        self.assertEqual(
            evacuation.Move(counts={B: 4, C: 1}), place(5, b=4, c=3)
        )

    def test_job_is_refused_only_without_any_capacity(self) -> None:
        """Guards against refusing a job that another shard may admit.

        It must not be split either, as its parts are of no use.
        """
        self.assertEqual(evacuation.Refuse(), place(5))
        self.assertEqual(evacuation.Move(counts={B: 5}), place(5, b=2, c=1))

    def test_tasks_of_a_started_job_wait_for_capacity(self) -> None:
        """Guards against giving up a job whose other tasks have run."""
        self.assertEqual(
            evacuation.Move(counts={}), place(5, is_refusable=False)
        )
        self.assertEqual(
            evacuation.Move(counts={B: 2, C: 1}),
            place(5, is_refusable=False, b=2, c=1),
        )


class TestShouldStop(testtools.TestCase):
    def should_stop(self, **changes: float) -> bool:
        run = evacuation.ActiveRun(
            started_at=100,
            expected_here_s=20,
            expected_elsewhere_s=2,
            percent=10,
            due_at=104,
        )
        return evacuation.should_stop(
            dataclasses.replace(run, **changes), patience_ends_at=105, now=102
        )

    def test_late_run_on_a_slow_worker_is_stopped(self) -> None:
        """Guards against tasks that hold a zone until their jobs are lost."""
        self.assertTrue(self.should_stop())

    def test_other_runs_are_left_alone(self) -> None:
        """Guards against work that is thrown away without a gain.

        The run is on time, ends soon, or would end no earlier elsewhere.
        """
        self.assertFalse(self.should_stop(due_at=121))
        self.assertFalse(self.should_stop(expected_here_s=4))
        self.assertFalse(self.should_stop(expected_elsewhere_s=20))

    def test_progress_counts_once_the_expected_time_has_passed(self) -> None:
        """Guards against stopping a run that is about to end."""
        self.assertFalse(self.should_stop(expected_here_s=1, percent=90))
        self.assertTrue(self.should_stop(expected_here_s=1, percent=10))


class TestShardChoice(testtools.TestCase):
    def choose(self, point: float, **changes: object) -> object:
        arguments: dict[str, object] = {
            'home': ids.ShardId('zone-a'),
            'led': ['zone-a', 'zone-b', 'zone-c'],
            'evacuated': ['zone-a'],
            'free_capacity': {B: 30, C: 10},
            **changes,
        }
        return shard_choice.choose(point=point, **arguments)  # type: ignore

    def test_jobs_are_spread_by_free_capacity(self) -> None:
        """Guards against one zone that gets the clients of another alone."""
        chosen = [self.choose(point / 8) for point in range(8)]
        self.assertEqual([B] * 6 + [C] * 2, chosen)

    def test_jobs_are_spread_evenly_if_all_shards_are_full(self) -> None:
        """Guards against the same in an overload."""
        full: dict[str, object] = {'free_capacity': {}}
        self.assertEqual(
            [B, C], [self.choose(point, **full) for point in (0.4, 0.6)]
        )

    def test_leader_of_the_home_shard_refuses_if_all_are_evacuated(
        self,
    ) -> None:
        """Guards against a VM that finds no shard for its jobs."""
        zones = ['zone-a', 'zone-b', 'zone-c']
        self.assertEqual('zone-a', self.choose(0, evacuated=zones))

    def test_lost_home_shard_does_not_move_jobs_to_an_evacuated_one(
        self,
    ) -> None:
        """Guards against jobs that are sent on at once."""
        lost = {'led': ['zone-b', 'zone-c'], 'evacuated': ['zone-b']}
        self.assertEqual(C, self.choose(0, **lost))
