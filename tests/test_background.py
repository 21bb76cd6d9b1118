"""Tests of background tasks."""

import asyncio
from typing import Any

import testtools

from sardineproxy import background
from tests import virtual_time


async def _fail() -> None:
    raise ValueError('broken')


class TestTasks(testtools.TestCase):
    def test_failed_task_is_reported_as_fatal(self) -> None:
        """Guards against a process that continues without one of its tasks.

        An exception ends a task, and nothing awaits its result.
        """

        async def main() -> list[dict[str, Any]]:
            contexts: list[dict[str, Any]] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(
                lambda _, context: contexts.append(context)
            )
            background.Tasks().spawn(_fail())
            await asyncio.sleep(0.01)
            return contexts

        contexts = asyncio.run(main())
        self.assertEqual(
            [True], [context[background.FATAL] for context in contexts]
        )

    def test_closed_tasks_are_not_reported(self) -> None:
        """Guards against a normal shutdown that is reported as an error.

        Closing cancels the tasks, which end with ``CancelledError``.
        """

        async def main() -> list[dict[str, Any]]:
            contexts: list[dict[str, Any]] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(
                lambda _, context: contexts.append(context)
            )
            tasks = background.Tasks()
            tasks.spawn(asyncio.sleep(60))
            await asyncio.sleep(0)
            await tasks.close()
            return contexts

        self.assertEqual([], asyncio.run(main()))

    def test_error_of_a_unit_is_confined(self) -> None:
        """Guards against one link, worker or table that ends the process."""

        async def main() -> list[dict[str, Any]]:
            contexts: list[dict[str, Any]] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(
                lambda _, context: contexts.append(context)
            )
            failed: list[str] = []
            tasks = background.Tasks()
            tasks.spawn(
                _fail(), unit='link', on_failure=lambda: failed.append('link')
            )
            await asyncio.sleep(0.01)
            self.assertEqual(['link'], failed)
            return contexts

        contexts = asyncio.run(main())
        self.assertEqual('link', contexts[0][background.UNIT])
        self.assertNotIn(background.FATAL, contexts[0])

    def test_failed_unit_is_started_again_with_growing_pauses(self) -> None:
        """Guards against a list that is no longer followed after one error,
        and against a loop of errors that uses all of the processor.
        """
        started_at: list[float] = []

        async def fail_often() -> None:
            started_at.append(asyncio.get_running_loop().time())
            if len(started_at) < 12:
                raise ValueError('broken')

        async def main() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda *_: None)
            background.Tasks().spawn_restarting(fail_often, 'table')
            await asyncio.sleep(100)

        virtual_time.run(main)
        pauses = [
            later - earlier
            for earlier, later in zip(started_at, started_at[1:])
        ]
        self.assertEqual(12, len(started_at))
        self.assertAlmostEqual(background.RESTART_MIN_S, pauses[0])
        self.assertAlmostEqual(background.RESTART_MAX_S, pauses[-1])
