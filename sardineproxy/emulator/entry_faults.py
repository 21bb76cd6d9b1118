"""Faults of the entries of emulated workers, which themselves run on."""

import asyncio
import random
from typing import Mapping

from sardineproxy.emulator import deployment, fault_plans

#: Largest number of workers whose entries one fault concerns.
MAX_WORKERS = 3

_Kind = fault_plans.Kind


class EntryFaults:
    """Injects faults of entries, which are valid again afterwards."""

    def __init__(
        self, *, emulated: deployment.Deployment, rng: random.Random
    ) -> None:
        """Create an injector for the workers of a deployment."""
        self._emulated = emulated
        self._rng = rng

    def actions(self) -> Mapping[fault_plans.Kind, fault_plans.Action]:
        """Return the action of each kind of fault."""
        return {
            _Kind.ENTRIES_SILENT: self._silence,
            _Kind.ENTRIES_MALFORMED: self._malform,
            _Kind.ENTRIES_MOVED: self._move,
        }

    async def _silence(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        lost = self._choose_workers(vm, fault)
        self._emulated.entries.cut_off.update(lost)
        await asyncio.sleep(fault.duration_s)
        self._emulated.entries.cut_off.difference_update(lost)

    async def _malform(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        struck = self._choose_workers(vm, fault)
        self._emulated.entries.malformed.update(struck)
        await asyncio.sleep(fault.duration_s)
        self._emulated.entries.malformed.difference_update(struck)

    async def _move(self, vm: deployment.Vm, fault: fault_plans.Fault) -> None:
        moved = self._choose_workers(vm, fault)
        zones = self._emulated.entries.zones
        for worker in moved:
            zones[worker] = self._rng.choice(self._emulated.zones)
        await asyncio.sleep(fault.duration_s)
        for worker in moved:
            zones.pop(worker, None)

    def _choose_workers(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> list[str]:
        """Return some workers of a fault's zone, or of a VM's without one."""
        zone = fault.zone or vm.zone
        of_zone = sorted(
            name
            for name, model in self._emulated.workers.items()
            if model.worker.zone == zone
        )
        most = min(MAX_WORKERS, len(of_zone))
        return self._rng.sample(of_zone, self._rng.randint(1, most))
