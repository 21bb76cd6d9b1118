"""Entry VMs: the program of the deploy file, as separate processes."""

import asyncio
import ctypes
import os
import pathlib
import signal
import socket
import tomllib

import http11

ROOT = pathlib.Path(__file__).resolve().parents[2]

_SETTINGS = '''
node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r"
port_range = [{ports[3]},{ports[3]}]
seeds = [{seeds}]
bootstrap = true
in_tolerance = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "invoke"
[zones]
{zones}
[listen_addrs]
front = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
control = "{ip}:{ports[2]}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
max_hold_ms = 1000
stop_timeout_ms = 50
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 2
checkpoint_s = 1
restore_ms = 600
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
require_fence = true
lease_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
impact_ms = 4000
retransmit_ms = 1300
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
txn_ms = 6.0
partition_writes_s = 200
row_bytes = 65536
spread = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
'''


class Vm:
    """One entry VM and its process."""

    def __init__(self, *, name, zone, ip, directory):
        self.name, self.zone, self.ip = name, zone, ip
        self.ports = _free_ports(ip, 4)
        self.front = f'{ip}:{self.ports[0]}'
        self.ready = f'{ip}:{self.ports[1]}'
        self.control = f'{ip}:{self.ports[2]}'
        self.log = directory / f'{name}.log'
        self._settings = directory / f'{name}.toml'
        self.process = None

    def write_settings(self, *, zones, seeds, store):
        """Write the settings file."""
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                ports=self.ports,
                zones='\n'.join(f'{zone} = "r"' for zone in zones),
                seeds=','.join(f'"{seed}"' for seed in seeds),
                store=store,
            )
        )

    async def start(self):
        """Start the program of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split()
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **kept,
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'SARDINEPROXY_CONFIG': str(self._settings),
                },
                preexec_fn=_end_with_parent,
            )

    async def kill(self, signum=signal.SIGKILL):
        """Send a signal to the process, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)
            await self.process.wait()

    async def is_ready(self):
        """Return whether the readiness check succeeds."""
        status, _ = await http11.call(self.ready, 'GET', '/v1/ready', timeout_s=0.5)
        return status == 200


def _end_with_parent():
    """Let the process end if the script does not end it."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def _free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for unbound in sockets:
        unbound.bind((ip, 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for sock in sockets:
        sock.close()
    return ports
