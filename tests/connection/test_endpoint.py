"""Verdicts of one attempt, against endpoints that break in known ways."""

import asyncio
from typing import Any, Awaitable, Callable

import testtools

from sardineproxy import clock
from sardineproxy.connection import endpoint
from sardineproxy.process import metrics
from sardineproxy.request import work
from tests import dispatch_samples as samples

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
OTHER = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

#: Answers that must not be taken for whole, by the failure they show.
BROKEN = {
    'reset before the answer': b'',
    'cut in the head': b'HTTP/1.1 200 OK\r\nContent-Le',
    'cut in the body': WHOLE[:-1],
    'cut in a chunk': CHUNKED + b'5\r\nhel',
    'cut before the last chunk': CHUNKED + b'5\r\nhello\r\n',
    'malformed chunk size': CHUNKED + b'5\r\nhello\r\nxyz\r\n',
    'malformed status line': b'ICE 200 OK\r\n\r\n',
    'longer than declared': WHOLE + b'!',
    'begins like an answer after the body': WHOLE + b'H',
    'second answer': WHOLE + OTHER,
    'no length': b'HTTP/1.1 200 OK\r\n\r\nhello',
    'two lengths': b'HTTP/1.1 200 OK\r\nContent-Length: 5' + WHOLE[15:],
    'length and chunks': CHUNKED[:-2] + WHOLE[17:],
    'switched protocols': b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n',
    'over the limit': b'HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n'
    + bytes(2000),
    'over the limit in chunks': CHUNKED
    + b'7d0\r\n'
    + bytes(2000)
    + b'\r\n0\r\n\r\n',
}

Script = Callable[['Server', int, Any], Awaitable[None]]


class Server:
    """Raw endpoint that runs ``script`` after each request it has read."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.connections = 0
        self.wrote_late = asyncio.Event()

    async def __aenter__(self) -> 'Server':
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: Any) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if b'Content-Length: 5' in head:
                    head += await reader.readexactly(5)
                self.requests.append(head)
                await self.script(self, len(self.requests), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def answering(*answers: bytes, close: bool = False) -> Script:
    """Give the answers in turn, the last one again and again."""

    async def script(server: Server, number: int, writer: Any) -> None:
        writer.write(answers[min(number, len(answers)) - 1])
        if close and number >= len(answers):
            writer.close()

    return script


async def never(server: Server, number: int, writer: Any) -> None:
    """Keep the request without an answer."""


class AttemptTest(testtools.TestCase):
    """Each attempt writes its request at most once and tells what is known."""

    def attempts(self, script: Script, use: Any, connections: int = 1) -> None:
        """Run ``use`` with a server and a function that makes attempts."""

        async def run() -> None:
            client = endpoint.EndpointClient(
                clock=clock.SystemClock(),
                metrics=metrics.Metrics(),
                cfg=endpoint.Config(max_response_bytes=1000),
            )
            await client.start()
            async with Server(script) as server:

                async def attempt(**changes: Any) -> work.Outcome:
                    return await client.attempt(
                        task=samples.make_task(**changes),
                        vm=samples.make_vm(
                            port=server.port, connections=connections
                        ),
                    )

                await asyncio.wait_for(use(server, attempt), samples.LONG_S)
            await client.close()

        asyncio.run(run())

    def test_passes_end_to_end_parts_only(self) -> None:
        """Guards against added headers and against altered paths."""
        reply = WHOLE.replace(
            b'OK\r\n', b'OK\r\nX-A: 1\r\nX-B: 2\r\nConnection: X-B\r\n'
        )

        async def use(server: Server, attempt: Any) -> None:
            path = '/a//b/../%7e?x=%2F&y&'
            headers = (('X-A', '1'), ('TE', 'gzip'), ('Host', 'elsewhere'))
            outcome = await attempt(
                method='POST', path=path, headers=headers, body=b'12345'
            )
            self.assertEqual(
                (('X-A', '1'), ('Content-Length', '5')), outcome.headers
            )
            self.assertEqual(
                f'POST {path} HTTP/1.1\r\nHost: 127.0.0.1:{server.port}\r\n'
                'X-A: 1\r\nContent-Length: 5\r\n\r\n12345',
                server.requests[0].decode(),
            )

        self.attempts(answering(reply), use)

    def test_broken_answers_may_have_run(self) -> None:
        """Guards against partial answers and against silent retries.

        A malformed answer must not wait for the end of the connection.
        """
        malformed = ('malformed chunk size', 'longer than declared')
        cases = [(name, True) for name in BROKEN]
        for name, close in cases + [(name, False) for name in malformed]:

            async def use(server: Server, attempt: Any) -> None:
                outcome = await attempt()
                self.assertIsInstance(outcome, endpoint.ResponseLost, name)
                self.assertEqual(1, len(server.requests), name)

            self.attempts(answering(BROKEN[name], close=close), use)

    def test_request_is_not_repeated_on_a_closed_connection(self) -> None:
        """Guards against aiohttp's retry, which would start a task twice."""

        async def use(server: Server, attempt: Any) -> None:
            self.assertIsInstance(await attempt(), work.Response)
            self.assertIsInstance(await attempt(), work.OutcomeUnknown)
            self.assertEqual((2, 1), (len(server.requests), server.connections))

        self.attempts(answering(WHOLE, b'', close=True), use)

    def test_late_bytes_never_answer_the_next_request(self) -> None:
        """Guards against reading an earlier request's bytes as an answer."""
        for late in (OTHER, b'HTTP/1.1 200 OK\r\nConte', b'?'):

            async def script(server: Server, number: int, writer: Any) -> None:
                writer.write(WHOLE)
                if number == 1:
                    await asyncio.sleep(0.05)
                    writer.write(late)
                    server.wrote_late.set()

            async def use(server: Server, attempt: Any) -> None:
                first = await attempt()
                await server.wrote_late.wait()
                second = await attempt()
                self.assertEqual((first, 2), (second, server.connections))

            self.attempts(script, use)

    def test_connection_rests_while_others_are_allowed(self) -> None:
        """Guards against an extra answer that shifts all later ones by one."""

        async def script(server: Server, number: int, writer: Any) -> None:
            writer.write(WHOLE)
            if number == 1:
                await asyncio.sleep(0.002)
                writer.write(OTHER)

        async def use(server: Server, attempt: Any) -> None:
            answers = [await attempt() for _ in range(4)]
            self.assertEqual([answers[0] for _ in answers], answers)

        self.attempts(script, use, connections=4)

    def test_connections_are_used_again(self) -> None:
        """Guards against a check that drops every connection."""
        for reply in (WHOLE, CHUNKED + b'5\r\nhello\r\n0\r\n\r\n'):

            async def use(server: Server, attempt: Any) -> None:
                for _ in range(3):
                    self.assertEqual(b'hello', (await attempt()).body)
                self.assertEqual(1, server.connections)

            self.attempts(answering(reply), use)

    def test_close_of_an_idle_connection_loses_nothing(self) -> None:
        """Guards against writing to a connection that is already closed."""

        async def use(server: Server, attempt: Any) -> None:
            for _ in range(2):
                self.assertEqual(b'hello', (await attempt()).body)

        self.attempts(answering(WHOLE, close=True), use)

    def test_unreachable_endpoint_did_not_run(self) -> None:
        """Guards against calling a refused connection uncertain."""

        async def use(server: Server, attempt: Any) -> None:
            server._server.close()
            outcome = await attempt()
            self.assertEqual(endpoint.UNREACHABLE, outcome.problem.code)
            self.assertIsInstance(outcome, work.Refused)

        self.attempts(never, use)

    def test_deadline_before_and_after_the_write(self) -> None:
        """Guards against a wrong verdict while waiting for a connection."""

        async def use(server: Server, attempt: Any) -> None:
            holder = asyncio.create_task(attempt(deadline_s=0.5))
            while not server.requests:
                await asyncio.sleep(0.01)
            waiting = await attempt(deadline_s=0.05)
            self.assertEqual('deadline_passed', waiting.problem.code)
            self.assertIsInstance(waiting, work.Refused)
            self.assertIsInstance(await holder, work.OutcomeUnknown)
            self.assertEqual(1, len(server.requests))

        self.attempts(never, use)

    def test_refuses_what_parsers_could_read_differently(self) -> None:
        """Guards against requests smuggled in paths and headers."""

        async def use(server: Server, attempt: Any) -> None:
            for changes in (
                {'path': '/a HTTP/1.1'},
                {'path': 'a'},
                {'path': '/a#b'},
                {'method': 'GET /x'},
                {'method': 'CONNECT'},
                {'headers': (('X', 'a\r\nY: b'),)},
                {'headers': (('X: y', 'a'),)},
            ):
                outcome = await attempt(**changes)
                self.assertEqual('bad_task', outcome.problem.code)
            self.assertEqual([], server.requests)

        self.attempts(never, use)
