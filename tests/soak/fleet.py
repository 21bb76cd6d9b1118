"""Deployment of one run: store, workers, entry VMs and configuration."""

import asyncio
import json
import os
import pathlib
import random
from typing import Any

import aiohttp

from sardineproxy import clock, deployment
from sardineproxy.process import store
from sardineproxy.standin import row_store
from tests.platform import samples, store_server
from tests.soak import trace, vm, worker

#: Intervals of the checks of readiness and of the active version, in seconds.
CHECK_INTERVAL_S = 0.5
VERSION_CHECK_INTERVAL_S = 0.25

#: Number of failed checks in a row after which a VM gets no new clients.
MAX_FAILED_CHECKS = 2

_MEMBER = 'sardineproxy/member/'
HOST = 'jobs.example'
PROBE_HOST = 'probe.example'


class Fleet:
    """All servers and processes of a run, and the trace of the run."""

    def __init__(
        self,
        *,
        directory: pathlib.Path,
        rng: random.Random,
        zones: int,
        vms: int,
        workers: int,
    ) -> None:
        self.clock = clock.SystemClock()
        self.trace = trace.Trace()
        self.rng = rng
        self.zones = [f'zone-{number}' for number in range(zones)]
        self.rows = row_store.RowStore()
        self.store = store_server.StoreServer(rows=self.rows, rng=rng)
        self.store.rewrite = self._list_members_at_relays
        self.vms: dict[str, vm.Vm] = {}
        self.workers: dict[str, worker.Worker] = {}
        self.version = 0

        #: Workers that were removed permanently.
        self.removed_workers: list[worker.Worker] = []
        self._directory = directory
        self._vm_and_worker_counts = (vms, workers)
        self._unready: set[str] = set()
        self._failed_checks: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._session: aiohttp.ClientSession

    async def start(self) -> None:
        """Start all servers, processes and periodic checks."""
        self._session = aiohttp.ClientSession()
        port = await self.store.listen()
        address = deployment.Address(host='127.0.0.1', port=port)
        self.change_configuration()
        await self._add_workers()
        await self._add_vms(address)
        for entry_vm in self.vms.values():
            await entry_vm.start()
        self._tasks = [
            asyncio.create_task(self._check_readiness()),
            asyncio.create_task(self._watch_versions()),
            asyncio.create_task(self._watch_processes()),
        ]

    async def stop(self) -> None:
        """Kill all processes that were started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(
            *(entry_vm.kill() for entry_vm in self.vms.values())
        )
        await self._session.close()

    async def wait_until_ready(self, limit_s: float) -> bool:
        """Wait until all VMs are ready; return False after ``limit_s``."""
        until = self.clock.now() + limit_s
        while self.clock.now() < until:
            if all(await asyncio.gather(*map(self._is_ready, self.vms))):
                return True
            await asyncio.sleep(CHECK_INTERVAL_S / 2)
        return False

    def pick_vm(
        self, zone: str, rng: random.Random, excluded: vm.Vm | None = None
    ) -> vm.Vm:
        """Return a VM to which a load balancer would connect a client.

        All VMs of a zone are used if fewer than half are ready. Clients of a
        zone without ready VMs connect to ready VMs of other zones, if any.
        """
        zone_vms = [
            entry_vm for entry_vm in self.vms.values() if entry_vm.zone == zone
        ]
        ready_vms = [
            entry_vm
            for entry_vm in zone_vms
            if entry_vm.name not in self._unready
        ]
        candidates = (
            ready_vms if 2 * len(ready_vms) >= len(zone_vms) else zone_vms
        )
        if not ready_vms:
            other_zone_vms = [
                entry_vm
                for entry_vm in self.vms.values()
                if entry_vm.zone != zone
            ]
            candidates = [
                entry_vm
                for entry_vm in other_zone_vms
                if entry_vm.name not in self._unready
            ] or zone_vms
        not_excluded = [
            entry_vm for entry_vm in candidates if entry_vm is not excluded
        ]
        return rng.choice(not_excluded or candidates)

    def change_configuration(self) -> None:
        """Write a new version, with a probe route of its own, to the store."""
        self.version += 1
        number = self.version
        body = samples.configuration(
            number,
            samples.route(
                host=HOST, path_prefix='/jobs/', service=worker.SERVICE
            ),
            samples.route(
                name='probe',
                host=PROBE_HOST,
                path_prefix=f'/v{number}/',
                service=worker.SERVICE,
            ),
        )
        self.rows.put('op/config', body)
        self.trace.version_times[number] = self.clock.now()

    def all_workers(self) -> list[worker.Worker]:
        """Return all current and former workers."""
        return [*self.workers.values(), *self.removed_workers]

    def find_worker(self, name: str) -> worker.Worker:
        """Return a current or former worker by its name."""
        return next(
            candidate
            for candidate in self.all_workers()
            if candidate.name == name
        )

    def write_settings(self, target: vm.Vm, extra: str = '') -> None:
        """Replace the settings file of a VM."""
        target.write_settings(
            zones=self.zones,
            seeds=[entry_vm.ports['links'] for entry_vm in self.vms.values()][
                :3
            ],
            extra=extra,
        )

    async def _add_workers(self) -> None:
        for number in range(self._vm_and_worker_counts[1]):
            new_worker = worker.Worker(
                name=f'w{number}',
                zone=self.zones[number % len(self.zones)],
                clock=self.clock,
                rows=self.rows,
                rng=self.rng,
            )
            await new_worker.listen()
            self.workers[new_worker.name] = new_worker

    async def _add_vms(self, address: deployment.Address) -> None:
        # Concurrent runs must use different addresses.
        high, low = divmod(os.getpid() % 62_500, 250)
        for number in range(self._vm_and_worker_counts[0]):
            new_vm = vm.Vm(
                name=f'vm{number}',
                zone=self.zones[number % len(self.zones)],
                host=f'127.{high + 1}.{low + 1}.{number + 1}',
                directory=self._directory,
                store=address,
            )
            await new_vm.listen()
            self.vms[new_vm.name] = new_vm
        for entry_vm in self.vms.values():
            self.write_settings(entry_vm)

    def _list_members_at_relays(self, write: store.Write) -> store.Write:
        """Replace the listed address of a VM by that of its relay.

        Links between VMs can be disturbed there.
        """
        if not write.key.startswith(_MEMBER):
            return write
        name = write.key.removeprefix(_MEMBER)
        document: dict[str, Any] = json.loads(write.body)
        document['host'] = '127.0.0.1'
        document['port'] = self.vms[name].ports['links']
        return store.Write(key=write.key, body=json.dumps(document).encode())

    async def _is_ready(self, name: str) -> bool:
        target = self.vms[name]
        status = await self._get_status(
            target, target.ready_port, '/v1/ready', 'x'
        )
        return status == 200

    async def _get_status(
        self, target: vm.Vm, port: int, path: str, host: str
    ) -> int | None:
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                async with self._session.get(
                    f'http://{target.host}:{port}{path}', headers={'Host': host}
                ) as reply:
                    return reply.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _check_readiness(self) -> None:
        while True:
            for name in self.vms:
                self._record_readiness(
                    name, is_ready=await self._is_ready(name)
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _record_readiness(self, name: str, *, is_ready: bool) -> None:
        self._failed_checks[name] = (
            0 if is_ready else self._failed_checks.get(name, 0) + 1
        )
        if is_ready:
            self._unready.discard(name)
        elif self._failed_checks[name] >= MAX_FAILED_CHECKS:
            self._unready.add(name)

    async def _watch_versions(self) -> None:
        """Request the probe routes of the two newest versions of each VM."""
        while True:
            await asyncio.gather(*map(self._observe_version, self.vms.values()))
            await asyncio.sleep(VERSION_CHECK_INTERVAL_S)

    async def _observe_version(self, target: vm.Vm) -> None:
        for version in (self.version, self.version - 1):
            requested_at = self.clock.now()
            start = target.start_count
            status = await self._get_status(
                target, target.front_port, f'/v{version}/', PROBE_HOST
            )
            if status == 200 and target.start_count == start:
                self.trace.version_observations.append(
                    trace.VersionObservation(
                        vm=target.name,
                        start=start,
                        requested_at=requested_at,
                        replied_at=self.clock.now(),
                        version=version,
                    )
                )
                return

    async def _watch_processes(self) -> None:
        while True:
            for entry_vm in self.vms.values():
                if entry_vm.has_exited_unexpectedly():
                    entry_vm.should_run = False
                    self.trace.unexpected_exits.append(
                        f'{entry_vm.name} exited unexpectedly with status '
                        f'{entry_vm.exit_status}; see {entry_vm.log_path}'
                    )
            await asyncio.sleep(CHECK_INTERVAL_S)
