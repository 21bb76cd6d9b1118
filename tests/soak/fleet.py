"""The deployment of one run: store, workers, entry VMs and the operator."""

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

#: Time between two checks of readiness, and of the version in force.
CHECK_S = 0.5
SIGHT_S = 0.25

#: Failed checks after which a VM gets no new clients.
MAX_MISSES = 2

_MEMBER = 'sardineproxy/member/'
HOST = 'jobs.example'
PROBE_HOST = 'probe.example'


class Fleet:
    """Everything that runs, and what was seen of it."""

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
        self.store.rewrite = self._relay_members
        self.vms: dict[str, vm.Vm] = {}
        self.workers: dict[str, worker.Worker] = {}
        self.version = 0

        #: Workers that have left for good.
        self.gone: list[worker.Worker] = []
        self._directory = directory
        self._counts = (vms, workers)
        self._out: set[str] = set()
        self._misses: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._session: aiohttp.ClientSession

    async def start(self) -> None:
        """Start everything and wait until all VMs are ready."""
        self._session = aiohttp.ClientSession()
        port = await self.store.listen()
        address = deployment.Address(host='127.0.0.1', port=port)
        self.change_configuration()
        await self._add_workers()
        await self._add_vms(address)
        for each in self.vms.values():
            await each.start()
        self._tasks = [
            asyncio.create_task(self._check_readiness()),
            asyncio.create_task(self._watch_versions()),
            asyncio.create_task(self._watch_processes()),
        ]

    async def stop(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(each.kill() for each in self.vms.values()))
        await self._session.close()

    async def all_ready(self, limit_s: float) -> bool:
        """Wait until all VMs report ready."""
        until = self.clock.now() + limit_s
        while self.clock.now() < until:
            if all(await asyncio.gather(*map(self._is_ready, self.vms))):
                return True
            await asyncio.sleep(CHECK_S / 2)
        return False

    def pick(
        self, zone: str, rng: random.Random, other: vm.Vm | None = None
    ) -> vm.Vm:
        """Return a VM that the balancer would give a new connection."""
        of_zone = [each for each in self.vms.values() if each.zone == zone]
        ready = [each for each in of_zone if each.name not in self._out]
        candidates = ready if 2 * len(ready) >= len(of_zone) else of_zone
        if not ready:
            away = [each for each in self.vms.values() if each.zone != zone]
            candidates = [
                each for each in away if each.name not in self._out
            ] or of_zone
        fresh = [each for each in candidates if each is not other]
        return rng.choice(fresh or candidates)

    def change_configuration(self) -> None:
        """Put a new version into the store; it alone has its probe route."""
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
        self.trace.versions[number] = self.clock.now()

    def all_workers(self) -> list[worker.Worker]:
        """Return all workers there were."""
        return [*self.workers.values(), *self.gone]

    def find_worker(self, name: str) -> worker.Worker:
        """Return a worker by its name."""
        return next(each for each in self.all_workers() if each.name == name)

    def write_settings(self, of: vm.Vm, extra: str = '') -> None:
        """Write a VM's settings file anew."""
        of.write_settings(
            zones=self.zones,
            seeds=[each.ports['links'] for each in self.vms.values()][:3],
            extra=extra,
        )

    async def _add_workers(self) -> None:
        for number in range(self._counts[1]):
            added = worker.Worker(
                name=f'w{number}',
                zone=self.zones[number % len(self.zones)],
                clock=self.clock,
                rows=self.rows,
                rng=self.rng,
            )
            await added.listen()
            self.workers[added.name] = added

    async def _add_vms(self, address: deployment.Address) -> None:
        # Addresses of other runs at the same time must not be the same.
        high, low = divmod(os.getpid() % 62_500, 250)
        for number in range(self._counts[0]):
            added = vm.Vm(
                name=f'vm{number}',
                zone=self.zones[number % len(self.zones)],
                host=f'127.{high + 1}.{low + 1}.{number + 1}',
                directory=self._directory,
                store=address,
            )
            await added.listen()
            self.vms[added.name] = added
        for each in self.vms.values():
            self.write_settings(each)

    def _relay_members(self, write: store.Write) -> store.Write:
        """List VMs at their relays, so that links can be disturbed."""
        if not write.key.startswith(_MEMBER):
            return write
        name = write.key.removeprefix(_MEMBER)
        document: dict[str, Any] = json.loads(write.body)
        document['host'] = '127.0.0.1'
        document['port'] = self.vms[name].ports['links']
        return store.Write(key=write.key, body=json.dumps(document).encode())

    async def _is_ready(self, name: str) -> bool:
        of = self.vms[name]
        status = await self._ask(of, of.ready_port, '/v1/ready', 'x')
        return status == 200

    async def _ask(
        self, of: vm.Vm, port: int, path: str, host: str
    ) -> int | None:
        try:
            async with asyncio.timeout(CHECK_S):
                async with self._session.get(
                    f'http://{of.host}:{port}{path}', headers={'Host': host}
                ) as reply:
                    return reply.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _check_readiness(self) -> None:
        while True:
            for name in self.vms:
                self._note_readiness(name, is_ready=await self._is_ready(name))
            await asyncio.sleep(CHECK_S)

    def _note_readiness(self, name: str, *, is_ready: bool) -> None:
        self._misses[name] = 0 if is_ready else self._misses.get(name, 0) + 1
        if is_ready:
            self._out.discard(name)
        elif self._misses[name] >= MAX_MISSES:
            self._out.add(name)

    async def _watch_versions(self) -> None:
        """Ask each VM for the probe routes of the two newest versions."""
        while True:
            await asyncio.gather(*map(self._sight, self.vms.values()))
            await asyncio.sleep(SIGHT_S)

    async def _sight(self, of: vm.Vm) -> None:
        for version in (self.version, self.version - 1):
            asked_at = self.clock.now()
            start = of.starts
            status = await self._ask(
                of, of.front_port, f'/v{version}/', PROBE_HOST
            )
            if status == 200 and of.starts == start:
                self.trace.sightings.append(
                    trace.Sighting(
                        vm=of.name,
                        start=start,
                        asked_at=asked_at,
                        at=self.clock.now(),
                        version=version,
                    )
                )
                return

    async def _watch_processes(self) -> None:
        while True:
            for each in self.vms.values():
                if each.has_ended():
                    each.is_wanted = False
                    self.trace.exits.append(
                        f'{each.name} ended by itself with status '
                        f'{each.exit_status}; see {each.log_path}'
                    )
            await asyncio.sleep(CHECK_S)
