"""Uncontrolled clients at the listeners of ``sardineproxy-node``.

Each test checks that the process survives a crowd within the memory and the
descriptors of its settings, and answers an ordinary request afterwards.
"""

import asyncio
import pathlib
import random
import tempfile
from typing import Callable

import testtools
from testtools import matchers

from tests.client_limits import crowd
from tests.soak import fleet, vm

#: Memory and descriptors in the settings. The process needs 34 MB when idle.
MEMORY_MB = 96
MAX_FDS = 1638
FEW_FDS = 400

START_TIMEOUT_S = 60

TARGET = f'/jobs/{1:016x}'
HOST = fleet.HOST

#: Prefix of a frame of the largest size on a link between VMs.
FRAME_PREFIX = (8_388_608).to_bytes(4, 'big')


class Rig:
    """One node process with a store and a worker."""

    def __init__(self, directory: pathlib.Path, max_fds: int) -> None:
        self._directory = directory
        self._max_fds = max_fds
        self.fleet = fleet.Fleet(
            directory=directory,
            rng=random.Random(1),
            zones=1,
            vms=1,
            workers=1,
        )
        self.metrics_port = 0
        self.usage: crowd.Usage

    @property
    def vm(self) -> vm.Vm:
        return self.fleet.vms['vm0']

    async def start(self) -> None:
        """Start the process with lowered limits, and wait until it is ready."""
        start_vm = vm.Vm.start
        rig = self

        async def start(target: vm.Vm) -> None:
            rig.metrics_port = vm.free_ports(target.host)[0]
            target.arguments = ('--metrics_port', str(rig.metrics_port))
            target.limits = f'memory_mb = {MEMORY_MB}\nmax_fds = {rig._max_fds}'
            rig.fleet.write_settings(target)
            await start_vm(target)

        vm.Vm.start = start  # type: ignore[method-assign]
        try:
            await self.fleet.start()
        finally:
            vm.Vm.start = start_vm  # type: ignore[method-assign]
        if not await self.fleet.wait_until_ready(START_TIMEOUT_S):
            raise TimeoutError('the process did not become ready')
        await self.complete_job(2)
        self.usage = crowd.Usage(pid=self.vm.pid)

    async def complete_job(self, number: int) -> None:
        """Submit an ordinary job until it is completed."""
        for worker in self.fleet.workers.values():
            worker.hangs = False
        url = f'http://{self.vm.host}:{self.vm.front_port}/jobs/{number:016x}'
        step = {'count': 1, 'cpu': 14_000, 'mem_mb': 64, 'estimate_ms': 300}
        job = {'spec': 'text', 'burstable': True, 'steps': [step]}
        await crowd.complete(url, job, {'Host': HOST})


Crowds = Callable[[Rig], list[tuple[int, str, int, crowd.Script]]]


class TestNode(testtools.TestCase):
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

    def check(self, make_crowds: Crowds, *, max_fds: int = MAX_FDS) -> None:
        """Run crowds and check the process during and after them."""

        async def main(directory: pathlib.Path) -> None:
            rig = Rig(directory, max_fds)
            try:
                await rig.start()
                await crowd.run(rig.usage, *make_crowds(rig))
                await rig.complete_job(3)
                self.check_usage(rig.usage, max_fds)
            finally:
                await rig.fleet.stop()
                asyncio.get_running_loop().set_exception_handler(
                    lambda *_: None
                )

        with crowd.exclusive(), tempfile.TemporaryDirectory() as name:
            asyncio.run(main(pathlib.Path(name)))

    def check_returning(self, *crowds: tuple[int, crowd.Script]) -> None:
        """Check the process beside crowds that come back when closed."""

        async def main(directory: pathlib.Path) -> None:
            rig = Rig(directory, FEW_FDS)
            try:
                await rig.start()
                await crowd.run_returning(
                    rig.usage,
                    lambda: rig.complete_job(3),
                    *(
                        (count, rig.vm.host, rig.vm.front_port, script)
                        for count, script in crowds
                    ),
                )
                await rig.complete_job(4)
                self.check_usage(rig.usage, FEW_FDS)
            finally:
                await rig.fleet.stop()
                asyncio.get_running_loop().set_exception_handler(
                    lambda *_: None
                )

        with crowd.exclusive(), tempfile.TemporaryDirectory() as name:
            asyncio.run(main(pathlib.Path(name)))

    def check_front(self, *crowds: tuple[int, crowd.Script]) -> None:
        self.check(
            lambda rig: [
                (count, rig.vm.host, rig.vm.front_port, script)
                for count, script in crowds
            ]
        )

    def test_heads_of_many_lines(self) -> None:
        self.check_front((400, crowd.sending(crowd.many_lines(TARGET, HOST))))

    def test_header_line_without_end(self) -> None:
        self.check_front(
            (60, crowd.sending(crowd.endless_line(TARGET, HOST, 2_000_000)))
        )

    def test_empty_lines_without_end(self) -> None:
        self.check_front((60, crowd.sending(b'\r\n' * 500_000)))

    def test_chunk_extension_and_trailer_without_end(self) -> None:
        start = crowd.head(TARGET, HOST, b'Transfer-Encoding: chunked')
        self.check_front(
            (40, crowd.sending(start, b'1;', b'a' * 2_000_000)),
            (40, crowd.sending(start, b'0\r\nx: ', b'a' * 2_000_000)),
        )

    def test_chunks_of_one_byte(self) -> None:
        body = crowd.chunks(TARGET, HOST, size=1, total=200_000)
        self.check_front((60, crowd.sending(body)))

    def test_large_chunks(self) -> None:
        body = crowd.chunks(TARGET, HOST, size=4000, total=260_000)
        self.check_front((400, crowd.sending(body)))

    def test_mixture(self) -> None:
        self.check_front(
            (60, crowd.sending(crowd.many_lines(TARGET, HOST))),
            (20, crowd.sending(crowd.endless_line(TARGET, HOST, 2_000_000))),
            (20, crowd.sending(b'\r\n' * 100_000)),
            (
                8,
                crowd.sending(
                    crowd.chunks(TARGET, HOST, size=1, total=100_000)
                ),
            ),
            (
                100,
                crowd.sending(
                    crowd.chunks(TARGET, HOST, size=4000, total=260_000)
                ),
            ),
        )

    def test_number_of_connections(self) -> None:
        self.check(
            lambda rig: [
                (500, rig.vm.host, rig.vm.front_port, crowd.sending(b'')),
            ],
            max_fds=FEW_FDS,
        )

    def test_silent_clients_that_come_back(self) -> None:
        self.check_returning((300, crowd.sending(b'')))

    def test_unfinished_bodies_that_come_back(self) -> None:
        start = crowd.head(TARGET, HOST, b'Content-Length: 100')
        self.check_returning((300, crowd.sending(start, b'short')))

    def test_chunks_of_one_byte_that_come_back(self) -> None:
        body = crowd.chunks(TARGET, HOST, size=1, total=200_000)
        self.check_returning((100, crowd.sending(body)))

    def test_large_chunks_that_come_back(self) -> None:
        body = crowd.chunks(TARGET, HOST, size=4000, total=260_000)
        self.check_returning((300, crowd.sending(body)))

    def test_pipelined_bodies_behind_a_waiting_job(self) -> None:
        step = b'{"count": 1, "cpu": 14000, "mem_mb": 64, "estimate_ms": 5000}'
        job = b'{"spec": "text", "burstable": true, "steps": [%s]}' % step
        length = b'Content-Length: %d'
        first = crowd.head(TARGET, HOST, length % len(job)) + job
        body = b'a' * crowd.MAX_BODY_BYTES
        later = crowd.head(TARGET, HOST, length % len(body)) + body

        def make_crowds(
            rig: Rig,
        ) -> list[tuple[int, str, int, crowd.Script]]:
            for worker in rig.fleet.workers.values():
                worker.hangs = True
            script = crowd.sending(first, later * 15)
            return [(60, rig.vm.host, rig.vm.front_port, script)]

        self.check(make_crowds)

    def test_small_requests_without_reading_the_replies(self) -> None:
        request = b'GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n'
        self.check_front(
            (20, crowd.pausing(request * 8, count=500, pause_s=0.005))
        )

    def test_metrics_port_without_reading_the_replies(self) -> None:
        request = b'GET /state HTTP/1.1\r\nHost: x\r\n\r\n'
        self.check(
            lambda rig: [
                (
                    40,
                    rig.vm.host,
                    rig.metrics_port,
                    crowd.pausing(request, count=1000, pause_s=0.01),
                )
            ]
        )

    def test_header_line_without_end_at_the_metrics_port(self) -> None:
        line = crowd.endless_line('/state', 'x', 2_000_000)
        self.check(
            lambda rig: [
                (60, rig.vm.host, rig.metrics_port, crowd.sending(line))
            ]
        )

    def test_header_line_without_end_at_the_readiness_port(self) -> None:
        line = crowd.endless_line('/v1/ready', 'x', 2_000_000)
        self.check(
            lambda rig: [
                (60, rig.vm.host, rig.vm.ready_port, crowd.sending(line))
            ]
        )

    def test_large_frame_that_stops_short_at_the_links(self) -> None:
        frame = FRAME_PREFIX + b'a' * 4_000_000
        self.check(
            lambda rig: [
                (60, rig.vm.host, rig.vm.control_port, crowd.sending(frame))
            ]
        )

    def test_number_of_connections_at_the_links(self) -> None:
        self.check(
            lambda rig: [
                (900, rig.vm.host, rig.vm.control_port, crowd.sending(b'')),
            ],
            max_fds=FEW_FDS,
        )
