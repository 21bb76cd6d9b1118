"""Uncontrolled clients at the listeners of ``sardineproxy-entry``.

Each test checks that the process survives a crowd within the memory and the
descriptors of its settings, and answers an ordinary request afterwards.
"""

import asyncio
from typing import Callable

import testtools
from testtools import matchers

from sardineproxy.demo import deployment, parts
from tests.client_limits import crowd
from tests.scenarios import world

#: Memory and descriptors in the settings. The process needs 57 MB when idle.
MEMORY_MB = 128
MAX_FDS = 1638
FEW_FDS = 400

TARGET = '/v1/requests'
HOST = 'callers.example'
AUTHORIZATION = b'Authorization: Bearer %s' % world.CREDENTIAL.encode()

#: Prefix of a frame of the largest size on a stream between entry processes.
FRAME_PREFIX = (8_388_608).to_bytes(4, 'big')


class Rig:
    """One entry process with a platform and an endpoint."""

    def __init__(self, dep: deployment.Deployment) -> None:
        self._dep = dep
        self.usage: crowd.Usage

    def port(self, listener: str) -> int:
        return self._dep.entries['entry-1'].process.ports[listener]

    async def start(self, max_fds: int) -> None:
        """Start the process with lowered limits, and wait until it is ready."""
        dep = self._dep
        await dep.start_platform()
        entry = await dep.start_entry(
            parts.EntrySpec(name='entry-1', zone='sondrio'),
            limits={'memory_mb': MEMORY_MB, 'max_fds': max_fds},
        )
        await dep.start_endpoints(
            [parts.EndpointSpec(name='endpoint-1', zone='sondrio')]
        )
        await dep.register()
        digest = await dep.hash_credential(world.CREDENTIAL)
        await dep.apply([{**world.CONTRACT, 'credential_sha256': [digest]}])
        await dep.wait_ready()
        self.usage = crowd.Usage(pid=entry.process.pid)
        await self.complete_request()

    async def complete_request(self) -> None:
        """Send an ordinary request until it is completed."""
        url = f'http://{parts.HOST}:{self.port("callers")}{TARGET}'
        document = {
            'method': 'GET',
            'path': '/run',
            'headers': {'X-Run-Ms': '5', 'X-Task': 'ordinary'},
            'body_text': '',
            'idempotent': True,
        }
        await crowd.complete(url, document, world.AUTHORIZATION_HEADER)


Crowds = Callable[[Rig], list[tuple[int, str, int, crowd.Script]]]


class TestEntry(testtools.TestCase):
    """Guards against clients that exhaust memory or descriptors."""

    def check_usage(self, usage: crowd.Usage, max_fds: int) -> None:
        """Check the figures of a process that has outlived a crowd."""
        usage.report(self.id())
        self.assertThat(
            usage.peak_mb, matchers.LessThan(MEMORY_MB), usage.describe()
        )
        self.assertThat(
            usage.max_fds, matchers.LessThan(max_fds), usage.describe()
        )

    def check(
        self,
        *crowds: tuple[int, crowd.Script],
        listener: str = 'callers',
        max_fds: int = MAX_FDS,
    ) -> None:
        """Run crowds and check the process during and after them."""

        async def main() -> None:
            async with deployment.Deployment() as dep:
                rig = Rig(dep)
                await rig.start(max_fds)
                await crowd.run(
                    rig.usage,
                    *(
                        (count, parts.HOST, rig.port(listener), script)
                        for count, script in crowds
                    ),
                )
                await rig.complete_request()
                self.check_usage(rig.usage, max_fds)

        with crowd.exclusive():
            asyncio.run(main())

    def check_returning(self, *crowds: tuple[int, crowd.Script]) -> None:
        """Check the process beside crowds that come back when closed."""

        async def main() -> None:
            async with deployment.Deployment() as dep:
                rig = Rig(dep)
                await rig.start(FEW_FDS)
                await crowd.run_returning(
                    rig.usage,
                    rig.complete_request,
                    *(
                        (count, parts.HOST, rig.port('callers'), script)
                        for count, script in crowds
                    ),
                )
                await rig.complete_request()
                self.check_usage(rig.usage, FEW_FDS)

        with crowd.exclusive():
            asyncio.run(main())

    def test_heads_of_many_lines(self) -> None:
        self.check((400, crowd.sending(crowd.many_lines(TARGET, HOST))))

    def test_header_line_without_end(self) -> None:
        line = crowd.endless_line(TARGET, HOST, 2_000_000)
        self.check((60, crowd.sending(line)))

    def test_empty_lines_without_end(self) -> None:
        self.check((60, crowd.sending(b'\r\n' * 500_000)))

    def test_chunk_extension_and_trailer_without_end(self) -> None:
        start = crowd.head(
            TARGET, HOST, AUTHORIZATION, b'Transfer-Encoding: chunked'
        )
        self.check(
            (100, crowd.sending(start, b'1;', b'a' * 2_000_000)),
            (100, crowd.sending(start, b'0\r\nx: ', b'a' * 2_000_000)),
        )

    def test_chunks_of_one_byte(self) -> None:
        self.check((120, self._chunks(size=1, total=200_000)))

    def test_large_chunks(self) -> None:
        self.check((400, self._chunks(size=4000, total=260_000)))

    def test_mixture(self) -> None:
        line = crowd.endless_line(TARGET, HOST, 2_000_000)
        self.check(
            (60, crowd.sending(crowd.many_lines(TARGET, HOST))),
            (20, crowd.sending(line)),
            (20, crowd.sending(b'\r\n' * 100_000)),
            (20, self._chunks(size=1, total=200_000)),
            (200, self._chunks(size=4000, total=260_000)),
        )

    def test_number_of_connections(self) -> None:
        self.check((500, crowd.sending(b'')), max_fds=FEW_FDS)

    def test_silent_clients_that_come_back(self) -> None:
        self.check_returning((300, crowd.sending(b'')))

    def test_unfinished_bodies_that_come_back(self) -> None:
        start = crowd.head(TARGET, HOST, AUTHORIZATION, b'Content-Length: 100')
        self.check_returning((300, crowd.sending(start, b'short')))

    def test_chunks_of_one_byte_that_come_back(self) -> None:
        self.check_returning((100, self._chunks(size=1, total=200_000)))

    def test_large_chunks_that_come_back(self) -> None:
        self.check_returning((300, self._chunks(size=4000, total=260_000)))

    def test_pipelined_bodies(self) -> None:
        body = b'a' * crowd.MAX_BODY_BYTES
        request = (
            crowd.head(
                TARGET, HOST, AUTHORIZATION, b'Content-Length: %d' % len(body)
            )
            + body
        )
        self.check((200, crowd.sending(request * 15)))

    def test_small_requests_without_reading_the_replies(self) -> None:
        request = b'GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n'
        self.check((20, crowd.pausing(request * 8, count=200, pause_s=0.02)))

    def test_admin_port_without_reading_the_replies(self) -> None:
        request = b'GET /state HTTP/1.1\r\nHost: x\r\n\r\n'
        self.check(
            (40, crowd.pausing(request, count=1000, pause_s=0.01)),
            listener='admin',
        )

    def test_chunks_of_one_byte_at_the_admin_port(self) -> None:
        body = crowd.chunks('/state', 'x', size=1, total=200_000)
        self.check((120, crowd.sending(body)), listener='admin')

    def test_number_of_connections_at_the_admin_port(self) -> None:
        self.check((500, crowd.sending(b'')), listener='admin', max_fds=FEW_FDS)

    def test_large_frame_that_stops_short_at_the_streams(self) -> None:
        frame = FRAME_PREFIX + b'a' * 4_000_000
        self.check((60, crowd.sending(frame)), listener='peers')

    def test_number_of_connections_at_the_streams(self) -> None:
        self.check((900, crowd.sending(b'')), listener='peers', max_fds=FEW_FDS)

    def _chunks(self, *, size: int, total: int) -> crowd.Script:
        chunk = b'%x\r\n%s\r\n' % (size, b'a' * size)
        start = crowd.head(
            TARGET, HOST, AUTHORIZATION, b'Transfer-Encoding: chunked'
        )
        return crowd.sending(start, chunk * (total // size))
