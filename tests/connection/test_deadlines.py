"""Deadlines of coroutines on one timer."""

import asyncio

import testtools

from sardineproxy.connection import deadlines


class DeadlineTimerTest(testtools.TestCase):
    """Only the deadline's own cancellation counts as a time-out."""

    def test_deadline_and_foreign_cancellation(self) -> None:
        """Guards against swallowing the cancellation of a caller's task."""
        for timeout_s, cancels, expected in (
            (0.01, False, True),
            (30, True, False),
        ):
            self.assertEqual(
                expected, asyncio.run(run_watch(timeout_s, cancels))
            )

    def test_ended_entries_are_dropped(self) -> None:
        """Guards against memory held until far deadlines pass."""

        async def run() -> int:
            watches = deadlines.DeadlineTimer()
            for _ in range(1000):
                watches.finish(watches.start(timeout_s=99))
            watches.close()
            return len(watches._heap)

        self.assertLess(asyncio.run(run()), 100)


async def run_watch(timeout_s: float, cancels: bool) -> bool:
    """Return whether a wait without end was cut off by its deadline."""
    watches = deadlines.DeadlineTimer()

    async def wait() -> bool:
        entry = watches.start(timeout_s=timeout_s)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return watches.finish(entry)
        return False

    waiting = asyncio.create_task(wait())
    await asyncio.sleep(0)
    if cancels:
        waiting.cancel()
    outcome = await waiting
    watches.close()
    return outcome
