"""Faults of the soak test, and random plans of them from a seed.

Each fault ends after its duration, except for removed workers and permanently
stalled connections. Faults can overlap and recur.
"""

import asyncio
import dataclasses
import random
import signal
from typing import Awaitable, Callable

from sardineproxy.process.shards import workers
from sardineproxy.standin import relay_modes, relay_server
from tests.platform import store_server
from tests.soak import fleet, vm, worker

_Mode = relay_modes.Mode
_StoreFault = store_server.Fault

#: Grace period between SIGTERM and SIGKILL, in seconds.
GRACE_S = 6.0

#: Delay of a relay in delay mode, in milliseconds.
DELAY_MS = 120

#: Duration of a permanent stall of a connection, in seconds. To the programs
#: it never ends.
PERMANENT_S = 60


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One fault of a plan."""

    start_s: float
    kind: str
    duration_s: float


class FaultInjector:
    """Injects faults."""

    def __init__(self, *, fleet: fleet.Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._trace = fleet.trace
        self._rng = rng
        self._actions: dict[str, Callable[[float], Awaitable[None]]] = {
            'kill': self._kill,
            'terminate': self._terminate,
            'freeze': self._freeze,
            'reload': self._reload,
            'kill all': self._kill_all,
            'kill leader': self._kill_leader,
            'configuration': self._configuration,
            'store fails': self._store_fails,
            'store slow': self._store_slow,
            'store history lost': self._store_history_lost,
            'store link': self._store_link,
            'vm links': self._vm_links,
            'client connections': self._client_connections,
            'worker link': self._worker_link,
            'worker crash': self._worker_crash,
            'worker removed': self._worker_removed,
            'worker delayed': self._worker_delayed,
            'worker faulty': self._worker_faulty,
            'worker drains': self._worker_drains,
            'zone isolated': self._zone_isolated,
        }

    def draw_plan(self, *, count: int, length_s: float) -> list[Fault]:
        """Return a random plan, in the order of the start times."""
        return sorted(
            (
                Fault(
                    start_s=round(self._rng.uniform(0, length_s), 2),
                    kind=self._rng.choice(list(self._actions)),
                    duration_s=round(self._rng.uniform(0.2, 4), 2),
                )
                for _ in range(count)
            ),
            key=lambda fault: fault.start_s,
        )

    async def run_plan(self, plan: list[Fault]) -> None:
        """Inject the faults of a plan and wait until all have ended."""
        started_at = self._fleet.clock.now()
        fault_tasks = []
        for fault in plan:
            wait_s = started_at + fault.start_s - self._fleet.clock.now()
            await asyncio.sleep(max(0, wait_s))
            fault_tasks.append(
                asyncio.create_task(self._execute(fault), name=fault.kind)
            )
        await asyncio.gather(*fault_tasks)

    async def _execute(self, fault: Fault) -> None:
        await self._actions[fault.kind](fault.duration_s)

    def _choose_vm(self) -> vm.Vm:
        return self._rng.choice(list(self._fleet.vms.values()))

    def _choose_worker(self) -> worker.Worker:
        return self._rng.choice(list(self._fleet.workers.values()))

    async def _record_and_wait(
        self, target: str, kind: str, duration_s: float
    ) -> None:
        """Record a fault of a target, and wait for its duration."""
        disturbance = self._trace.record_disturbance(
            target, kind, self._fleet.clock.now()
        )
        await asyncio.sleep(duration_s)
        disturbance.ended_at = self._fleet.clock.now()

    # Processes.

    async def _kill(self, duration_s: float) -> None:
        await self._kill_and_restart(self._choose_vm(), duration_s)

    async def _kill_leader(self, duration_s: float) -> None:
        """Kill the VM that holds the newest claim of a shard."""
        claims = self._fleet.rows.read('sardineproxy', start='cell/').rows
        newest_claim = max(
            (row for row in claims if row.key.startswith('sardineproxy/cell/')),
            key=lambda row: row.revision,
            default=None,
        )
        if newest_claim is None or newest_claim.body is None:
            return
        # The first list in a claim is its owner, a VM and an incarnation.
        for entry_vm in self._fleet.vms.values():
            if (
                f'"{entry_vm.name}"'.encode()
                in newest_claim.body.split(b']')[0]
            ):
                await self._kill_and_restart(entry_vm, duration_s)

    async def _kill_all(self, duration_s: float) -> None:
        await asyncio.gather(
            *(
                self._kill_and_restart(entry_vm, duration_s)
                for entry_vm in self._fleet.vms.values()
            )
        )

    async def _kill_and_restart(self, target: vm.Vm, duration_s: float) -> None:
        disturbance = self._trace.record_disturbance(
            target.name, 'kill', self._fleet.clock.now()
        )
        await target.kill()
        await asyncio.sleep(duration_s)
        await target.start()
        disturbance.ended_at = self._fleet.clock.now()

    async def _terminate(self, duration_s: float) -> None:
        target = self._choose_vm()
        if not target.should_run:
            return
        now = self._fleet.clock.now()
        self._trace.terminations.append((target.name, now))
        disturbance = self._trace.record_disturbance(
            target.name, 'terminate', now
        )
        await target.terminate(GRACE_S)
        await asyncio.sleep(duration_s)
        await target.start()
        disturbance.ended_at = self._fleet.clock.now()

    async def _freeze(self, duration_s: float) -> None:
        target = self._choose_vm()
        target.send_signal(signal.SIGSTOP)
        await self._record_and_wait(target.name, 'freeze', duration_s)
        target.send_signal(signal.SIGCONT)

    async def _reload(self, duration_s: float) -> None:
        target = self._choose_vm()
        self._fleet.write_settings(target, extra=f'note = "{duration_s}"')
        target.send_signal(signal.SIGHUP)

    async def _configuration(self, duration_s: float) -> None:
        self._fleet.change_configuration()

    # The store.

    async def _store_fails(self, duration_s: float) -> None:
        self._fleet.store.fault = self._rng.choice(
            [fault for fault in _StoreFault if fault is not _StoreFault.NONE]
        )
        self._fleet.store.fault_probability = self._rng.choice((0.3, 1))
        kind = f'store {self._fleet.store.fault.value}'
        await self._record_and_wait('store', kind, duration_s)
        self._fleet.store.fault = _StoreFault.NONE

    async def _store_slow(self, duration_s: float) -> None:
        self._fleet.store.delay_s = self._rng.uniform(0.1, 0.5)
        await self._record_and_wait('store', 'slow', duration_s)
        self._fleet.store.delay_s = 0

    async def _store_history_lost(self, duration_s: float) -> None:
        self._fleet.rows.truncate_history()

    # Connections.

    async def _store_link(self, duration_s: float) -> None:
        target = self._choose_vm()
        await self._disturb_relay(
            target.store, target.name, 'store link', duration_s
        )

    async def _vm_links(self, duration_s: float) -> None:
        target = self._choose_vm()
        await asyncio.gather(
            *(
                self._disturb_relay(
                    target.links, entry_vm.name, 'vm links', duration_s
                )
                for entry_vm in self._fleet.vms.values()
            )
        )

    async def _client_connections(self, duration_s: float) -> None:
        target = self._choose_vm()
        target.front.apply(relay_modes.Setting(mode=_Mode.CUT))
        target.front.apply(relay_modes.Setting())
        await self._record_and_wait(target.name, 'clients reset', 0.01)

    async def _worker_link(self, duration_s: float) -> None:
        target = self._choose_worker()
        await self._disturb_relay(
            target.relay, target.name, 'worker link', duration_s
        )

    async def _zone_isolated(self, duration_s: float) -> None:
        """Stall a zone's links and its connections to the store."""
        zone = self._rng.choice(self._fleet.zones)
        setting = relay_modes.Setting(mode=_Mode.SILENT)
        zone_vms = [
            entry_vm
            for entry_vm in self._fleet.vms.values()
            if entry_vm.zone == zone
        ]
        for entry_vm in zone_vms:
            entry_vm.store.apply(setting)
            entry_vm.links.apply(setting)
        await asyncio.gather(
            *(
                self._record_and_wait(name, 'zone isolated', duration_s)
                for name in self._fleet.vms
            )
        )
        for isolated_vm in zone_vms:
            isolated_vm.store.apply(relay_modes.Setting())
            isolated_vm.links.apply(relay_modes.Setting())

    async def _disturb_relay(
        self,
        relay: relay_server.Relay,
        target: str,
        kind: str,
        duration_s: float,
    ) -> None:
        """Cut, stall or delay a relay, or stall open connections permanently."""
        mode = self._rng.choice((_Mode.CUT, _Mode.SILENT, _Mode.DELAY))
        is_permanent = mode is _Mode.SILENT and self._rng.choice((True, False))
        scope = (
            relay_modes.Scope.OPEN if is_permanent else relay_modes.Scope.ALL
        )
        relay.apply(
            relay_modes.Setting(mode=mode, scope=scope, delay_ms=DELAY_MS)
        )
        await self._record_and_wait(
            target, f'{kind} {mode.value} {scope.value}', duration_s
        )
        if not is_permanent:
            relay.apply(relay_modes.Setting())

    # Workers.

    async def _worker_crash(self, duration_s: float) -> None:
        target = self._choose_worker()
        target.crash()
        await self._record_and_wait(target.name, 'crash', duration_s)
        target.restart()

    async def _worker_removed(self, duration_s: float) -> None:
        target = self._choose_worker()
        zone_workers = [
            candidate
            for candidate in self._fleet.workers.values()
            if candidate.zone == target.zone
        ]
        if len(zone_workers) < 2:
            return
        self._fleet.workers.pop(target.name)
        self._fleet.removed_workers.append(target)
        target.remove()

    async def _worker_delayed(self, duration_s: float) -> None:
        target = self._choose_worker()
        target.server.order_delay_s = self._rng.uniform(0.3, 4)
        await self._record_and_wait(target.name, 'late', duration_s)
        target.server.order_delay_s = 0

    async def _worker_faulty(self, duration_s: float) -> None:
        target = self._choose_worker()
        kind = self._rng.choice(('fails', 'hangs', 'unhealthy'))
        target.fails = kind == 'fails'
        target.hangs = kind == 'hangs'
        target.server.is_unhealthy = kind == 'unhealthy'
        await self._record_and_wait(target.name, kind, duration_s)
        target.fails = False
        target.hangs = False
        target.server.is_unhealthy = False

    async def _worker_drains(self, duration_s: float) -> None:
        target = self._choose_worker()
        target.state = workers.WorkerState.DRAINING
        target.write_entry()
        self._trace.record_drain_notice(
            target.name, target.zone, self._fleet.clock.now()
        )
        await asyncio.sleep(GRACE_S)
        target.crash()
        await asyncio.sleep(duration_s)
        target.restart()
