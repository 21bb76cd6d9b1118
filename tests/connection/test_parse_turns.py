"""Turns of connections to parse what they have received."""

import asyncio

import testtools

from sardineproxy.connection import parse_turns

#: Processor time of one turn, in seconds.
TURN_S = 0.002


class Connection:
    def __init__(self, process: 'Process', name: str, turns: int) -> None:
        self.process = process
        self.name = name
        self.missing_turns = turns

    def take_turn(self) -> None:
        self.process.order.append(self.name)
        self.process.now += TURN_S
        self.missing_turns -= 1
        if self.missing_turns:
            self.process.turns.add(self)


class Process:
    def __init__(self) -> None:
        self.now: float = 0
        self.order: list[str] = []
        self.turns = parse_turns.Turns(now=lambda: self.now)


class FailingConnection(Connection):
    def take_turn(self) -> None:
        raise RuntimeError('failed on purpose')


class TestTurns(testtools.TestCase):
    def test_connections_take_turns(self) -> None:
        """Guards against a large body that holds up all other connections."""

        async def main() -> None:
            process = Process()
            for name, turns in (('a', 3), ('b', 1), ('c', 2)):
                process.turns.add(Connection(process, name, turns))
            while len(process.order) < 6:
                await asyncio.sleep(0)
            self.assertEqual(list('abcaca'), process.order)

        asyncio.run(main())

    def test_other_events_are_handled_between_turns(self) -> None:
        """Guards against heartbeats that wait until a crowd is parsed."""

        async def main() -> None:
            process = Process()
            process.turns.add(Connection(process, 'a', 100))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertLessEqual(
                process.now, parse_turns.ITERATION_S * 2 + TURN_S
            )
            self.assertLess(len(process.order), 100)

        asyncio.run(main())

    def test_failed_turn_does_not_hold_up_others(self) -> None:
        """Guards against one odd request that stops all connections."""

        async def main() -> None:
            errors: list[object] = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: errors.append(context['exception'])
            )
            process = Process()
            process.turns.add(FailingConnection(process, 'a', 1))
            process.turns.add(Connection(process, 'b', 1))
            for _ in range(3):
                await asyncio.sleep(0)
            self.assertEqual(['b'], process.order)
            self.assertEqual(1, len(errors))

        asyncio.run(main())

    def test_closed_connections_take_no_turns(self) -> None:
        async def main() -> None:
            process = Process()
            conn = Connection(process, 'a', 1)
            process.turns.add(conn)
            process.turns.discard(conn)
            process.turns.discard(conn)
            await asyncio.sleep(0)
            self.assertEqual([], process.order)

        asyncio.run(main())
