"""Tests of background tasks."""

import asyncio
from typing import Any

import testtools

from sardineproxy import background


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
