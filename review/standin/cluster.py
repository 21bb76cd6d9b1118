"""A small deployment on loopback: store, workers, entry VMs, clients, record.

The entry VMs are the project's own program, started with the command of the
deploy file at the root of the repository, with target/deps on Python's path
and the variables that the platform passes on.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from standin import http
from standin import relay as relays
from standin import store as stores
from standin import worker as workers

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LIMIT_S = 112
HOST = 'jobs.example'
PREFIX = '/jobs/'
SERVICE = 'service'
METRICS_PORT = 9464
PR_SET_PDEATHSIG = 1

SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{host}"
zone = "{zone}"
region = "region"
port_range = [{control}, {control}]
seeds = [{seeds}]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "invoke"
[zones]
{zones}
[listen_addrs]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
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
"""


class CannotRun(Exception):
    """The case could not be played."""


class Vm:
    """One entry VM: a process with its settings, and a relay for its links."""

    def __init__(self, name, zone, host):
        self.name, self.zone, self.host = name, zone, host
        self.front, self.ready, self.control = _free_ports(host)
        self.process = None
        self.relay = None
        self.store_gate = http.Gate()
        self.store_port = 0

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Cluster:
    """Everything of one run."""

    def __init__(self, folder, *, zones, vms, workers_per_zone, cpu=32000,
                 relayed=False):
        self.folder = pathlib.Path(folder)
        self.record = (self.folder / 'record.txt').open('w')
        self.started_at = time.monotonic()
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = [f'z{number}' for number in range(1, zones + 1)]
        high, low = divmod(os.getpid() % 62_500, 250)
        self._net = f'127.{high + 1}.{low + 1}'
        self.store = stores.Store(self.log)
        self.vms = {}
        self.workers = {}
        self._relayed = relayed
        self._tasks = []
        self.rng = random.Random(7)
        for zone_number, zone in enumerate(self.zones):
            for number in range(vms[zone_number]):
                name = f'edge-{zone}-{number + 1}'
                self.vms[name] = Vm(
                    name, zone, f'{self._net}.{len(self.vms) + 10}')
            for number in range(workers_per_zone[zone_number]):
                name = f'w-{zone}-{number + 1}'
                self.workers[name] = workers.Worker(
                    name=name, zone=zone, service=SERVICE, store=self.store,
                    log=self.log, cpu=cpu)

    def log(self, text):
        self.record.write(
            f'{time.monotonic() - self.started_at:8.3f} {text}\n')

    async def start(self):
        if not (ROOT / 'target' / 'deps' / 'sardineproxy').is_dir():
            raise CannotRun('target/deps is missing: run the build first')
        self.configure(1)
        self._tasks.append(asyncio.create_task(self.store.expire_entries()))
        for number, worker in enumerate(self.workers.values()):
            await worker.start(f'{self._net}.{number + 100}')
        names = list(self.vms)
        if self._relayed:
            for vm in self.vms.values():
                vm.relay = relays.Relay(vm, names)
                await vm.relay.listen(vm.host)
            self.store.translate = self._list_relay
        for vm in self.vms.values():
            vm.store_port = await self.store.listen(
                '127.0.0.1', vm.store_gate)
        for vm in self.vms.values():
            await self.start_vm(vm)
        await self.wait_ready(30)

    def configure(self, version):
        self.store.put('op', 'config', json.dumps({
            'version': version,
            'routes': [{
                'name': 'r-1', 'host': HOST, 'path_prefix': PREFIX,
                'type': 'non_idempotent', 'timeout_ms': 1500,
                'target_latency_ms': 60, 'priority': 1, 'service': SERVICE,
                'max_attempts': 2, 'stretch': 1.6}],
            'services': [{
                'name': SERVICE, 'health_path': '/healthz', 'max_conns': 64,
                'protocol': 'h1', 'tls': False, 'rejects_overload': False,
                'standby': False}],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        }).encode())

    async def start_vm(self, vm):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split()
        seeds = ', '.join(f'"{self._link_address(seed)}"'
                          for seed in list(self.vms.values())[:3])
        path = self.temp / f'{vm.name}.toml'
        path.write_text(SETTINGS.format(
            name=vm.name, zone=vm.zone, host=vm.host, front=vm.front,
            ready=vm.ready, control=vm.control, seeds=seeds,
            zones='\n'.join(f'{zone} = "region"' for zone in self.zones),
            store=f'127.0.0.1:{vm.store_port}'))
        environ = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
                   if name in os.environ}
        environ['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environ['SARDINEPROXY_CONFIG'] = str(path)
        with (self.temp / f'{vm.name}.log').open('ab') as output:
            vm.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environ, stdin=asyncio.subprocess.DEVNULL,
                stdout=output, stderr=output, preexec_fn=_end_with_parent)
        self.log(f'{vm.name}: process {vm.process.pid} started')

    async def kill_vm(self, vm):
        vm.signal(signal.SIGKILL)
        await vm.process.wait()
        self.log(f'{vm.name}: killed')

    async def freeze(self, vm, for_s):
        self.log(f'{vm.name}: SIGSTOP')
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        vm.signal(signal.SIGCONT)
        self.log(f'{vm.name}: SIGCONT')

    def cut(self, vm, *, store=True):
        """Partition a VM from all other VMs and the store, both ways.

        Clients and workers still reach it, as on the users' bench.
        """
        self.log(f'{vm.name}: cut off from all other entry VMs'
                 f'{" and from the store" if store else ""}')
        for other in self.vms.values():
            other.relay.cut(vm.name)
        if store:
            vm.store_gate.close()

    def heal(self, vm):
        self.log(f'{vm.name}: connected again')
        for other in self.vms.values():
            other.relay.heal(vm.name)
        vm.store_gate.open()

    async def wait_ready(self, limit_s):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            answers = [await self.is_ready(vm) for vm in self.vms.values()]
            if all(answers):
                self.log('all VMs are ready')
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the VMs did not get ready')

    async def is_ready(self, vm):
        status, _ = await http.call(
            vm.host, vm.ready, 'GET', '/v1/ready', headers={'Host': 'x'},
            timeout_s=1)
        return status == 200

    # Clients.

    def new_job(self):
        return f'{self.rng.getrandbits(64):016x}'

    async def submit(self, vm, job, *, work_s, count=1, cpu=14000,
                     stored=True, deadline_ms=4000, estimate_ms=None,
                     later_s=None):
        """Hand a job in; with ``later_s`` a second step follows the first."""
        step = {'count': count, 'cpu': cpu, 'mem_mb': 64,
                'estimate_ms': estimate_ms or int(work_s * 1000)}
        document = {'spec': f'work={work_s} {job}', 'steps': [step]}
        if later_s is not None:
            document['spec'] = f'work={work_s},{later_s} {job}'
            document['steps'].append({
                **step, 'estimate_ms': int(later_s * 1000), 'after': [0]})
        if not stored:
            document['burstable'] = True
        return await self._ask('POST', vm, job, deadline_ms, document)

    async def query(self, vm, job, deadline_ms=2000):
        return await self._ask('GET', vm, job, deadline_ms)

    async def _ask(self, method, vm, job, deadline_ms, document=None):
        sent_at = time.monotonic()
        status, body = await http.call(
            vm.host, vm.front, method, PREFIX + job,
            headers={'Host': HOST, 'Deadline-Ms': str(deadline_ms)},
            document=document, timeout_s=deadline_ms / 1000)
        took_s = time.monotonic() - sent_at
        self.log(f'client: {method} {job} at {vm.name} -> {status} {body} '
                 f'after {took_s:.3f} s')
        return status, body

    # The store and the workers, to trace a case and to check it.

    def claims(self):
        """Return owner and epoch of each shard's claim in the store."""
        found = {}
        for (table, _, key), (_, value) in sorted(self.store.rows.items()):
            if table == 'sardineproxy' and key.startswith('cell/'):
                claim = json.loads(value)
                found[key.removeprefix('cell/')] = (
                    claim['owner'][0], claim['epoch'])
        return found

    def log_claims(self):
        for zone, (owner, epoch) in self.claims().items():
            self.log(f'store: shard {zone} is claimed by {owner}, '
                     f'epoch {epoch}')

    def runs(self):
        return [run for worker in self.workers.values() for run in worker.runs]

    async def stop(self):
        for vm in self.vms.values():
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
        for vm in self.vms.values():
            if vm.process is not None:
                await vm.process.wait()
        self.log('all processes ended')
        self.record.close()
        if os.environ.get('KEEP'):
            sys.stdout.write(f'logs: {self.temp}\n')
        else:
            shutil.rmtree(self.temp, ignore_errors=True)

    def _link_address(self, vm):
        if vm.relay is not None:
            return f'{vm.host}:{vm.relay.port}'
        return f'{vm.host}:{vm.control}'

    def _list_relay(self, table, key, value):
        """Translate the address of a VM to that of the relay before it.

        As a router that translates addresses would: nothing else of the row
        is changed, and the relay passes everything on unless it is cut.
        """
        for vm in self.vms.values():
            value = value.replace(
                f'"port":{vm.control}'.encode(),
                f'"port":{vm.relay.port}'.encode())
        return value


def _end_with_parent():
    """Let the kernel kill this process when the script's process ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _free_ports(host):
    with socket.socket() as metrics:
        try:
            metrics.bind((host, METRICS_PORT))
        except OSError as exc:
            raise CannotRun(f'{host}:{METRICS_PORT} is in use') from exc
    sockets = [socket.socket() for _ in range(3)]
    for unbound in sockets:
        unbound.bind((host, 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def main(play, folder, **size):
    """Play a case; exit with 1 if its rule was broken, 0 if it held, else 2.

    ``play`` gets the cluster and returns the violations, one text each.
    """
    async def run():
        cluster = Cluster(folder, **size)
        cluster.log(f'TROUBLE={int(TROUBLE)}')
        try:
            async with asyncio.timeout(LIMIT_S):
                await cluster.start()
                broken = await play(cluster)
            for text in broken:
                cluster.log(f'BROKEN: {text}')
            cluster.log(f'result: {"broken" if broken else "held"}')
            return broken
        except (CannotRun, TimeoutError) as exc:
            cluster.log(f'cannot run: {exc!r}')
            sys.stdout.write(f'cannot run: {exc!r}\n')
            return None
        finally:
            with contextlib.suppress(ProcessLookupError):
                await cluster.stop()

    try:
        broken = asyncio.run(run())
    except Exception as exc:
        sys.stdout.write(f'cannot run: {exc!r}\n')
        broken = None
    code = 2
    if broken is not None:
        code = 1 if broken else 0
        for text in broken:
            sys.stdout.write(f'BROKEN: {text}\n')
        sys.stdout.write(f'the rule {"was broken" if broken else "held"}\n')
    sys.stdout.flush()
    # Without the messages of the interpreter's end on open connections.
    os._exit(code)
