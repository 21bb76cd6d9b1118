"""Injects the faults of a plan into an emulated deployment.

The paths and the store of a VM that was cut off come back one after the other.
"""

import asyncio
import random

from sardineproxy import ids
from sardineproxy.emulator import (
    deployment,
    entry_faults,
    fault_plans,
    network,
    process_faults,
    table_store,
    worker_faults,
)

#: Longest delay of a path that comes back after others, in seconds.
HEAL_DELAY_S = 2.0

#: Bounds of the delay of a slow store, in seconds, one way.
SLOW_STORE_S = (0.02, 0.25)

#: Share of the faults that strike the leader of a zone.
LEADER_SHARE = 0.7

#: Share of the partial cuts that also cut a VM off from the store.
STORE_SHARE = 0.6

_Kind = fault_plans.Kind


class FaultInjector:
    """Injects the faults of a plan."""

    def __init__(
        self, *, emulated: deployment.Deployment, rng: random.Random
    ) -> None:
        """Create an injector that chooses VMs at random."""
        self._emulated = emulated
        self._rng = rng
        self._actions: dict[fault_plans.Kind, fault_plans.Action] = {
            _Kind.CUT: self._cut,
            _Kind.PARTLY_CUT: self._cut_partly,
            _Kind.VMS_CUT: self._cut_vms,
            _Kind.ZONE_CUT: self._cut_zone,
            _Kind.STORE_CUT: self._cut_store,
            _Kind.SLOW_STORE: self._slow_store,
            _Kind.LOST_RESPONSES: self._lose_responses,
            **process_faults.ProcessFaults(
                emulated=emulated, rng=rng
            ).actions(),
            **entry_faults.EntryFaults(emulated=emulated, rng=rng).actions(),
            **worker_faults.WorkerFaults(emulated=emulated, rng=rng).actions(),
        }

        #: Faults that have begun, one sentence each.
        self.log: list[str] = []

    async def run(self, plan: tuple[fault_plans.Fault, ...]) -> None:
        """Inject all faults, and wait until they have ended."""
        started_at = self._emulated.clock.now()
        tasks = []
        for fault in plan:
            now = self._emulated.clock.now()
            await asyncio.sleep(max(0, started_at + fault.start_s - now))
            target = self._choose_vm(fault.zone)
            self.log.append(
                f'{self._emulated.clock.now():.3f} {target.name} {fault}'
            )
            tasks.append(
                asyncio.ensure_future(self._actions[fault.kind](target, fault))
            )
        await asyncio.gather(*tasks)

    def _choose_vm(self, zone: ids.ZoneId | None) -> deployment.Vm:
        if zone is not None:
            leader = self._emulated.any_leader(zone)
            if leader is not None:
                return leader
        zone = self._rng.choice(self._emulated.zones)
        leader = self._emulated.leader(zone)
        if leader is not None and self._rng.random() < LEADER_SHARE:
            return leader
        return self._rng.choice(list(self._emulated.vms.values()))

    def _others(self, vm: deployment.Vm) -> list[deployment.Vm]:
        return [
            other for other in self._emulated.vms.values() if other is not vm
        ]

    async def _cut(self, vm: deployment.Vm, fault: fault_plans.Fault) -> None:
        await self._cut_from(vm, self._others(vm), fault, with_store=True)

    async def _cut_partly(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        others = self._others(vm)
        lost = self._rng.sample(others, self._rng.randint(1, len(others)))
        with_store = self._rng.random() < STORE_SHARE
        await self._cut_from(vm, lost, fault, with_store=with_store)

    async def _cut_vms(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        """Cut a VM and some others off from the rest; all reach the store."""
        others = self._others(vm)
        beside = self._rng.sample(others, self._rng.randint(0, len(others) - 1))
        rest = [other for other in others if other not in beside]
        await asyncio.gather(
            *(
                self._cut_from(cut, rest, fault, with_store=False)
                for cut in (vm, *beside)
            )
        )

    async def _cut_zone(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        """Cut a zone off; workers lose the store if its VMs do."""
        zone = fault.zone or vm.zone
        with_store = self._rng.random() < STORE_SHARE
        inside = [
            other for other in self._emulated.vms.values() if other.zone == zone
        ]
        outside = [
            other for other in self._emulated.vms.values() if other.zone != zone
        ]
        workers_inside = self._emulated.workers_of(zone)
        workers_outside = self._emulated.workers.keys() - workers_inside
        for cut, lost in (
            *((other, workers_outside) for other in inside),
            *((other, workers_inside) for other in outside),
        ):
            cut.workers.unreachable.update(lost)
        if with_store:
            self._emulated.entries.cut_off.update(workers_inside)
        await asyncio.gather(
            *(
                self._cut_from(other, outside, fault, with_store=with_store)
                for other in inside
            )
        )
        self._emulated.entries.cut_off.difference_update(workers_inside)
        for healed in self._emulated.vms.values():
            healed.workers.unreachable.clear()

    async def _cut_from(
        self,
        vm: deployment.Vm,
        others: list[deployment.Vm],
        fault: fault_plans.Fault,
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

    async def _cut_store(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        vm.store.access = _access(fault)
        await asyncio.sleep(fault.duration_s)
        vm.store.access = table_store.Access.OPEN

    async def _lose_responses(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        vm.store.access = table_store.Access.RESPONSES_LOST
        await asyncio.sleep(fault.duration_s)
        vm.store.access = table_store.Access.OPEN

    async def _slow_store(
        self, _: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        for vm in self._emulated.vms.values():
            vm.store.latency_s = self._rng.uniform(*SLOW_STORE_S)
        await asyncio.sleep(fault.duration_s)
        for vm in self._emulated.vms.values():
            vm.store.latency_s = deployment.STORE_LATENCY_S


def _access(fault: fault_plans.Fault) -> table_store.Access:
    if fault.is_silent:
        return table_store.Access.SILENT
    return table_store.Access.REFUSED
