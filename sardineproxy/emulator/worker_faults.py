"""Faults of emulated workers: crashes, and paths that entry VMs lose."""

import asyncio
import random
from typing import Iterable, Mapping

from sardineproxy.emulator import deployment, fault_plans

#: Largest number of workers that a VM loses, or that restart, at a time.
MAX_WORKERS = 3

#: Longest time for which a worker that starts again at once is down, in seconds.
MAX_RESTART_S = 0.3

_Kind = fault_plans.Kind


class WorkerFaults:
    """Injects faults of workers; crashed ones start again under their id."""

    def __init__(
        self, *, emulated: deployment.Deployment, rng: random.Random
    ) -> None:
        """Create an injector for the workers of a deployment."""
        self._emulated = emulated
        self._rng = rng

    def actions(self) -> Mapping[fault_plans.Kind, fault_plans.Action]:
        """Return the action of each kind of fault."""
        return {
            _Kind.WORKERS_CUT: self._cut,
            _Kind.RACK_LOST: self._lose_rack,
            _Kind.WORKERS_RESTART: self._restart,
        }

    async def _cut(self, vm: deployment.Vm, fault: fault_plans.Fault) -> None:
        access = vm.workers
        lost = self._choose(self._emulated.workers)
        access.unreachable.update(lost)
        await asyncio.sleep(fault.duration_s)
        access.unreachable.difference_update(lost)

    async def _lose_rack(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        await self._crash(self._of_zone(vm, fault), fault.duration_s)

    async def _restart(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        await self._crash(
            self._choose(self._of_zone(vm, fault)),
            self._rng.uniform(0.05, MAX_RESTART_S),
        )

    async def _crash(self, names: list[str], down_s: float) -> None:
        crashed = [
            model
            for name in names
            for model in (self._emulated.workers[name],)
            if model.is_up
        ]
        for up in crashed:
            up.crash(self._emulated.clock.now())
        await asyncio.sleep(down_s)
        for down in crashed:
            down.restart(self._emulated.clock.now())
            self._emulated.entries.write_soon(down.worker.worker)

    def _of_zone(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> list[str]:
        """Return the workers of a fault's zone, or of a VM's without one."""
        return sorted(self._emulated.workers_of(fault.zone or vm.zone))

    def _choose(self, names: Iterable[str]) -> list[str]:
        candidates = sorted(names)
        most = min(MAX_WORKERS, len(candidates))
        return self._rng.sample(candidates, self._rng.randint(1, most))
