"""Tests of deadlines that share one timer."""

import asyncio

import testtools

from sardineproxy.connection import deadlines


class DeadlineTimerTest(testtools.TestCase):
    """Only a cancellation by the deadline counts as a timeout."""

    def test_deadline_and_external_cancellation(self) -> None:
        """Guards against suppressing an external cancellation of the task."""
        for timeout_s, cancels, expected in (
            (0.01, False, True),
            (30, True, False),
        ):
            self.assertEqual(
                expected, asyncio.run(run_with_deadline(timeout_s, cancels))
            )

    def test_finished_deadlines_are_removed(self) -> None:
        """Guards against finished deadlines that fill the heap until due."""

        async def run() -> int:
            timer = deadlines.DeadlineTimer()
            for _ in range(1000):
                timer.finish(timer.start(timeout_s=99))
            timer.close()
            return len(timer._heap)

        self.assertLess(asyncio.run(run()), 100)


async def run_with_deadline(timeout_s: float, cancels: bool) -> bool:
    """Return whether the deadline ended an endless wait."""
    timer = deadlines.DeadlineTimer()

    async def wait() -> bool:
        deadline = timer.start(timeout_s=timeout_s)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return timer.finish(deadline)
        return False

    waiting = asyncio.create_task(wait())
    await asyncio.sleep(0)
    if cancels:
        waiting.cancel()
    outcome = await waiting
    timer.close()
    return outcome
