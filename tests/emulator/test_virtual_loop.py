"""Frozen and killed processes of the emulator."""

import asyncio

import testtools

from sardineproxy.emulator import virtual_loop


class TestProcess(testtools.TestCase):
    def test_frozen_process_handles_what_arrived_before_its_timers(
        self,
    ) -> None:
        """Guards against an emulation that hides faults of resumed processes.

        An event loop that resumes reads its sockets before it sees that its
        timers are late.
        """
        events: list[str] = []
        has_arrived = asyncio.Event()

        async def scenario() -> None:
            process = virtual_loop.Process()
            for coroutine in (read(), tick()):
                process.spawn(coroutine)
            await asyncio.sleep(0.15)
            process.freeze()
            await asyncio.sleep(1)
            process.call(has_arrived.set)
            process.resume()
            await asyncio.sleep(0.05)

        async def read() -> None:
            await has_arrived.wait()
            events.append('read')

        async def tick() -> None:
            while True:
                events.append('tick')
                await asyncio.sleep(0.1)

        virtual_loop.run(scenario)
        self.assertEqual(['tick', 'tick', 'read', 'tick'], events)

    def test_killed_process_does_nothing(self) -> None:
        """Guards against a killed VM that goes on."""
        events: list[str] = []

        async def scenario() -> None:
            process = virtual_loop.Process()
            process.spawn(act())
            await asyncio.sleep(0.05)
            process.kill()
            await asyncio.sleep(1)
            process.resume()

        async def act() -> None:
            try:
                await asyncio.sleep(0.1)
                events.append('acted')
            finally:
                events.append('cancelled')

        virtual_loop.run(scenario)
        self.assertEqual(['cancelled'], events)
