"""The measured deployment: three zones, 24 workers and 6 entry VMs."""

import asyncio
import json
from typing import Any

from sardineproxy.bench import measures
from sardineproxy.demo import caller, deployment, parts, processes, tasks

ZONES = ('sondrio', 'tirano', 'morbegno')

#: Speeds of each zone's eight workers; they differ by up to four times.
SPEEDS = (0.5, 0.7, 1, 1, 1.2, 1.4, 1.7, 2)
SLOTS = 8

#: Sizes of each zone's entry VMs.
ENTRY_SIZES = (1, 3)

#: Share of the tasks and weight of each customer of the main load.
CUSTOMERS = (('clerks', 0.5), ('archive', 0.3), ('prefecture', 0.2))
POLITE = 'polite'
RIVAL = 'rival'

#: Tasks of the rival that may wait at one entry VM; bounds the time that its
#: backlog takes to end after a phase. Other customers' queues are not reached.
RIVAL_QUEUE = 500
OTHER_QUEUE = 100_000
MAX_JOB_TASKS = 500
IDLE_LIMIT_S = 60
IDLE_POLL_S = 0.1


class Fleet:
    """A running deployment and the callers of all customers."""

    def __init__(self, dep: deployment.Deployment) -> None:
        """Use ``dep``, which the caller of this class ends."""
        self.dep = dep

    @property
    def slots(self) -> list[float]:
        """Return the speed of each slot."""
        return [
            endpoint.speed
            for endpoint in self.dep.endpoints.values()
            for _ in range(endpoint.slots)
        ]

    @property
    def capacity(self) -> float:
        """Return the run time at speed 1 that the slots do each second."""
        return sum(self.slots)

    async def start_endpoints(self) -> None:
        """Start one process of endpoints for each zone."""
        await start_endpoints(self.dep)

    async def start_entries(self) -> None:
        """Start the platform and the entry processes; apply contracts."""
        await self.dep.start_platform()
        await self.dep.register()
        await asyncio.gather(
            *(
                self.dep.start_entry(
                    parts.EntrySpec(
                        name=f'{zone}-entry-{size}', zone=zone, size=size
                    )
                )
                for zone in ZONES
                for size in ENTRY_SIZES
            )
        )
        await self.dep.register()
        contracts = await asyncio.gather(
            *(
                self._compose_contract(name)
                for name in (*dict(CUSTOMERS), POLITE, RIVAL)
            )
        )
        await self.dep.apply(contracts)
        await self.dep.wait_ready()

    def connect(self) -> dict[tuple[int, str], caller.Caller]:
        """Return a caller for each entry's index and customer."""
        return {
            (index, name): caller.Caller(
                session=self.dep.session,
                base=entry.url(''),
                credential=_credential(name),
            )
            for index, entry in enumerate(self.entries)
            for name in (*dict(CUSTOMERS), POLITE, RIVAL)
        }

    @property
    def entries(self) -> list[parts.Entry]:
        """Return the entry VMs in an order that does not vary."""
        return [entry for _, entry in sorted(self.dep.entries.items())]

    async def read_counters(self) -> measures.Counters:
        """Return the sums of all entry processes' message counters."""
        texts = await asyncio.gather(
            *(
                self.dep.request('GET', entry.admin_url('/metrics'))
                for entry in self.entries
            )
        )
        return measures.add([measures.parse_counters(text) for text in texts])

    async def read_cpu(self) -> float:
        """Return the processor seconds of all entry processes."""
        dumps = await asyncio.gather(
            *(
                self.dep.request('GET', entry.admin_url('/state'))
                for entry in self.entries
            )
        )
        return sum(float(json.loads(dump)['cpu_s']) for dump in dumps)

    async def wait_idle(self) -> None:
        """Wait until no endpoint runs a task."""
        try:
            async with asyncio.timeout(IDLE_LIMIT_S):
                while await self._count_running():
                    await asyncio.sleep(IDLE_POLL_S)
        except TimeoutError as exc:
            raise processes.DeploymentError(
                f'endpoints still run tasks after {IDLE_LIMIT_S} s'
            ) from exc

    async def read_starts(self) -> dict[str, list[dict[str, Any]]]:
        """Return and clear the starts of each endpoint."""
        names = list(self.dep.endpoints)
        records = await asyncio.gather(
            *(self.dep.read_record(name, clear=True) for name in names)
        )
        return {
            name: starts
            for name, (_, starts) in zip(names, records, strict=True)
        }

    async def _count_running(self) -> int:
        modes = await asyncio.gather(
            *(
                self.dep.request('GET', f'{endpoint.control}/mode')
                for endpoint in self.dep.endpoints.values()
            )
        )
        return sum(json.loads(mode)['running'] for mode in modes)

    async def _compose_contract(self, name: str) -> tasks.Document:
        digest = await self.dep.hash_credential(_credential(name))
        return {
            'customer': name,
            'credential_sha256': [digest],
            'weight': dict(CUSTOMERS).get(name, 1.0),
            'submit_per_s': 1_000_000.0,
            'submit_burst': 1_000_000,
            'hold': 100_000,
            'queue': RIVAL_QUEUE if name == RIVAL else OTHER_QUEUE,
            'max_job_tasks': MAX_JOB_TASKS,
        }


async def start_endpoints(dep: deployment.Deployment) -> None:
    """Start the workers of all zones, one process for each zone."""
    await asyncio.gather(
        *(
            dep.start_endpoints(
                [
                    parts.EndpointSpec(
                        name=f'{zone}-worker-{number + 1}',
                        zone=zone,
                        speed=speed,
                    )
                    for number, speed in enumerate(SPEEDS)
                ],
                slots=SLOTS,
            )
            for zone in ZONES
        )
    )


def _credential(name: str) -> str:
    return f'bench-credential-of-{name}'
