"""A small deployment on loopback: store, workers, entry VMs and the record."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import http11
import link_proxy
import store
import vm
import worker

SERVICE = 'desk'
HOST = 'desk.example'


class Deployment:
    """All parts of one run of a case."""

    def __init__(self, directory):
        self._started_at = time.monotonic()
        self.directory = directory
        self.record = []
        self.store = store.Store()
        self.vms, self.workers = [], []
        self.routes = []
        self.broken = []
        self.links = link_proxy.LinkProxies()
        number = random.SystemRandom().randrange(2**16)
        self._net = f'127.{100 + number % 100}.{1 + number // 100 % 250}'

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def note(self, text):
        """Add a line to the record."""
        self.record.append((self.now(), text))

    async def start(self, *, zones, work_of, routes, cpu=32_000):
        """Start everything.

        ``zones`` maps names to numbers of VMs and workers, and to the workers'
        kind if that is not ``a``.
        """
        address = await self.store.listen('127.0.0.1')
        self.configure(routes)
        for zone, (_, worker_count, *kind) in zones.items():
            for number in range(worker_count):
                new = worker.Worker(
                    name=f'{zone}-worker-{number + 1}',
                    zone=zone,
                    service=SERVICE,
                    work_of=work_of,
                    now=self.now,
                    cpu=cpu,
                    labels=kind or ('a',),
                )
                await new.listen('127.0.0.1', self.store)
                self.workers.append(new)
        for zone, (vm_count, *_) in zones.items():
            for number in range(vm_count):
                self.vms.append(
                    vm.Vm(
                        name=f'edge-{zone}-{number + 1}',
                        zone=zone,
                        ip=f'{self._net}.{len(self.vms) + 1}',
                        directory=self.directory,
                    )
                )
        await self.links.listen(self.vms)
        self.store.rewrite = self.links.rewrite
        for entry in self.vms:
            entry.write_settings(
                zones=list(zones),
                seeds=[self.links.addresses[other.name] for other in self.vms][:3],
                store=address,
            )
            await entry.start()
        until = time.monotonic() + 20
        while not all([await entry.is_ready() for entry in self.vms]):
            if time.monotonic() > until:
                raise RuntimeError('the VMs are not ready')
            await asyncio.sleep(0.2)
        self.note('all VMs are ready')
        await asyncio.sleep(4)

    def configure(self, routes):
        """Write the first configuration; routes are named by path prefixes."""
        self.routes = [
            {
                'name': f'queue{index}',
                'host': HOST,
                'path_prefix': prefix,
                'type': 'non_idempotent',
                'timeout_ms': 1500,
                'target_latency_ms': 60,
                'priority': 1,
                'service': SERVICE,
                'max_attempts': 3,
                'stretch': 1.6,
            }
            for index, prefix in enumerate(routes)
        ]
        self.store.put(
            'op',
            'config',
            {
                'version': 3,
                'routes': self.routes,
                'services': [{'name': SERVICE, 'rejects_overload': False}],
                'limits': {'max_body_bytes': 262_144},
            },
        )

    async def request(self, entry, method, path, document=None, timeout_s=3.0):
        """Send a client's request; note and return the answer."""
        answer = await http11.call(
            entry.front,
            method,
            path,
            headers={'Host': HOST, 'Deadline-Ms': str(int(timeout_s * 1000))},
            document=document,
            timeout_s=timeout_s + 0.5,
        )
        self.note(f'{method} {path} at {entry.name}: {answer[0]} {answer[1] or ""}')
        return answer

    def leader(self, zone):
        """Return the VM that the newest claim of a zone's workers names."""
        owner = self.store.read('sardineproxy', f'cell/{zone}')['owner'][0]
        return next((entry for entry in self.vms if entry.name == owner), None)

    def all_runs(self):
        """Return the runs of all workers by start."""
        runs = [run for one in self.workers for run in one.runs]
        return sorted(runs, key=lambda run: run.started_at)

    async def kill_and_restart(self, entry, *, after_s=0.5):
        """Kill a process; the platform starts it again after a short delay."""
        self.note(f'{entry.name} is killed (SIGKILL)')
        await entry.kill()
        await asyncio.sleep(after_s)
        await entry.start()
        self.note(f'{entry.name} is started again')

    async def stop(self):
        """End all processes that were started."""
        for entry in self.vms:
            await entry.kill()


def main(case):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it could not run."""
    folder = pathlib.Path(sys.argv[1])
    trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as name:
        status = asyncio.run(_run(case, pathlib.Path(name), folder, trouble))
    sys.exit(status)


async def _run(case, directory, folder, trouble):
    deployment = Deployment(directory)
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(case(deployment, trouble))
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, task.cancel)
    status = 2
    try:
        async with asyncio.timeout(110):
            await task
        status = 1 if deployment.broken else 0
    except (Exception, asyncio.CancelledError) as exc:
        deployment.note(f'the case could not run: {type(exc).__name__}: {exc}')
    finally:
        await deployment.stop()
    if 'KEEP_LOGS' in os.environ:
        shutil.copytree(directory, os.environ['KEEP_LOGS'], dirs_exist_ok=True)
    lines = [f'{at:8.3f} {text}' for at, text in sorted(deployment.record, key=lambda row: row[0])]
    lines.append('')
    lines.append('Runs, as the workers saw them:')
    lines.extend(run.line() for run in deployment.all_runs()[:400])
    lines.append('')
    lines.extend(deployment.broken or ['The rule held.' if status == 0 else 'No result.'])
    (folder / 'record.txt').write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines[-6:]))
    return status
