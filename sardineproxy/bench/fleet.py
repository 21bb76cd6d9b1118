"""The deployment under test: three zones, 24 workers and 6 entry VMs."""

import asyncio
import json
from typing import Any

from sardineproxy.bench import measures
from sardineproxy.demo import caller, deployment, parts, processes, tasks

ZONES = ('sondrio', 'tirano', 'morbegno')

#: Speeds of the eight workers of each zone; the fastest is four times as fast
#: as the slowest.
SPEEDS = (0.5, 0.7, 1, 1, 1.2, 1.4, 1.7, 2)
SLOTS_PER_WORKER = 8

#: Sizes of the entry VMs of each zone.
ENTRY_SIZES = (1, 3)

#: Customers of the main load, each with its share of the tasks, which is also
#: its weight.
CUSTOMERS = (('clerks', 0.5), ('archive', 0.3), ('prefecture', 0.2))
POLITE_CUSTOMER = 'polite'
RIVAL_CUSTOMER = 'rival'

#: Queue limit of the rival at one entry VM, in tasks; it bounds the time to
#: drain the backlog after a phase. The limit of the other customers is never
#: reached.
RIVAL_QUEUE_LIMIT = 500
QUEUE_LIMIT = 100_000
MAX_JOB_TASKS = 500
IDLE_TIMEOUT_S = 60
IDLE_POLL_INTERVAL_S = 0.1


class Fleet:
    """Starts the deployment under test and reads its counters."""

    def __init__(self, dep: deployment.Deployment) -> None:
        """Use ``dep``; the code that started it must also stop it."""
        self.dep = dep

    @property
    def slot_speeds(self) -> list[float]:
        """Return the speed of each slot."""
        return [
            endpoint.speed
            for endpoint in self.dep.endpoints.values()
            for _ in range(endpoint.slots)
        ]

    @property
    def capacity(self) -> float:
        """Return the sum of the slot speeds: run time at speed 1 per second."""
        return sum(self.slot_speeds)

    async def start_endpoints(self) -> None:
        """Start one process of stand-in endpoints for each zone."""
        await start_endpoints(self.dep)

    async def start_entries(self) -> None:
        """Start the platform and entry processes and apply the contracts."""
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
                for name in (*dict(CUSTOMERS), POLITE_CUSTOMER, RIVAL_CUSTOMER)
            )
        )
        await self.dep.apply(contracts)
        await self.dep.wait_ready()

    def create_callers(self) -> dict[tuple[int, str], caller.Caller]:
        """Return a caller for each pair of entry VM index and customer."""
        return {
            (index, name): caller.Caller(
                session=self.dep.session,
                base=entry.url(''),
                credential=_credential(name),
            )
            for index, entry in enumerate(self.entries)
            for name in (*dict(CUSTOMERS), POLITE_CUSTOMER, RIVAL_CUSTOMER)
        }

    @property
    def entries(self) -> list[parts.Entry]:
        """Return the entry VMs, sorted by name."""
        return [entry for _, entry in sorted(self.dep.entries.items())]

    async def read_counters(self) -> measures.Counters:
        """Return the message counters, summed over all entry processes."""
        exposition_texts = await asyncio.gather(
            *(
                self.dep.request('GET', entry.admin_url('/metrics'))
                for entry in self.entries
            )
        )
        return measures.sum_counters(
            [measures.parse_counters(text) for text in exposition_texts]
        )

    async def read_cpu(self) -> float:
        """Return the CPU time of all entry processes, in seconds."""
        state_documents = await asyncio.gather(
            *(
                self.dep.request('GET', entry.admin_url('/state'))
                for entry in self.entries
            )
        )
        return sum(
            float(json.loads(state_document)['cpu_s'])
            for state_document in state_documents
        )

    async def wait_idle(self) -> None:
        """Wait until no endpoint runs a task."""
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                while await self._count_running_tasks():
                    await asyncio.sleep(IDLE_POLL_INTERVAL_S)
        except TimeoutError as exc:
            raise processes.DeploymentError(
                f'endpoints did not become idle within {IDLE_TIMEOUT_S} s'
            ) from exc

    async def read_and_clear_starts(self) -> dict[str, list[dict[str, Any]]]:
        """Return and clear the task starts recorded by each endpoint."""
        names = list(self.dep.endpoints)
        records = await asyncio.gather(
            *(self.dep.read_record(name, clear=True) for name in names)
        )
        return {
            name: starts
            for name, (_, starts) in zip(names, records, strict=True)
        }

    async def _count_running_tasks(self) -> int:
        mode_documents = await asyncio.gather(
            *(
                self.dep.request('GET', f'{endpoint.control}/mode')
                for endpoint in self.dep.endpoints.values()
            )
        )
        return sum(
            json.loads(document)['running'] for document in mode_documents
        )

    async def _compose_contract(self, name: str) -> tasks.Document:
        digest = await self.dep.hash_credential(_credential(name))
        return {
            'customer': name,
            'credential_sha256': [digest],
            'weight': dict(CUSTOMERS).get(name, 1.0),
            'submit_per_s': 1_000_000.0,
            'submit_burst': 1_000_000,
            'hold': 100_000,
            'queue': RIVAL_QUEUE_LIMIT
            if name == RIVAL_CUSTOMER
            else QUEUE_LIMIT,
            'max_job_tasks': MAX_JOB_TASKS,
        }


async def start_endpoints(dep: deployment.Deployment) -> None:
    """Start the workers of all zones, in one process for each zone."""
    await asyncio.gather(
        *(
            dep.start_endpoints(
                [
                    parts.EndpointSpec(
                        name=f'{zone}-worker-{index + 1}',
                        zone=zone,
                        speed=speed,
                    )
                    for index, speed in enumerate(SPEEDS)
                ],
                slots=SLOTS_PER_WORKER,
            )
            for zone in ZONES
        )
    )


def _credential(name: str) -> str:
    return f'bench-credential-of-{name}'
