"""One entry VM of the soak test: a real process behind relays."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys

import sardineproxy
from sardineproxy import deployment
from sardineproxy.demo import child
from sardineproxy.standin import relay_server

_SETTINGS = """
node = "{name}"
zone = "{zone}"
seeds = [{seeds}]
heartbeat_ms = 1500
port_range = [{control}, {control}]
{extra}
[zones]
{zones}
[listen_addrs]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = 1.0
cores = 1
{limits}
[bounds]
max_hold_ms = 1000
stop_timeout_ms = 50
grace_s = 6
config_apply_ms = 2000
retransmit_ms = 1300
[platform]
address = "127.0.0.1:{store}"
writes_per_s = 600
reads_per_s = 2000
"""


class Vm:
    """A node process, its settings file and the relays around it."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        host: str,
        directory: pathlib.Path,
        store: deployment.Address,
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        ports = free_ports(host)
        self.front_port = ports[0]
        self.ready_port = ports[1]
        self.control_port = ports[2]
        self.front = relay_server.Relay(host=host, port=self.front_port)
        self.links = relay_server.Relay(host=host, port=self.control_port)
        self.store = relay_server.Relay(host=store.host, port=store.port)

        #: Ports of the relays on 127.0.0.1, by relay name.
        self.ports: dict[str, int] = {}

        #: Further lines of the section ``limits`` of the settings.
        self.limits = ''

        #: Further arguments of the program.
        self.arguments: tuple[str, ...] = ()

        #: Number of starts of the process.
        self.start_count = 0

        #: True while the process must not exit.
        self.should_run = False
        self._directory = directory
        self._process: asyncio.subprocess.Process | None = None
        self._start_lock = asyncio.Lock()

    async def listen(self) -> None:
        """Open the relays."""
        for name in ('front', 'links', 'store'):
            relay: relay_server.Relay = getattr(self, name)
            self.ports[name] = await relay.listen('127.0.0.1', 0)

    @property
    def log_path(self) -> pathlib.Path:
        """Return the path of the log file."""
        return self._directory / f'{self.name}.log'

    def write_settings(
        self, *, zones: list[str], seeds: list[int], extra: str = ''
    ) -> None:
        """Replace the settings file."""
        text = _SETTINGS.format(
            name=self.name,
            zone=self.zone,
            host=self.host,
            seeds=', '.join(f'"127.0.0.1:{port}"' for port in seeds),
            zones='\n'.join(f'{zone} = "region"' for zone in zones),
            front=self.front_port,
            ready=self.ready_port,
            control=self.control_port,
            store=self.ports['store'],
            extra=extra,
            limits=self.limits,
        )
        new_path = self._settings_path.with_suffix('.new')
        new_path.write_text(text)
        new_path.replace(self._settings_path)

    async def start(self) -> None:
        """Start the process, unless an overlapping fault already has."""
        async with self._start_lock:
            if self._process is None or self._process.returncode is not None:
                self.start_count += 1
                await self._spawn()
                self.should_run = True

    async def kill(self) -> None:
        """Kill the process, and wait for its exit."""
        self.should_run = False
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def terminate(self, grace_s: float) -> None:
        """Send SIGTERM, and kill the process after the grace period."""
        self.should_run = False
        self.send_signal(signal.SIGTERM)
        assert self._process is not None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._process.wait(), grace_s)
        await self.kill()

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signum)

    @property
    def exit_status(self) -> int | None:
        """Return the last exit status, negative if a signal ended the process."""
        return None if self._process is None else self._process.returncode

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self._process is not None
        return self._process.pid

    def has_exited_unexpectedly(self) -> bool:
        """Return whether the process exited without a signal from a fault."""
        return (
            self.should_run
            and self._process is not None
            and self._process.returncode is not None
        )

    async def _spawn(self) -> None:
        root = pathlib.Path(sardineproxy.__file__).parent.parent
        with self.log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'sardineproxy',
                'node',
                *self.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'PYTHONPATH': str(root),
                    'SARDINEPROXY_CONFIG': str(self._settings_path),
                },
                preexec_fn=child.set_parent_death_signal,
            )

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._directory / f'{self.name}.toml'


def free_ports(host: str) -> tuple[int, int, int]:
    """Return three free ports of an address."""
    sockets = [socket.socket() for _ in range(3)]
    for unbound in sockets:
        unbound.bind((host, 0))
    first, second, third = (bound.getsockname()[1] for bound in sockets)
    for sock in sockets:
        sock.close()
    return first, second, third
