"""Which waiting tasks leave a shard, and where to."""

import testtools

from sardineproxy import ids
from sardineproxy.process.load import moving
from sardineproxy.process.shards import workers
from tests.process.load import samples, test_free_capacity
from tests.process.shards import samples as shard_samples

_B = ids.ShardId('zone-b')
_C = ids.ShardId('zone-c')


class TestMoves(testtools.TestCase):
    def test_no_more_tasks_move_than_can_start(self) -> None:
        """Guards against moves of tasks that would wait there as well."""
        moves = moving.choose(range(6), {_B: 3, _C: 1})
        self.assertEqual(
            [
                moving.Move(shard=_B, indices=(3, 4, 5)),
                moving.Move(shard=_C, indices=(2,)),
            ],
            moves,
        )
        self.assertEqual([], moving.choose([], {_B: 3}))

    def test_wait_before_a_move(self) -> None:
        """Guards against a hard bound on moves, which strands tasks."""
        for changes, moves, expected_s in (
            ({}, 5, 0.3),
            ({'pinned': True}, 0, None),
            ({'pinned': True, 'stored': True}, 0, 1),
            ({'pinned': True, 'stored': True}, 2, 4),
            ({'pinned': True, 'stored': True}, 900, moving.MAX_WAIT_S),
        ):
            waited_s = moving.wait_s(
                samples.make_batch(**changes),
                moves,
                move_wait_s=0.3,
                moved_wait_s=1,
            )
            self.assertEqual(expected_s, waited_s, changes)

    def test_history_is_bounded_and_forgotten(self) -> None:
        """Guards against memory that grows with each job."""
        history = moving.MoveHistory()
        for number in range(2 * moving.MAX_HISTORY):
            history.record((ids.JobId(str(number)), 0), 0)
        last = (ids.JobId(str(2 * moving.MAX_HISTORY - 1)), 0)
        self.assertEqual(1, history.count(last, 1))
        self.assertEqual(0, history.count(last, moving.HISTORY_S))
        self.assertEqual(0, history.count((ids.JobId('0'), 0), 1))


class TestCapability(testtools.TestCase):
    def test_shard_with_the_most_suitable_workers(self) -> None:
        """Guards against tasks that wait where no worker can run them."""
        listed = {
            ids.ShardId('zone-a'): [
                shard_samples.make_worker(
                    labels=('b',), state=workers.WorkerState.DRAINING
                ),
                *(shard_samples.make_worker() for _ in range(9)),
            ],
            _B: [shard_samples.make_worker(labels=('b',))],
            _C: [shard_samples.make_worker(labels=('b',)) for _ in range(2)],
        }
        task = test_free_capacity.make_task(requires='b')
        self.assertEqual(_C, moving.find_capable(task, listed))
        for changes in ({'millicores': 33_000}, {'service': 'x'}):
            task = test_free_capacity.make_task(**changes)
            self.assertIsNone(moving.find_capable(task, listed))
