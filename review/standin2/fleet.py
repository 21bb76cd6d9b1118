"""A small deployment: store, workers, entry VMs, and the network between them.

Every entry VM is a process of the deploy file's command. The connections
between VMs, and from VMs to the store, pass through proxies, so that a VM can
be cut off. The row of a VM carries the address of its proxy.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

import http_server
import store as stores
import worker as workers

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_HEADER = 'counter.example'
PREFIX = '/jobs/'

HEARTBEAT_S = 1.5

SETTINGS = '''
node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{host}"
zone = "{zone}"
region = "lombardia-nord"
port_range = [{control}, {control}]
seeds = [{seeds}]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
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
stable_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remote_factor = 2
checkpoint_s = 1
lease_ms = 3000
retransmit_ms = 1300
[platform]
address = "127.0.0.1:{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
txn_ms = 6.0
partition_writes_s = 200
row_bytes = 65536
spread = false
history_s = 20
'''


class Vm:
    """One entry VM."""

    def __init__(self, name, zone, host):
        self.name, self.zone, self.host = name, zone, host
        self.front, self.ready, self.control, self.metrics = free_ports(host)
        self.links_proxy = self.store_proxy = 0
        self.process = None


class Fleet:
    """The deployment, and the record of what was sent, answered and run."""

    def __init__(self, record_path, zones, vms, workers_by_zone):
        self.clock = time.monotonic
        self.origin = self.clock()
        self.record_file = open(record_path, 'w', encoding='utf-8')
        self.events = []
        self.zones = zones
        number = 20 + os.getpid() % 200
        self.vms = {
            name: Vm(name, zone, f'127.{number}.{index // 200}.{index + 11}')
            for index, (name, zone) in enumerate(vms.items())
        }
        self.store = stores.Store(self.clock)
        self.workers = [
            workers.Worker(clock=self.clock, record=self.record, zone=zone,
                           **settings)
            for zone, listed in workers_by_zone.items()
            for settings in listed
        ]
        failures = {}
        for listed in self.workers:
            listed.failures = failures
        self.cut = set()            # VMs that are cut off
        self.connections = set()    # (vm, other end, writers)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review2-'))
        self.tasks = []

    # Life cycle.

    async def start(self):
        store_port = await self.store.listen('127.0.0.1')
        self.store_address = ('127.0.0.1', store_port)
        self.store_server = self.store.server
        await self.store.put('op', 'config', configuration())
        for listed in self.workers:
            await listed.listen('127.0.0.1')
            self._spawn(listed.tick())
        self._spawn(self._heartbeats())
        for vm in self.vms.values():
            vm.links_proxy = await self._listen(self._relay_link, vm)
            vm.store_proxy = await self._listen(self._relay_store, vm)
        for vm in self.vms.values():
            await self._start_vm(vm)

    async def stop(self):
        for vm in self.vms.values():
            if vm.process is not None and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGKILL)
                await vm.process.wait()
        for task in self.tasks:
            task.cancel()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.directory)
        self.record_file.close()

    async def wait_ready(self, limit_s=15):
        """Wait until every VM reports itself ready and all shards are led."""
        until = self.clock() + limit_s
        while self.clock() < until:
            statuses = [
                (await http_server.request(
                    (vm.host, vm.ready), 'GET', '/v1/ready', timeout_s=1))[0]
                for vm in self.vms.values()
            ]
            led = all(self.owner(zone) for zone in self.zones)
            if led and all(status == 200 for status in statuses):
                return True
            await asyncio.sleep(0.2)
        return False

    def owner(self, zone):
        """Return the VM that the zone's claim row names."""
        claim = self.store.read_json('sardineproxy', '', f'cell/{zone}')
        return None if claim is None else claim['owner'][0]

    def record(self, kind, **fields):
        at = round(self.clock() - self.origin, 3)
        self.events.append((at, kind, fields))
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.record_file.write(f'{at:8.3f} {kind} {text}\n')
        self.record_file.flush()
        return at

    def now(self):
        return self.clock() - self.origin

    # Clients.

    async def call(self, vm, method, job, document=None, wait_ms=2500):
        """Call a VM as a client does; record the call and its answer."""
        self.record('call', method=method, job=job, vm=vm)
        target = self.vms[vm]
        status, answer = await http_server.request(
            (target.host, target.front), method, PREFIX + job,
            headers={'Host': HOST_HEADER, 'Deadline-Ms': str(wait_ms)},
            document=document, timeout_s=wait_ms / 1000 + 0.5,
        )
        self.record('answer', method=method, job=job, vm=vm, status=status,
                    state=answer.get('state'), cause=answer.get('cause', ''))
        return status, answer.get('state')

    async def count_pending(self, vm):
        """Ask a VM for the number of jobs that have not begun."""
        asked_at = self.now()
        target = self.vms[vm]
        status, answer = await http_server.request(
            (target.host, target.front), 'GET', PREFIX,
            headers={'Host': HOST_HEADER, 'Deadline-Ms': '2500'},
            timeout_s=3)
        self.record('pending', vm=vm, asked_at=asked_at, status=status,
                    pending=answer.get('pending'))

    # Network.

    def cut_off(self, vm):
        """Cut a VM off from all other VMs and the store; calls are refused."""
        self.record('cut', vm=vm)
        self.cut.add(vm)
        for ends, writers in list(self.connections):
            if vm in ends:
                for writer in writers:
                    reset(writer)

    def reconnect(self, vm):
        self.record('healed', vm=vm)
        self.cut.discard(vm)

    async def _listen(self, relay, vm):
        server = await asyncio.start_server(
            lambda reader, writer: relay(vm, reader, writer), '127.0.0.1', 0
        )
        return server.sockets[0].getsockname()[1]

    async def _relay_link(self, vm, reader, writer):
        """Relay a link to ``vm``; the first message names the VM that dials."""
        try:
            async with asyncio.timeout(2):
                first = await reader.read(4096)
        except (OSError, TimeoutError):
            first = b''
        dialer = next(
            (name for name in self.vms if name.encode() in first), ''
        )
        await self._relay(
            {vm.name, dialer}, reader, writer, (vm.host, vm.control), first
        )

    async def _relay_store(self, vm, reader, writer):
        await self._relay({vm.name}, reader, writer, self.store_address, b'',
                          rewrite=True)

    async def _relay(self, ends, reader, writer, target, first, rewrite=False):
        if ends & self.cut:
            reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*target)
        except OSError:
            reset(writer)
            return
        entry = (frozenset(ends), (writer, target_writer))
        self.connections.add(entry)
        target_writer.write(first)
        try:
            await asyncio.gather(
                pump(reader, target_writer, self._name_proxies if rewrite
                     else None),
                pump(target_reader, writer),
            )
        finally:
            self.connections.discard(entry)

    def _name_proxies(self, chunk):
        """Replace the address in a VM's own row by that of its proxy.

        The row is base64 of a JSON object, and a request fits into a chunk.
        """
        if b'member/' not in chunk or b'/v1/rows-tx' not in chunk:
            return chunk
        head, _, body = chunk.partition(b'\r\n\r\n')
        document = json.loads(body)
        for row in document['writes']:
            if row['key'].startswith('member/'):
                member = json.loads(base64.b64decode(row['value']))
                vm = self.vms[row['key'].removeprefix('member/')]
                member.update(host='127.0.0.1', port=vm.links_proxy)
                row['value'] = base64.b64encode(
                    json.dumps(member).encode()).decode()
        body = json.dumps(document).encode()
        lines = [
            line for line in head.split(b'\r\n')
            if not line.lower().startswith(b'content-length')
        ]
        lines.append(b'Content-Length: %d' % len(body))
        return b'\r\n'.join(lines) + b'\r\n\r\n' + body

    # Internals.

    def _spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def _heartbeats(self):
        """Write the workers' entries, and remove those that have lapsed."""
        beat_at = self.clock()
        while True:
            if self.clock() >= beat_at:
                beat_at += HEARTBEAT_S
                self.last_beat_at = self.now()
                for listed in self.workers:
                    if listed.is_up and not listed.is_store_cut:
                        listed.written_at = self.clock()
                        await self.store.put('servers', listed.name,
                                             listed.entry())
            for listed in self.workers:
                silent_s = self.clock() - listed.written_at
                if listed.written_at and silent_s > 3 * HEARTBEAT_S:
                    listed.written_at = 0
                    self.record('entry-removed', worker=listed.name)
                    await self.store.remove('servers', listed.name)
            await asyncio.sleep(0.05)

    async def _start_vm(self, vm):
        seeds = [other.links_proxy for other in self.vms.values()][:3]
        settings = self.directory / f'{vm.name}.toml'
        settings.write_text(SETTINGS.format(
            name=vm.name, zone=vm.zone, host=vm.host, front=vm.front,
            ready=vm.ready, control=vm.control, store=vm.store_proxy,
            seeds=', '.join(f'"127.0.0.1:{port}"' for port in seeds),
            zones='\n'.join(f'{z} = "lombardia-nord"' for z in self.zones),
        ))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        # A free port replaces the fixed one of the deploy file.
        command = [str(vm.metrics) if word == '9464' else word
                   for word in command]
        log = open(self.directory / f'{vm.name}.log', 'ab')
        vm.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/tmp'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'SARDINEPROXY_CONFIG': str(settings),
            },
        )


async def pump(reader, writer, change=None):
    try:
        while chunk := await reader.read(1 << 20):
            writer.write(change(chunk) if change else chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b'\1\0\0\0\0\0\0\0')
        except OSError:
            pass
    writer.transport.abort()


def free_ports(host):
    sockets = [socket.socket() for _ in range(4)]
    for unbound in sockets:
        unbound.bind((host, 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for sock in sockets:
        sock.close()
    return ports


def configuration(max_attempts=2, routes=()):
    """Return the operator's configuration."""
    listed = [{
        'name': 'ristampa', 'host': HOST_HEADER, 'path_prefix': PREFIX,
        'type': 'non_idempotent', 'timeout_ms': 1500, 'target_latency_ms': 60,
        'priority': 1, 'service': 'sportello', 'max_attempts': max_attempts,
        'stretch': 1.6,
    }, *routes]
    return {
        'version': 1 + len(routes), 'routes': listed,
        'services': [{'name': 'sportello', 'rejects_overload': False}],
        'limits': {'max_body_bytes': 262144},
    }


def job_ids(home, zones, count, seed):
    """Return job ids whose home shard is ``home``."""
    sys.path.insert(0, str(ROOT / 'target/deps'))
    from sardineproxy.process import rendezvous  # noqa: PLC0415

    rng = random.Random(seed)
    found = []
    while len(found) < count:
        job = f'{rng.getrandbits(64):016x}'
        if rendezvous.rank(job, zones)[0] == home:
            found.append(job)
    return found


def main(coroutine):
    """Run a case; return its exit status, 2 if it could not run.

    SIGTERM ends the case and all processes that it started.
    """
    async def guarded():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel)
        return await coroutine

    try:
        return asyncio.run(guarded())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2
