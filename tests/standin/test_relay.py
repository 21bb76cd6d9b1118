"""Tests of the stand-in relay, as a real process before an echo server."""

import asyncio
import json
import time
from typing import Awaitable, Callable

import testtools
from testtools import matchers

from sardineproxy.demo import child, deployment, parts

DELAY_MS = 100
TIMEOUT_S = 30


class _EchoRelay:
    """An echo server behind a relay."""

    def __init__(self, dep: deployment.Deployment, relay: child.Child) -> None:
        self._dep = dep
        self._relay = relay

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(
            parts.HOST, self._relay.ports['relay']
        )

    async def set_mode(self, mode: str, **extra: object) -> None:
        await self._dep.request(
            'POST', self._url('mode'), {'mode': mode, **extra}
        )

    async def wait_until(self, **expected: int) -> None:
        state: dict[str, int] = {}
        while expected != {name: state.get(name) for name in expected}:
            text = await self._dep.request('GET', self._url('state'))
            state = json.loads(text)['relay']

    def _url(self, name: str) -> str:
        port = self._relay.ports['control']
        return f'http://{parts.HOST}:{port}/control/{name}'


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while chunk := await reader.read(1000):
            writer.write(chunk)
    except ConnectionError:
        pass
    writer.close()


def _run_scenario(scenario: Callable[[_EchoRelay], Awaitable[None]]) -> None:
    async def run() -> None:
        server = await asyncio.start_server(_echo, parts.HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with server, deployment.Deployment() as dep:
            relay = await dep.start_program(
                'standin-relay', f'--target={parts.HOST}:{port}'
            )
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(_EchoRelay(dep, relay))

    asyncio.run(run())


async def _send_and_receive(
    conn: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> bytes:
    conn[1].write(b'ab')
    return await conn[0].read(2)


class RelayTest(testtools.TestCase):
    """Guards against simulated network faults that do not take effect."""

    def test_scope_open_silences_only_open_connections(self) -> None:
        async def scenario(echo_relay: _EchoRelay) -> None:
            silent_conn = await echo_relay.connect()
            self.assertThat(
                await _send_and_receive(silent_conn), matchers.Equals(b'ab')
            )
            await echo_relay.set_mode('silent', scope='open')
            pending = asyncio.create_task(_send_and_receive(silent_conn))
            new_conn = await echo_relay.connect()
            self.assertThat(
                await _send_and_receive(new_conn), matchers.Equals(b'ab')
            )
            self.assertFalse(pending.done())
            await echo_relay.set_mode('pass')
            self.assertThat(await pending, matchers.Equals(b'ab'))

        _run_scenario(scenario)

    def test_cut_resets_open_and_new_connections(self) -> None:
        async def scenario(echo_relay: _EchoRelay) -> None:
            reader, writer = await echo_relay.connect()
            await _send_and_receive((reader, writer))
            await echo_relay.set_mode('cut')
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read(1)
            # The reset of a new connection may arrive during the connect.
            with testtools.ExpectedException(ConnectionResetError):
                new_reader, _ = await echo_relay.connect()
                await new_reader.read(1)
            await echo_relay.wait_until(open=0)

        _run_scenario(scenario)

    def test_delay_applies_to_both_directions(self) -> None:
        async def scenario(echo_relay: _EchoRelay) -> None:
            await echo_relay.set_mode('delay', delay_ms=DELAY_MS)
            conn = await echo_relay.connect()
            started_at = time.monotonic()
            await _send_and_receive(conn)
            elapsed_ms = (time.monotonic() - started_at) * 1000
            self.assertThat(elapsed_ms, matchers.GreaterThan(2 * DELAY_MS - 5))

        _run_scenario(scenario)

    def test_half_close_ends_one_direction(self) -> None:
        async def scenario(echo_relay: _EchoRelay) -> None:
            reader, writer = await echo_relay.connect()
            await _send_and_receive((reader, writer))
            await echo_relay.set_mode('half_close', towards='client')
            self.assertThat(await reader.read(1), matchers.Equals(b''))
            writer.write(b'still passed')
            await echo_relay.wait_until(open=1, forwarded_bytes=4 + 12)

        _run_scenario(scenario)
