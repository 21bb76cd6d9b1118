"""Faults of emulated processes: freezes, kills and stops."""

import asyncio
import random
from typing import Mapping

from sardineproxy.emulator import deployment, fault_plans

#: Longest time from the end of a leader to that of its successor, in seconds.
SUCCESSOR_S = 2.0

#: Times from SIGTERM to the end of a process, in seconds, and the time that the
#: process takes to close.
DRAIN_S = (2.6, 5.5)
CLOSE_S = 0.1

_Kind = fault_plans.Kind


class ProcessFaults:
    """Injects faults of processes; killed ones start again."""

    def __init__(
        self, *, emulated: deployment.Deployment, rng: random.Random
    ) -> None:
        """Create an injector for the processes of a deployment."""
        self._emulated = emulated
        self._rng = rng

    def actions(self) -> Mapping[fault_plans.Kind, fault_plans.Action]:
        """Return the action of each kind of fault."""
        return {
            _Kind.FREEZE: self._freeze,
            _Kind.KILL: self._kill,
            _Kind.STOP: self._stop,
            _Kind.ZONE_KILL: self._kill_zone,
            _Kind.SUCCESSOR_KILL: self._kill_with_successor,
        }

    async def _freeze(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        process = vm.process
        process.freeze()
        await asyncio.sleep(fault.duration_s)
        process.resume()

    async def _kill(self, vm: deployment.Vm, fault: fault_plans.Fault) -> None:
        if vm.process.is_killed:
            return
        vm.kill()
        await asyncio.sleep(min(fault.duration_s, fault_plans.MAX_RESTART_S))
        vm.start()

    async def _stop(self, vm: deployment.Vm, fault: fault_plans.Fault) -> None:
        process = vm.process
        drain_s = self._rng.uniform(*DRAIN_S)
        shutdown_at = self._emulated.clock.now() + drain_s
        process.call(lambda: vm.node.drain(shutdown_at=shutdown_at))
        await asyncio.sleep(drain_s)
        if vm.process is process and not process.is_killed:
            process.spawn(vm.node.close())
            await asyncio.sleep(CLOSE_S)
        if vm.process is process:
            await self._kill(vm, fault)

    async def _kill_zone(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        zone = fault.zone or vm.zone
        await asyncio.gather(
            *(
                self._kill(other, fault)
                for other in self._emulated.vms.values()
                if other.zone == zone
            )
        )

    async def _kill_with_successor(
        self, vm: deployment.Vm, fault: fault_plans.Fault
    ) -> None:
        killing = asyncio.ensure_future(self._kill(vm, fault))
        await asyncio.sleep(self._rng.uniform(0, SUCCESSOR_S))
        successor = self._emulated.any_leader(fault.zone or vm.zone)
        if successor is not None:
            await self._kill(successor, fault)
        await killing
