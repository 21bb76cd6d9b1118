"""Complete deployment of real processes on loopback."""

import asyncio
import json
import types
from typing import Any, Mapping, Sequence

from sardineproxy.demo import child, controls, parts, processes

HOST = parts.HOST
OPERATOR = 'deployment'

#: Longest wait until all entry processes are ready.
READY_TIMEOUT_S = 60

POLL_INTERVAL_S = 0.05

#: Control path and JSON key of each fault of the stand-in platform.
PLATFORM_FAULTS = types.MappingProxyType(
    {
        'down': ('down', 'down'),
        'slow_ms': ('slow', 'ms'),
        'stale': ('stale-reads', 'stale'),
        'list_lag_s': ('list-lag', 'seconds'),
        'lose_answers': ('lose-answers', 'writes'),
    }
)


class Deployment(processes.Processes):
    """A stand-in platform, stand-in endpoints and entry processes."""

    def __init__(
        self, *, region: str = 'alpha', module: str = 'sardineproxy'
    ) -> None:
        """Prepare a deployment without processes."""
        super().__init__(module=module)
        self._region = region

        #: Whether a new entry process gets the running ones as seeds.
        self.use_seeds = True
        self.platform: child.Child | None = None
        self._vm_states: dict[str, str] = {}
        self.endpoints: dict[str, parts.Endpoint] = {}
        self.entries: dict[str, parts.Entry] = {}

    async def start_platform(self) -> child.Child:
        """Start the stand-in platform."""
        self.platform = await self.start_program(
            'standin-platform', '--host', HOST, '--port', '0'
        )
        return self.platform

    async def start_endpoints(
        self,
        specs: Sequence[parts.EndpointSpec],
        *,
        slots: int = 8,
        connections: int = 64,
    ) -> child.Child:
        """Start one process that serves all of ``specs``."""
        process = await self.start_program(
            'standin-endpoint',
            f'--host={HOST}',
            '--name=endpoint',
            f'--count={len(specs)}',
            f'--slots={slots}',
            f'--connections={connections}',
            '--speeds={0}'.format(','.join(str(spec.speed) for spec in specs)),
        )
        control = f'http://{HOST}:{process.ports["control"]}/control'
        names = [name for name in process.ports if name != 'control']
        for spec, name in zip(specs, names, strict=True):
            self.endpoints[spec.name] = parts.Endpoint(
                name=spec.name,
                zone=spec.zone,
                speed=spec.speed,
                slots=slots,
                connections=connections,
                port=process.ports[name],
                control=f'{control}/{name}',
            )
        return process

    async def start_entry(
        self, spec: parts.EntrySpec, **extra: Any
    ) -> parts.Entry:
        """Start an entry process; ``extra`` overrides settings.

        The process becomes ready when it has a version of the contracts.
        """
        path = self.directory / f'{spec.name}.json'
        settings = parts.render_settings(
            spec,
            region=self._region,
            platform_port=self._platform_port(),
            seeds=self.entries.values() if self.use_seeds else (),
        )
        path.write_text(json.dumps({**settings, **extra}), encoding='utf-8')
        process = await self.start_program('entry', '--settings', str(path))
        entry = parts.Entry(
            name=spec.name, zone=spec.zone, size=spec.size, process=process
        )
        self.entries[spec.name] = entry
        return entry

    def platform_address(self) -> str:
        """Return the stand-in platform's ``IP:port``."""
        return f'{HOST}:{self._platform_port()}'

    async def register(self) -> None:
        """Replace the platform's VM list by all entry VMs and endpoints."""
        await self.request(
            'POST', self._platform_url('vms'), {'vms': self._list_vms()}
        )

    async def set_vm_state(self, name: str, state: str) -> None:
        """Set the listed state of a VM to ``live`` or ``leaving``."""
        self._vm_states[name] = state
        await self.register()

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform by their names in PLATFORM_FAULTS."""
        for name, setting in faults.items():
            path, key = PLATFORM_FAULTS[name]
            await self.request('POST', self._platform_url(path), {key: setting})

    async def set_endpoint_mode(
        self, endpoint: str, mode: str, **extra: Any
    ) -> None:
        """Set the fault mode of an endpoint; ``normal`` ends the fault."""
        await self.request(
            'POST',
            f'{self.endpoints[endpoint].control}/mode',
            {'mode': mode, **extra},
        )

    async def read_record(
        self, endpoint: str, *, clear: bool = False
    ) -> tuple[dict[str, int], list[dict[str, Any]]]:
        """Return the summary and the starts of an endpoint's record."""
        url = f'{self.endpoints[endpoint].control}/record'
        lines = (await self.request('GET', url)).splitlines()
        if clear:
            await self.request('DELETE', url)
        summary_line, *starts = (json.loads(line) for line in lines)
        return summary_line['summary'], starts

    async def hash_credential(self, credential: str) -> str:
        """Return the hash of a credential for use in a contract."""
        return (await self.run_ctl('hash-credential', text=credential)).strip()

    async def apply(
        self, contracts: Sequence[Mapping[str, Any]], *, base: int = 0
    ) -> None:
        """Apply contracts with the operator's command line."""
        directory = self.directory / f'contracts-{base}'
        directory.mkdir()
        for contract in contracts:
            path = directory / f'{contract["customer"]}.jsonc'
            path.write_text(json.dumps(contract), encoding='utf-8')
        await self.run_ctl(
            'apply',
            str(directory),
            '--base',
            str(base),
            '--operator',
            OPERATOR,
            '--platform',
            self.platform_address(),
        )

    async def wait_ready(self) -> None:
        """Wait until every entry process reports readiness."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await asyncio.gather(
                    *(
                        self._wait_ready(entry)
                        for entry in self.entries.values()
                    )
                )
        except TimeoutError as exc:
            raise processes.DeploymentError(
                f'entry processes not ready after {READY_TIMEOUT_S} s'
            ) from exc

    async def _wait_ready(self, entry: parts.Entry) -> None:
        while not await self._is_ready(entry):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_ready(self, entry: parts.Entry) -> bool:
        if entry.process.returncode is not None:
            raise processes.DeploymentError(entry.process.describe_end())
        try:
            await controls.request(
                self.session, 'GET', entry.admin_url('/readyz')
            )
        except controls.ControlError:
            return False
        return True

    def _platform_port(self) -> int:
        if self.platform is None:
            raise processes.DeploymentError('platform is not started')
        return self.platform.ports['http']

    def _platform_url(self, name: str) -> str:
        return f'http://{HOST}:{self._platform_port()}/control/{name}'

    def _list_vms(self) -> list[parts.Document]:
        vms: tuple[parts.Endpoint | parts.Entry, ...] = (
            *self.entries.values(),
            *self.endpoints.values(),
        )
        return [
            {
                **vm.render_vm(),
                'state': self._vm_states.get(vm.name, 'live'),
                'region': self._region,
                'host': HOST,
            }
            for vm in vms
        ]
