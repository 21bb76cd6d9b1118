"""Tasks that run beside their owner."""

import asyncio
from typing import Any

import testtools

from sardineproxy import background


async def _fail() -> None:
    raise ValueError('broken')


class TestTasks(testtools.TestCase):
    def test_failed_task_is_told_as_fatal(self) -> None:
        """Guards against a process that goes on without one of its tasks."""

        async def main() -> list[dict[str, Any]]:
            told: list[dict[str, Any]] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: told.append(context))
            background.Tasks().spawn(_fail())
            await asyncio.sleep(0.01)
            return told

        told = asyncio.run(main())
        self.assertEqual([True], [each[background.FATAL] for each in told])

    def test_closed_tasks_are_no_failures(self) -> None:
        """Guards against a shutdown that counts as an error."""

        async def main() -> list[dict[str, Any]]:
            told: list[dict[str, Any]] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: told.append(context))
            tasks = background.Tasks()
            tasks.spawn(asyncio.sleep(60))
            await asyncio.sleep(0)
            await tasks.close()
            return told

        self.assertEqual([], asyncio.run(main()))
