"""Workers whose entries disappear, return, or name a wrong address."""

import asyncio

import testtools

from sardineproxy.process.shards import listing, workers
from sardineproxy.standin import worker_model
from tests.process.shards import samples

_State = listing.Listing
_Event = listing.Event

#: The table of the module's documentation, row by row.
_TABLE = {
    _State.LISTED: (
        _State.LISTED,
        _State.LISTED,
        _State.UNLISTED,
        _State.MISADDRESSED,
    ),
    _State.UNLISTED: (
        _State.LISTED,
        _State.LISTED,
        _State.UNLISTED,
        _State.UNLISTED,
    ),
    _State.MISADDRESSED: (
        _State.MISADDRESSED,
        _State.LISTED,
        _State.UNLISTED,
        _State.MISADDRESSED,
    ),
}


def _work_of_1_s(task: workers.TaskName, run: int) -> worker_model.Work:
    return samples.typical_work(task, run, 1.0)


class TestTransitions(testtools.TestCase):
    def test_all_transitions(self) -> None:
        """Guards against a state that an event leaves wrongly or never."""
        for state, row in _TABLE.items():
            for event, expected in zip(_Event, row, strict=True):
                self.assertIs(
                    expected, listing.advance(state, event), (state, event)
                )


class TestReturn(testtools.TestCase):
    def test_worker_that_returns_unchanged_gets_tasks(self) -> None:
        """Guards against review case 9: an idle worker that gets no tasks.

        The entry disappears and returns unchanged while a task runs, so that
        the leader keeps its representation of the worker.
        """

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('j1'), rig.clock.now())
            await asyncio.sleep(0.1)
            rig.list_workers(leader, [])
            await asyncio.sleep(0.1)
            rig.list_workers(leader, list(rig.models.values()))
            await asyncio.sleep(1.5)
            leader.submit(
                link, samples.make_submit('j2', stored=True), rig.clock.now()
            )
            await asyncio.sleep(1.5)
            self.assertEqual(
                {'j1', 'j2'}, {record.task[:2] for record in rig.records()}
            )
            self.assertEqual([], rig.violations())

        samples.with_rig(scenario, work_of=_work_of_1_s)

    def test_unlisted_worker_gets_no_tasks(self) -> None:
        """Guards against starts on a worker while its entry is missing."""

        async def scenario(rig: samples.Rig) -> None:
            leader = await rig.lead_and_sync()
            link = samples.FakeLink()
            leader.submit(link, samples.make_submit('j1'), rig.clock.now())
            await asyncio.sleep(0.1)
            rig.list_workers(leader, [])
            leader.submit(
                link, samples.make_submit('j2', stored=True), rig.clock.now()
            )
            await asyncio.sleep(1.5)
            self.assertEqual(
                {'j1'}, {record.task[:2] for record in rig.records()}
            )

        samples.with_rig(scenario, work_of=_work_of_1_s)
