"""Order, counts and checks of waiting batches."""

from typing import Any

import testtools
from hypothesis import stateful, strategies

from sardineproxy.process.load import order
from sardineproxy.process.shards import runs
from tests import examples
from tests.process.load import samples


class TestOrder(testtools.TestCase):
    def test_urgent_batches_come_first(self) -> None:
        """Guards against short jobs that wait for long or unimportant ones."""
        queue = order.WaitingQueue()
        for job, changes in (
            ('long', {'estimate_s': 2.0}),
            ('other', {'priority': 1}),
            ('short', {'estimate_s': 0.1}),
        ):
            queue.update(samples.make_batch(job, **changes))
        self.assertEqual(
            ['short', 'long', 'other'], [batch.job for batch in queue.all()]
        )

    def test_demoted_batch_comes_last_in_its_priority(self) -> None:
        """Guards against late tasks that make other jobs late, too."""
        queue = order.WaitingQueue()
        late = samples.make_batch('late')
        others = (
            samples.make_batch('same', estimate_s=9.0),
            samples.make_batch('lower', priority=2),
        )
        for batch in (late, *others):
            queue.update(batch)
        queue.demote(late)
        queue.demote(late)
        self.assertEqual(
            ['same', 'late', 'lower'], [batch.job for batch in queue.all()]
        )
        queue.discard(late)
        self.assertEqual(list(others), queue.all())

    def test_check_is_due_once_and_the_earliest_counts(self) -> None:
        """Guards against batches that are checked again and again."""
        queue = order.WaitingQueue()
        batch = samples.make_batch()
        queue.update(batch)
        queue.check_at(batch, 5)
        queue.check_at(batch, 3)
        queue.check_at(batch, 4)
        self.assertEqual([], queue.pop_due(2.9))
        self.assertEqual([batch], queue.pop_due(9))
        self.assertEqual([], queue.pop_due(9))

    def test_batch_that_no_longer_waits_is_not_checked(self) -> None:
        """Guards against dropping a batch whose tasks have started."""
        queue = order.WaitingQueue()
        batch = samples.make_batch()
        queue.update(batch)
        queue.check_at(batch, 3)
        batch.assign(0, samples.make_run(batch))
        queue.update(batch)
        self.assertEqual([], queue.pop_due(9))


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compares the queue's counts with the batches in it."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = order.WaitingQueue()
        self.batches: list[runs.Batch] = []

    @stateful.rule(
        priority=strategies.integers(0, 2),
        count=strategies.integers(1, 3),
        millicores=strategies.integers(1, 5),
    )
    def add(self, **changes: int) -> None:
        batch = samples.make_batch(f'j{len(self.batches)}', **changes)
        self.batches.append(batch)
        self.queue.update(batch)

    @stateful.rule(data=strategies.data())
    def start_or_requeue(self, data: Any) -> None:
        if not self.batches:
            return
        batch = data.draw(strategies.sampled_from(self.batches))
        started = [index for index, task in batch.tasks.items() if task.run]
        if batch.waiting_count:
            index = batch.waiting()[0]
            batch.assign(index, samples.make_run(batch, index))
        elif started:
            batch.requeue(started[0])
        self.queue.update(batch)

    @stateful.rule(data=strategies.data())
    def demote(self, data: Any) -> None:
        waiting = self.queue.all()
        if waiting:
            self.queue.demote(data.draw(strategies.sampled_from(waiting)))

    @stateful.rule(data=strategies.data())
    def drop(self, data: Any) -> None:
        if self.batches:
            batch = data.draw(strategies.sampled_from(self.batches))
            batch.clear()
            self.queue.discard(batch)

    @stateful.invariant()
    def counts_match(self) -> None:
        waiting = [batch for batch in self.batches if batch.waiting_count]
        assert set(self.queue.all()) == set(waiting)
        assert self.queue.task_count == sum(
            batch.waiting_count for batch in waiting
        )
        assert self.queue.smallest_millicores == min(
            (batch.resources.millicores for batch in waiting), default=0
        )
        for priority in range(3):
            assert self.queue.count_ahead(priority) == sum(
                batch.waiting_count
                for batch in waiting
                if batch.priority <= priority
            )


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = examples.settings(50)
