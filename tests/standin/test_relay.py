"""The stand-in relay, started as a real process, before an echo server."""

import asyncio
import json
import time
from typing import Awaitable, Callable

import testtools
from testtools import matchers

from sardineproxy.demo import child, deployment, parts

DELAY_MS = 100
LIMIT_S = 30


class _Bench:
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

    async def set_mode(self, mode: str, **more: object) -> None:
        await self._dep.request(
            'POST', self._url('mode'), {'mode': mode, **more}
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


def _run(scenario: Callable[[_Bench], Awaitable[None]]) -> None:
    async def run() -> None:
        server = await asyncio.start_server(_echo, parts.HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with server, deployment.Deployment() as dep:
            relay = await dep.start_program(
                'standin-relay', f'--target={parts.HOST}:{port}'
            )
            async with asyncio.timeout(LIMIT_S):
                await scenario(_Bench(dep, relay))

    asyncio.run(run())


async def _exchange(
    conn: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> bytes:
    conn[1].write(b'ab')
    return await conn[0].read(2)


class RelayTest(testtools.TestCase):
    """Guards against network faults that tests believe in but do not get."""

    def test_silence_holds_open_connections_only(self) -> None:
        async def scenario(bench: _Bench) -> None:
            silent = await bench.connect()
            self.assertThat(await _exchange(silent), matchers.Equals(b'ab'))
            await bench.set_mode('silent', scope='open')
            held = asyncio.create_task(_exchange(silent))
            fresh = await bench.connect()
            self.assertThat(await _exchange(fresh), matchers.Equals(b'ab'))
            self.assertFalse(held.done())
            await bench.set_mode('pass')
            self.assertThat(await held, matchers.Equals(b'ab'))

        _run(scenario)

    def test_cut_resets_open_and_new_connections(self) -> None:
        async def scenario(bench: _Bench) -> None:
            reader, writer = await bench.connect()
            await _exchange((reader, writer))
            await bench.set_mode('cut')
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read(1)
            # The reset of a new connection may arrive during the connect.
            with testtools.ExpectedException(ConnectionResetError):
                fresh, _ = await bench.connect()
                await fresh.read(1)
            await bench.wait_until(open=0)

        _run(scenario)

    def test_delay_each_way(self) -> None:
        async def scenario(bench: _Bench) -> None:
            await bench.set_mode('delay', delay_ms=DELAY_MS)
            conn = await bench.connect()
            began = time.monotonic()
            await _exchange(conn)
            took_ms = (time.monotonic() - began) * 1000
            self.assertThat(took_ms, matchers.GreaterThan(2 * DELAY_MS - 5))

        _run(scenario)

    def test_half_close_ends_one_direction(self) -> None:
        async def scenario(bench: _Bench) -> None:
            reader, writer = await bench.connect()
            await _exchange((reader, writer))
            await bench.set_mode('half_close', towards='client')
            self.assertThat(await reader.read(1), matchers.Equals(b''))
            writer.write(b'still passed')
            await bench.wait_until(open=1, forwarded_bytes=4 + 12)

        _run(scenario)
