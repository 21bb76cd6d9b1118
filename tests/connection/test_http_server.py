"""HTTP server of small requests, on both event loops."""

import asyncio
from typing import Any, Callable, Coroutine

import testtools
import uvloop

from sardineproxy import deployment
from sardineproxy.connection import (
    client_guard,
    client_limits,
    http_server,
)
from sardineproxy.process import metrics
from tests.soak import vm

#: Larger than what the kernel holds of a reply that is not read.
BIG_BODY = b'x' * 8_000_000

CFG = http_server.ServerConfig(max_body_bytes=1000, read_timeout_s=0.2)


class Rig:
    """A server that echoes requests, and a raw connection to it."""

    def __init__(self, port: int, held_bytes: int = 40_000_000) -> None:
        self.address = deployment.Address(host='127.0.0.1', port=port)
        self.server = http_server.HttpServer(
            handler=self.handle,
            cfg=CFG,
            guard=client_guard.ClientGuard(
                limits=client_limits.Limits(
                    held_bytes=held_bytes, connections=10, backlog=10
                ),
                metrics=metrics.Metrics(),
            ),
        )
        self.requests: list[http_server.Request] = []
        self.cancelled = 0

        #: Requests are answered while this event is set.
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    async def handle(self, req: http_server.Request) -> http_server.Response:
        self.requests.append(req)
        if req.path == '/fail':
            raise RuntimeError('failed on purpose')
        try:
            await self.may_respond.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        body = b'none' if req.body is None else req.body
        if req.path == '/big':
            body = BIG_BODY
        return http_server.Response(
            status=400 if req.body is None else 200,
            body=req.path.encode() + b' ' + body,
            close=req.path == '/last',
        )

    async def send(self, *parts: bytes, pause_s: float = 0) -> bytes:
        """Send a request in parts; return all bytes until the close."""
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(20):
            received = await reader.read()
        writer.close()
        return received


def request(
    path: str = '/a', body: bytes = b'', headers: tuple[bytes, ...] = ()
) -> bytes:
    lines = [
        b'POST %s HTTP/1.1' % path.encode(),
        b'Host: a.example',
        b'Content-Length: %d' % len(body),
        *headers,
    ]
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def run_scenario(
    scenario: Callable[[Rig], Coroutine[Any, Any, None]], **limits: int
) -> None:
    """Run a scenario on both event loops."""

    async def main() -> None:
        rig = Rig(vm.free_ports('127.0.0.1')[0], **limits)
        await rig.server.start(rig.address)
        try:
            await scenario(rig)
        finally:
            await rig.server.close()

    for factory in (asyncio.new_event_loop, uvloop.new_event_loop):
        with asyncio.Runner(loop_factory=factory) as runner:
            runner.run(main())


class TestRequests(testtools.TestCase):
    def test_requests_of_one_connection_are_answered_in_order(self) -> None:
        """Guards against responses that clients assign to other requests."""

        async def scenario(rig: Rig) -> None:
            received = await rig.send(
                request('/1', b'x') + request('/2') + request('/last')
            )
            bodies = received.split(b'\r\n\r\n')[1:]
            self.assertEqual(
                [b'/1 x', b'/2 ', b'/last '],
                [body.partition(b'HTTP')[0] for body in bodies],
            )
            self.assertIn(b'Connection: close', received)

        run_scenario(scenario)

    def test_request_in_parts_is_complete(self) -> None:
        """Guards against a body that ends at a segment boundary."""

        async def scenario(rig: Rig) -> None:
            whole = request('/last', b'body', (b'Odd: value',))
            parts = [whole[at : at + 7] for at in range(0, len(whole), 7)]
            received = await rig.send(*parts, pause_s=0.001)
            self.assertTrue(received.endswith(b'/last body'))
            self.assertEqual('a.example', rig.requests[0].host)
            self.assertEqual('value', rig.requests[0].headers['odd'])

        run_scenario(scenario)

    def test_chunked_body_and_encoded_path_are_decoded(self) -> None:
        """Guards against clients that send another valid form."""

        async def scenario(rig: Rig) -> None:
            await rig.send(
                b'POST /l%61st?q=1 HTTP/1.1\r\nHost: a\r\n'
                b'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
                b'3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n'
            )
            self.assertEqual('/last', rig.requests[0].path)
            self.assertEqual(b'abcd', rig.requests[0].body)

        run_scenario(scenario)

    def test_client_that_waits_for_permission_gets_it(self) -> None:
        """Guards against clients that never send their body."""

        async def scenario(rig: Rig) -> None:
            received = await rig.send(
                request('/last', b'', (b'Expect: 100-continue',))
            )
            self.assertTrue(received.startswith(b'HTTP/1.1 100 Continue'))

        run_scenario(scenario)

    def test_upgrade_is_not_accepted(self) -> None:
        """Guards against bytes of another protocol that look like requests."""

        async def scenario(rig: Rig) -> None:
            upgrade = request(
                '/a', b'', (b'Connection: Upgrade', b'Upgrade: x')
            )
            received = await rig.send(upgrade + request('/b'))
            self.assertTrue(received.startswith(b'HTTP/1.1 200 OK'))
            self.assertIn(b'Connection: close', received)
            self.assertEqual(['/a'], [req.path for req in rig.requests])

        run_scenario(scenario)


class TestFailures(testtools.TestCase):
    def test_failed_request_leaves_the_connection_usable(self) -> None:
        """Guards against one error that ends the process or other requests."""

        async def scenario(rig: Rig) -> None:
            received = await rig.send(request('/fail') + request('/last'))
            self.assertIn(b'500 Internal Server Error', received)
            self.assertTrue(received.endswith(b'/last '))

        run_scenario(scenario)

    def test_disconnect_cancels_the_request(self) -> None:
        """Guards against work for a client that has left."""

        async def scenario(rig: Rig) -> None:
            rig.may_respond.clear()
            _, writer = await asyncio.open_connection(
                rig.address.host, rig.address.port
            )
            writer.write(request())
            async with asyncio.timeout(20):
                while not rig.requests:
                    await asyncio.sleep(0.01)
                writer.transport.abort()
                while not rig.cancelled:
                    await asyncio.sleep(0.01)

        run_scenario(scenario)

    def test_too_large_body_is_discarded(self) -> None:
        """Guards against unbounded memory use by one request."""

        async def scenario(rig: Rig) -> None:
            received = await rig.send(request('/last', b'x' * 100_000))
            self.assertIn(b'400 Bad Request', received)
            self.assertIsNone(rig.requests[0].body)

        run_scenario(scenario)

    def test_odd_bytes_are_rejected(self) -> None:
        """Guards against exceptions and memory use before the handler."""

        async def scenario(rig: Rig) -> None:
            for odd in (
                b'\x16\x03\x01 TLS\r\n\r\n',
                b'GET / HTTP/1.1\r\n' + b'a: b\r\n' * 10_000 + b'\r\n',
                b'GET /' + b'x' * 100_000 + b' HTTP/1.1\r\n\r\n',
                b'POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
            ):
                received = await rig.send(odd)
                self.assertTrue(received.startswith(b'HTTP/1.1 400'), odd[:40])
            self.assertEqual([], rig.requests)

        run_scenario(scenario)

    def test_slow_request_is_rejected(self) -> None:
        """Guards against connections that are held open by half a request."""

        async def scenario(rig: Rig) -> None:
            received = await rig.send(request(body=b'abc')[:-1])
            self.assertTrue(received.startswith(b'HTTP/1.1 400'))
            self.assertEqual([], rig.requests)

        run_scenario(scenario)


class TestUncontrolledClients(testtools.TestCase):
    def test_empty_lines_do_not_extend_the_deadline(self) -> None:
        """Guards against connections that stay open without a request."""

        async def scenario(rig: Rig) -> None:
            reader, writer = await asyncio.open_connection(
                rig.address.host, rig.address.port
            )
            closed = asyncio.create_task(reader.read())
            async with asyncio.timeout(5):
                while not closed.done():
                    writer.write(b'\r\n')
                    await asyncio.sleep(0.05)
            writer.close()

        run_scenario(scenario)

    def test_next_request_waits_until_the_reply_is_read(self) -> None:
        """Guards against memory use by replies that clients do not read."""

        async def scenario(rig: Rig) -> None:
            reader, writer = await asyncio.open_connection(
                rig.address.host, rig.address.port
            )
            writer.transport.pause_reading()
            writer.write(request('/big') * 6)
            await asyncio.sleep(0.5)
            self.assertEqual(1, len(rig.requests))
            writer.transport.resume_reading()
            async with asyncio.timeout(20):
                for _ in range(6):
                    await reader.readuntil(b'\r\n\r\n')
                    await reader.readexactly(len(BIG_BODY) + len('/big '))
            writer.close()

        run_scenario(scenario)

    def test_request_over_the_budget_is_refused_and_not_handled(self) -> None:
        """Guards against a refusal of a request that runs all the same."""

        async def scenario(rig: Rig) -> None:
            received = await rig.send(request('/a', b'x' * 900))
            self.assertTrue(received.startswith(b'HTTP/1.1 503'), received)
            self.assertIn(b'Retry-After: 1', received)
            self.assertEqual([], rig.requests)

        run_scenario(scenario, held_bytes=500)
