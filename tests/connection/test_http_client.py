"""HTTP client of small calls, on both event loops."""

import asyncio
import time
from typing import Any, Awaitable, Callable, Coroutine

import testtools
import uvloop

from sardineproxy import deployment
from sardineproxy.connection import http_client

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
CFG = http_client.ClientConfig(
    max_connections=2, keepalive_s=5, max_body_bytes=1000
)

#: Timeout of calls that are expected to succeed, in seconds.
LONG_S = 10

Respond = Callable[[int, asyncio.StreamWriter], Awaitable[None]]


def response(body: bytes = b'ok', status: bytes = b'200 OK') -> bytes:
    return b'HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s' % (
        status,
        len(body),
        body,
    )


class Server:
    """Calls ``respond`` with the number of each request."""

    def __init__(self, respond: Respond) -> None:
        self.respond = respond
        self.connections = 0
        self.requests = 0
        self.gate = asyncio.Event()
        self.address: deployment.Address
        self._server: asyncio.Server
        self._writers: list[asyncio.StreamWriter] = []

    async def close(self) -> None:
        """Close all connections before the loop is closed."""
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0.01)

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = deployment.Address(host='127.0.0.1', port=port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.append(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                self.requests += 1
                await self.respond(self.requests, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def respond_ok(_: int, writer: asyncio.StreamWriter) -> None:
    writer.write(response())


async def never_respond(_: int, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(LONG_S)


class Case(testtools.TestCase):
    def run_with(
        self,
        respond: Respond,
        scenario: Callable[
            [Server, http_client.HttpClient], Coroutine[Any, Any, None]
        ],
    ) -> None:
        """Run a scenario on both event loops."""

        async def main() -> None:
            server = Server(respond)
            self.gate = server.gate
            await server.listen()
            client = http_client.HttpClient(cfg=CFG)
            try:
                await scenario(server, client)
            finally:
                await client.aclose()
                await server.close()

        for factory in (asyncio.new_event_loop, uvloop.new_event_loop):
            with asyncio.Runner(loop_factory=factory) as runner:
                runner.run(main())


class TestCalls(Case):
    def test_connection_is_reused(self) -> None:
        """Guards against a new connection for each call, which has a cost."""

        async def scenario(server: Server, client: Any) -> None:
            for _ in range(3):
                reply = await client.send(
                    server.address, REQUEST, timeout_s=LONG_S
                )
                self.assertEqual((200, b'ok'), (reply.status, reply.body))
            self.assertEqual(1, server.connections)

        self.run_with(respond_ok, scenario)

    def test_calls_wait_for_a_connection_if_there_are_enough(self) -> None:
        """Guards against more connections than the platform permits."""

        async def scenario(server: Server, client: Any) -> None:
            replies = await asyncio.gather(
                *(
                    client.send(server.address, REQUEST, timeout_s=LONG_S)
                    for _ in range(7)
                )
            )
            self.assertEqual({200}, {reply.status for reply in replies})
            self.assertEqual(2, server.connections)

        self.run_with(respond_ok, scenario)

    def test_interim_response_is_skipped(self) -> None:
        """Guards against taking "100 Continue" for the response."""

        async def respond(_: int, writer: asyncio.StreamWriter) -> None:
            writer.write(b'HTTP/1.1 100 Continue\r\n\r\n' + response(b'last'))

        async def scenario(server: Server, client: Any) -> None:
            reply = await client.send(server.address, REQUEST, timeout_s=LONG_S)
            self.assertEqual(b'last', reply.body)

        self.run_with(respond, scenario)


class TestFailures(Case):
    def test_refused_connection_means_that_nothing_was_sent(self) -> None:
        """Guards against reserving capacity for an order that never left."""

        async def scenario(server: Server, client: Any) -> None:
            closed = deployment.Address(host='127.0.0.1', port=1)
            reply = await client.send(closed, REQUEST, timeout_s=LONG_S)
            self.assertTrue(reply.unsent)

        self.run_with(respond_ok, scenario)

    def test_call_without_a_free_connection_was_not_sent(self) -> None:
        """Guards against treating a queued order as possibly executed."""

        async def scenario(server: Server, client: Any) -> None:
            pending = [
                asyncio.create_task(
                    client.send(server.address, REQUEST, timeout_s=LONG_S)
                )
                for _ in range(2)
            ]
            await asyncio.sleep(0.05)
            reply = await client.send(server.address, REQUEST, timeout_s=0.05)
            self.assertTrue(reply.unsent)
            for task in pending:
                task.cancel()

        self.run_with(never_respond, scenario)

    def test_unanswered_call_may_have_been_executed(self) -> None:
        """Guards against a late response that is taken for the next one."""

        async def respond(number: int, writer: asyncio.StreamWriter) -> None:
            if number > 1:
                writer.write(response(b'second'))

        async def scenario(server: Server, client: Any) -> None:
            lost = await client.send(server.address, REQUEST, timeout_s=0.05)
            self.assertFalse(lost.unsent)
            reply = await client.send(server.address, REQUEST, timeout_s=LONG_S)
            self.assertEqual(b'second', reply.body)
            self.assertEqual(2, server.connections)

        self.run_with(respond, scenario)

    def test_response_that_waited_for_a_paused_process_is_used(self) -> None:
        """Guards against taking a pause of this process for lost responses.

        After a pause, timeouts and responses are found at the same time. Each
        run that was reported as lost would be looked for at its worker.
        """

        async def scenario(server: Server, client: Any) -> None:
            await client.send(server.address, REQUEST, timeout_s=LONG_S)
            call = asyncio.create_task(
                client.send(server.address, REQUEST, timeout_s=0.1)
            )
            while server.requests < 2:
                await asyncio.sleep(0)
            time.sleep(0.2)
            self.assertEqual(200, (await call).status)

        self.run_with(respond_ok, scenario)

    def test_second_response_closes_the_connection(self) -> None:
        """Guards against answers that are crossed from then on."""

        async def respond(number: int, writer: asyncio.StreamWriter) -> None:
            writer.write(response(b'%d' % number) * 2)

        async def scenario(server: Server, client: Any) -> None:
            for number in (b'1', b'2'):
                reply = await client.send(
                    server.address, REQUEST, timeout_s=LONG_S
                )
                self.assertEqual(number, reply.body)
            self.assertEqual(2, server.connections)

        self.run_with(respond, scenario)

    def test_odd_responses_are_no_responses(self) -> None:
        """Guards against exceptions or unbounded memory use."""
        for odd in (
            b'SSH-2.0\r\n',
            response(b'x' * 100_000),
            b'HTTP/1.1 200 OK\r\n' + b'a: b\r\n' * 10_000,
            b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
        ):

            async def respond(_: int, writer: asyncio.StreamWriter) -> None:
                writer.write(odd)  # noqa: B023

            async def scenario(server: Server, client: Any) -> None:
                reply = await client.send(
                    server.address, REQUEST, timeout_s=LONG_S
                )
                self.assertIsInstance(reply, http_client.NoResponse)
                self.assertFalse(reply.unsent)

            self.run_with(respond, scenario)

    def test_closed_connection_is_not_a_response(self) -> None:
        """Guards against a truncated body that is taken for the whole one."""

        async def respond(_: int, writer: asyncio.StreamWriter) -> None:
            writer.write(response(b'whole')[:-2])
            writer.close()

        async def scenario(server: Server, client: Any) -> None:
            reply = await client.send(server.address, REQUEST, timeout_s=LONG_S)
            self.assertFalse(reply.unsent)

        self.run_with(respond, scenario)


class TestCancellation(Case):
    def test_cancelled_call_leaves_its_connection_open(self) -> None:
        """Guards against a new connection for each poll that is repeated."""

        async def respond(_: int, writer: asyncio.StreamWriter) -> None:
            await self.gate.wait()
            writer.write(response())

        async def scenario(server: Server, client: Any) -> None:
            call = asyncio.create_task(
                client.send(server.address, REQUEST, timeout_s=LONG_S)
            )
            while not server.requests:
                await asyncio.sleep(0.01)
            call.cancel()
            server.gate.set()
            await asyncio.sleep(0.05)
            reply = await client.send(server.address, REQUEST, timeout_s=LONG_S)
            self.assertEqual(200, reply.status)
            self.assertEqual(1, server.connections)

        self.run_with(respond, scenario)
