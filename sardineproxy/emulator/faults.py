"""Faults of an emulated deployment, and random plans of them from a seed.

Each fault ends after its duration. Faults can overlap and recur. The paths and
the store of a VM that was cut off come back one after the other.
"""

import asyncio
import dataclasses
import enum
import random
from typing import Awaitable, Callable

from sardineproxy.emulator import deployment, network, table_store

#: Longest delay of a path that comes back after others, in seconds.
HEAL_DELAY_S = 2.0

#: Longest time for which a VM has no process after it was killed, in seconds.
MAX_RESTART_S = 4.0

#: Bounds of the delay of a slow store, in seconds, one way.
SLOW_STORE_S = (0.02, 0.25)

#: Largest number of workers that a VM loses at a time.
MAX_LOST_WORKERS = 3

#: Share of the faults that strike the leader of a zone.
LEADER_SHARE = 0.7

#: Share of the faults without a response, instead of a refusal.
SILENT_SHARE = 0.5

#: Share of the partial cuts that also cut a VM off from the store.
STORE_SHARE = 0.6


class Kind(enum.Enum):
    """What a fault does to one VM."""

    #: It loses all other VMs and the store.
    CUT = 'cut'

    #: It loses some other VMs, and perhaps the store.
    PARTLY_CUT = 'partly_cut'
    STORE_CUT = 'store_cut'
    FREEZE = 'freeze'
    KILL = 'kill'

    #: It loses some workers.
    WORKERS_CUT = 'workers_cut'

    #: The store is slow for all VMs.
    SLOW_STORE = 'slow_store'

    #: Calls to the store are carried out, but not answered.
    LOST_RESPONSES = 'lost_responses'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One fault of a plan."""

    start_s: float
    kind: Kind
    duration_s: float

    #: Whether calls and connections get no response, or are refused.
    is_silent: bool


def draw_plan(
    rng: random.Random, *, most: int, length_s: float
) -> tuple[Fault, ...]:
    """Return up to ``most`` faults within a time, in the order of their start.

    Cuts of several seconds are as frequent as short ones.
    """
    return tuple(
        sorted(
            (
                Fault(
                    start_s=rng.uniform(0, length_s),
                    kind=rng.choice(list(Kind)),
                    duration_s=rng.choice(
                        (rng.uniform(0.2, 1.5), rng.uniform(1, 12.5))
                    ),
                    is_silent=rng.random() < SILENT_SHARE,
                )
                for _ in range(rng.randint(1, most))
            ),
            key=lambda fault: fault.start_s,
        )
    )


class FaultInjector:
    """Injects the faults of a plan."""

    def __init__(
        self, *, emulated: deployment.Deployment, rng: random.Random
    ) -> None:
        """Create an injector that chooses VMs at random."""
        self._emulated = emulated
        self._rng = rng
        self._actions: dict[
            Kind, Callable[[deployment.Vm, Fault], Awaitable[None]]
        ] = {
            Kind.CUT: self._cut,
            Kind.PARTLY_CUT: self._cut_partly,
            Kind.STORE_CUT: self._cut_store,
            Kind.FREEZE: self._freeze,
            Kind.KILL: self._kill,
            Kind.WORKERS_CUT: self._cut_workers,
            Kind.SLOW_STORE: self._slow_store,
            Kind.LOST_RESPONSES: self._lose_responses,
        }

        #: Faults that have begun, one sentence each.
        self.log: list[str] = []

    async def run(self, plan: tuple[Fault, ...]) -> None:
        """Inject all faults, and wait until they have ended."""
        started_at = self._emulated.clock.now()
        tasks = []
        for fault in plan:
            now = self._emulated.clock.now()
            await asyncio.sleep(max(0, started_at + fault.start_s - now))
            target = self._choose_vm()
            self.log.append(
                f'{self._emulated.clock.now():.3f} {target.name} {fault}'
            )
            tasks.append(
                asyncio.ensure_future(self._actions[fault.kind](target, fault))
            )
        await asyncio.gather(*tasks)

    def _choose_vm(self) -> deployment.Vm:
        zone = self._rng.choice(self._emulated.zones)
        leader = self._emulated.leader(zone)
        if leader is not None and self._rng.random() < LEADER_SHARE:
            return leader
        return self._rng.choice(list(self._emulated.vms.values()))

    def _others(self, vm: deployment.Vm) -> list[deployment.Vm]:
        return [
            other for other in self._emulated.vms.values() if other is not vm
        ]

    # Connections.

    async def _cut(self, vm: deployment.Vm, fault: Fault) -> None:
        await self._cut_from(vm, self._others(vm), fault, with_store=True)

    async def _cut_partly(self, vm: deployment.Vm, fault: Fault) -> None:
        others = self._others(vm)
        lost = self._rng.sample(others, self._rng.randint(1, len(others)))
        with_store = self._rng.random() < STORE_SHARE
        await self._cut_from(vm, lost, fault, with_store=with_store)

    async def _cut_from(
        self,
        vm: deployment.Vm,
        others: list[deployment.Vm],
        fault: Fault,
        *,
        with_store: bool,
    ) -> None:
        state = network.PathState.REFUSED
        if fault.is_silent:
            state = network.PathState.SILENT
        self._emulated.set_paths(vm, others, state)
        healing = [self._heal_path(vm, other) for other in others]
        if with_store:
            vm.store.access = _access(fault)
            healing.append(self._heal_store(vm))
        await asyncio.sleep(fault.duration_s)
        await asyncio.gather(*healing)

    async def _heal_path(self, vm: deployment.Vm, other: deployment.Vm) -> None:
        await self._wait_to_heal()
        self._emulated.set_paths(vm, [other], network.PathState.OPEN)

    async def _heal_store(self, vm: deployment.Vm) -> None:
        await self._wait_to_heal()
        vm.store.access = table_store.Access.OPEN

    async def _wait_to_heal(self) -> None:
        await asyncio.sleep(
            self._rng.choice((0, self._rng.uniform(0, HEAL_DELAY_S)))
        )

    async def _cut_store(self, vm: deployment.Vm, fault: Fault) -> None:
        vm.store.access = _access(fault)
        await asyncio.sleep(fault.duration_s)
        vm.store.access = table_store.Access.OPEN

    async def _lose_responses(self, vm: deployment.Vm, fault: Fault) -> None:
        vm.store.access = table_store.Access.RESPONSES_LOST
        await asyncio.sleep(fault.duration_s)
        vm.store.access = table_store.Access.OPEN

    async def _slow_store(self, _: deployment.Vm, fault: Fault) -> None:
        for vm in self._emulated.vms.values():
            vm.store.latency_s = self._rng.uniform(*SLOW_STORE_S)
        await asyncio.sleep(fault.duration_s)
        for vm in self._emulated.vms.values():
            vm.store.latency_s = deployment.STORE_LATENCY_S

    async def _cut_workers(self, vm: deployment.Vm, fault: Fault) -> None:
        access = vm.workers
        lost = self._rng.sample(
            sorted(self._emulated.workers),
            self._rng.randint(1, MAX_LOST_WORKERS),
        )
        access.unreachable.update(lost)
        await asyncio.sleep(fault.duration_s)
        access.unreachable.difference_update(lost)

    # Processes.

    async def _freeze(self, vm: deployment.Vm, fault: Fault) -> None:
        process = vm.process
        process.freeze()
        await asyncio.sleep(fault.duration_s)
        process.resume()

    async def _kill(self, vm: deployment.Vm, fault: Fault) -> None:
        if vm.process.is_killed:
            return
        vm.kill()
        await asyncio.sleep(min(fault.duration_s, MAX_RESTART_S))
        vm.start()


def _access(fault: Fault) -> table_store.Access:
    if fault.is_silent:
        return table_store.Access.SILENT
    return table_store.Access.REFUSED
