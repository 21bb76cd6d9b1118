"""Job intake and readiness of a node that is shutting down."""

from typing import Any, Callable, Coroutine

import testtools

from sardineproxy.process.node import node
from sardineproxy.request import jobs
from tests import virtual_time
from tests.process.node import samples


def with_node(
    scenario: Callable[[node.Node], Coroutine[Any, Any, None]],
) -> None:
    async def main() -> None:
        await scenario(samples.make_node(samples.MemoryStore(), None))

    virtual_time.run(main)


class TestDraining(testtools.TestCase):
    def test_job_that_would_outlast_the_process_is_not_run(self) -> None:
        """Guards against jobs that are cut off by the end of the process.

        The refusal lets the client send the job to another VM at once.
        """

        async def scenario(tested: node.Node) -> None:
            now = virtual_time.LoopClock().now()
            tested.drain(shutdown_at=now + 0.5)
            outcome = await tested.job_intake.run(
                samples.make_job(), samples.ROUTE, 2
            )
            self.assertEqual(
                jobs.NotRun(
                    detail='process ends before the job would',
                    retry_after_s=1,
                ),
                outcome,
            )

        with_node(scenario)

    def test_draining_node_is_not_ready(self) -> None:
        """Guards against new connections to a process that shuts down."""

        async def scenario(tested: node.Node) -> None:
            self.assertFalse(tested.draining)
            tested.drain(shutdown_at=2000)
            self.assertTrue(tested.draining)
            self.assertFalse(tested.is_ready())

        with_node(scenario)
