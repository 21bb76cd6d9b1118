"""Tests of single attempts against endpoints with scripted failures."""

import asyncio
from typing import Any, Awaitable, Callable

import testtools

from sardineproxy import clock
from sardineproxy.connection import endpoint
from sardineproxy.process import metrics
from sardineproxy.request import work
from tests import dispatch_samples as samples

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
OTHER_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale'
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

#: Malformed or incomplete responses, by the failure that they show.
INVALID_RESPONSES = {
    'closed before the response': b'',
    'truncated head': b'HTTP/1.1 200 OK\r\nContent-Le',
    'truncated body': RESPONSE[:-1],
    'truncated chunk': CHUNKED_HEAD + b'5\r\nhel',
    'missing last chunk': CHUNKED_HEAD + b'5\r\nhello\r\n',
    'malformed chunk size': CHUNKED_HEAD + b'5\r\nhello\r\nxyz\r\n',
    'malformed status line': b'ICE 200 OK\r\n\r\n',
    'longer than declared': RESPONSE + b'!',
    'start of a response after the body': RESPONSE + b'H',
    'second response': RESPONSE + OTHER_RESPONSE,
    'no content length': b'HTTP/1.1 200 OK\r\n\r\nhello',
    'two content lengths': b'HTTP/1.1 200 OK\r\nContent-Length: 5'
    + RESPONSE[15:],
    'content length and chunks': CHUNKED_HEAD[:-2] + RESPONSE[17:],
    'switching protocols': b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n',
    'over the limit': b'HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n'
    + bytes(2000),
    'over the limit in chunks': CHUNKED_HEAD
    + b'7d0\r\n'
    + bytes(2000)
    + b'\r\n0\r\n\r\n',
}

Script = Callable[['Server', int, Any], Awaitable[None]]


class Server:
    """TCP server that runs ``script`` after each request that it reads."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.connections = 0
        self.late_bytes_sent = asyncio.Event()

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


def respond_with(*responses: bytes, close: bool = False) -> Script:
    """Send the responses in turn and then repeat the last one."""

    async def script(server: Server, request_number: int, writer: Any) -> None:
        writer.write(responses[min(request_number, len(responses)) - 1])
        if close and request_number >= len(responses):
            writer.close()

    return script


async def never_respond(
    server: Server, request_number: int, writer: Any
) -> None:
    """Never respond."""


class AttemptTest(testtools.TestCase):
    """Each attempt sends its request at most once and returns its outcome."""

    def run_attempts(
        self, script: Script, test: Any, connections: int = 1
    ) -> None:
        """Run ``test`` with a server and a function that makes attempts."""

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

                await asyncio.wait_for(test(server, attempt), samples.LONG_S)
            await client.close()

        asyncio.run(run())

    def test_forwards_end_to_end_headers_only(self) -> None:
        """Guards against added headers and against altered paths."""
        response = RESPONSE.replace(
            b'OK\r\n', b'OK\r\nX-A: 1\r\nX-B: 2\r\nConnection: X-B\r\n'
        )

        async def test(server: Server, attempt: Any) -> None:
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

        self.run_attempts(respond_with(response), test)

    def test_invalid_responses_may_have_run(self) -> None:
        """Guards against accepted partial responses and against retries.

        A malformed response is detected before the connection is closed.
        """
        malformed = ('malformed chunk size', 'longer than declared')
        cases = [(name, True) for name in INVALID_RESPONSES]
        for name, close in cases + [(name, False) for name in malformed]:

            async def test(server: Server, attempt: Any) -> None:
                outcome = await attempt()
                self.assertIsInstance(outcome, endpoint.ResponseLost, name)
                self.assertEqual(1, len(server.requests), name)

            self.run_attempts(
                respond_with(INVALID_RESPONSES[name], close=close), test
            )

    def test_request_is_not_repeated_on_a_closed_connection(self) -> None:
        """Guards against aiohttp's retry, which would run a task twice."""

        async def test(server: Server, attempt: Any) -> None:
            self.assertIsInstance(await attempt(), work.Response)
            self.assertIsInstance(await attempt(), work.OutcomeUnknown)
            self.assertEqual((2, 1), (len(server.requests), server.connections))

        self.run_attempts(respond_with(RESPONSE, b'', close=True), test)

    def test_late_bytes_never_answer_the_next_request(self) -> None:
        """Guards against late bytes that are read as the next response."""
        for late_bytes in (OTHER_RESPONSE, b'HTTP/1.1 200 OK\r\nConte', b'?'):

            async def script(
                server: Server, request_number: int, writer: Any
            ) -> None:
                writer.write(RESPONSE)
                if request_number == 1:
                    await asyncio.sleep(0.05)
                    writer.write(late_bytes)
                    server.late_bytes_sent.set()

            async def test(server: Server, attempt: Any) -> None:
                first = await attempt()
                await server.late_bytes_sent.wait()
                second = await attempt()
                self.assertEqual((first, 2), (second, server.connections))

            self.run_attempts(script, test)

    def test_idle_time_before_reuse_while_others_are_allowed(self) -> None:
        """Guards against an extra response that shifts all later ones."""

        async def script(
            server: Server, request_number: int, writer: Any
        ) -> None:
            writer.write(RESPONSE)
            if request_number == 1:
                await asyncio.sleep(0.002)
                writer.write(OTHER_RESPONSE)

        async def test(server: Server, attempt: Any) -> None:
            responses = [await attempt() for _ in range(4)]
            self.assertEqual([responses[0] for _ in responses], responses)

        self.run_attempts(script, test, connections=4)

    def test_connections_are_reused(self) -> None:
        """Guards against a check that closes every connection."""
        for response in (RESPONSE, CHUNKED_HEAD + b'5\r\nhello\r\n0\r\n\r\n'):

            async def test(server: Server, attempt: Any) -> None:
                for _ in range(3):
                    self.assertEqual(b'hello', (await attempt()).body)
                self.assertEqual(1, server.connections)

            self.run_attempts(respond_with(response), test)

    def test_close_of_an_idle_connection_fails_no_request(self) -> None:
        """Guards against sending on a connection that the endpoint closed."""

        async def test(server: Server, attempt: Any) -> None:
            for _ in range(2):
                self.assertEqual(b'hello', (await attempt()).body)

        self.run_attempts(respond_with(RESPONSE, close=True), test)

    def test_unreachable_endpoint_did_not_run(self) -> None:
        """Guards against an unknown outcome for a refused connection."""

        async def test(server: Server, attempt: Any) -> None:
            server._server.close()
            outcome = await attempt()
            self.assertEqual(endpoint.UNREACHABLE, outcome.problem.code)
            self.assertIsInstance(outcome, work.Refused)

        self.run_attempts(never_respond, test)

    def test_deadline_before_and_after_the_write(self) -> None:
        """Guards against a wrong outcome while waiting for a connection."""

        async def test(server: Server, attempt: Any) -> None:
            first = asyncio.create_task(attempt(deadline_s=0.5))
            while not server.requests:
                await asyncio.sleep(0.01)
            second = await attempt(deadline_s=0.05)
            self.assertEqual('deadline_passed', second.problem.code)
            self.assertIsInstance(second, work.Refused)
            self.assertIsInstance(await first, work.OutcomeUnknown)
            self.assertEqual(1, len(server.requests))

        self.run_attempts(never_respond, test)

    def test_refuses_ambiguous_requests(self) -> None:
        """Guards against request smuggling through paths and headers."""

        async def test(server: Server, attempt: Any) -> None:
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

        self.run_attempts(never_respond, test)
