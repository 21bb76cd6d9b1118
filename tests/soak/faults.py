"""Faults of the soak, and a random series of them from a seed.

Each fault ends by itself. Faults overlap, and come more than once.
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
_Fault = store_server.Fault

#: Grace between SIGTERM and SIGKILL, in seconds.
GRACE_S = 6.0

#: Delay of relays that delay, in milliseconds.
DELAY_MS = 120

#: Time that a silenced connection stays silent, in seconds: for good, as far
#: as the programs can tell.
FOR_GOOD_S = 60


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One fault of a plan."""

    at_s: float
    kind: str
    for_s: float


class Faults:
    """Carries out faults."""

    def __init__(self, *, around: fleet.Fleet, rng: random.Random) -> None:
        self._fleet = around
        self._trace = around.trace
        self._rng = rng
        self._kinds: dict[str, Callable[[float], Awaitable[None]]] = {
            'kill': self._kill,
            'terminate': self._terminate,
            'freeze': self._freeze,
            'reload': self._reload,
            'kill all': self._kill_all,
            'kill owner': self._kill_leader,
            'configuration': self._configuration,
            'store fails': self._store_fails,
            'store slow': self._store_slow,
            'store forgets': self._store_forgets,
            'store link': self._store_link,
            'vm links': self._vm_links,
            'clients link': self._clients_link,
            'worker link': self._worker_link,
            'worker crash': self._worker_crash,
            'worker gone': self._worker_gone,
            'worker late': self._worker_late,
            'worker sick': self._worker_sick,
            'worker drains': self._worker_drains,
            'zone cut': self._zone_cut,
        }

    def draw(self, *, count: int, length_s: float) -> list[Fault]:
        """Draw a plan."""
        return sorted(
            (
                Fault(
                    at_s=round(self._rng.uniform(0, length_s), 2),
                    kind=self._rng.choice(list(self._kinds)),
                    for_s=round(self._rng.uniform(0.2, 4), 2),
                )
                for _ in range(count)
            ),
            key=lambda fault: fault.at_s,
        )

    async def play(self, plan: list[Fault]) -> None:
        """Carry out a plan and wait until all its faults have ended."""
        begin = self._fleet.clock.now()
        running = []
        for fault in plan:
            wait_s = begin + fault.at_s - self._fleet.clock.now()
            await asyncio.sleep(max(0, wait_s))
            running.append(
                asyncio.create_task(self._carry_out(fault), name=fault.kind)
            )
        await asyncio.gather(*running)

    async def _carry_out(self, fault: Fault) -> None:
        await self._kinds[fault.kind](fault.for_s)

    def _any_vm(self) -> vm.Vm:
        return self._rng.choice(list(self._fleet.vms.values()))

    def _any_worker(self) -> worker.Worker:
        return self._rng.choice(list(self._fleet.workers.values()))

    async def _hurt(self, target: str, kind: str, for_s: float) -> None:
        """Note a fault at a target and wait for its end."""
        noted = self._trace.disturb(target, kind, self._fleet.clock.now())
        await asyncio.sleep(for_s)
        noted.end = self._fleet.clock.now()

    # Processes.

    async def _kill(self, for_s: float) -> None:
        await self._down(self._any_vm(), for_s)

    async def _kill_leader(self, for_s: float) -> None:
        """Kill the VM that wrote a claim last."""
        claims = self._fleet.rows.read('sardineproxy', start='cell/').rows
        newest = max(
            (row for row in claims if row.key.startswith('sardineproxy/cell/')),
            key=lambda row: row.revision,
            default=None,
        )
        if newest is None or newest.body is None:
            return
        for each in self._fleet.vms.values():
            if f'"{each.name}"'.encode() in newest.body.split(b']')[0]:
                await self._down(each, for_s)

    async def _kill_all(self, for_s: float) -> None:
        await asyncio.gather(
            *(self._down(each, for_s) for each in self._fleet.vms.values())
        )

    async def _down(self, of: vm.Vm, for_s: float) -> None:
        noted = self._trace.disturb(of.name, 'kill', self._fleet.clock.now())
        await of.kill()
        await asyncio.sleep(for_s)
        await of.start()
        noted.end = self._fleet.clock.now()

    async def _terminate(self, for_s: float) -> None:
        of = self._any_vm()
        if not of.is_wanted:
            return
        now = self._fleet.clock.now()
        self._trace.terms.append((of.name, now))
        noted = self._trace.disturb(of.name, 'terminate', now)
        await of.terminate(GRACE_S)
        await asyncio.sleep(for_s)
        await of.start()
        noted.end = self._fleet.clock.now()

    async def _freeze(self, for_s: float) -> None:
        of = self._any_vm()
        of.send_signal(signal.SIGSTOP)
        await self._hurt(of.name, 'freeze', for_s)
        of.send_signal(signal.SIGCONT)

    async def _reload(self, for_s: float) -> None:
        of = self._any_vm()
        self._fleet.write_settings(of, extra=f'note = "{for_s}"')
        of.send_signal(signal.SIGHUP)

    async def _configuration(self, for_s: float) -> None:
        self._fleet.change_configuration()

    # The store.

    async def _store_fails(self, for_s: float) -> None:
        self._fleet.store.fault = self._rng.choice(
            [each for each in _Fault if each is not _Fault.NONE]
        )
        self._fleet.store.fault_probability = self._rng.choice((0.3, 1))
        kind = f'store {self._fleet.store.fault.value}'
        await self._hurt('store', kind, for_s)
        self._fleet.store.fault = _Fault.NONE

    async def _store_slow(self, for_s: float) -> None:
        self._fleet.store.delay_s = self._rng.uniform(0.1, 0.5)
        await self._hurt('store', 'slow', for_s)
        self._fleet.store.delay_s = 0

    async def _store_forgets(self, for_s: float) -> None:
        self._fleet.rows.truncate_history()

    # Connections.

    async def _store_link(self, for_s: float) -> None:
        of = self._any_vm()
        await self._disturb(of.store, of.name, 'store link', for_s)

    async def _vm_links(self, for_s: float) -> None:
        of = self._any_vm()
        await asyncio.gather(
            *(
                self._disturb(of.links, each.name, 'vm links', for_s)
                for each in self._fleet.vms.values()
            )
        )

    async def _clients_link(self, for_s: float) -> None:
        of = self._any_vm()
        of.front.apply(relay_modes.Setting(mode=_Mode.CUT))
        of.front.apply(relay_modes.Setting())
        await self._hurt(of.name, 'clients reset', 0.01)

    async def _worker_link(self, for_s: float) -> None:
        of = self._any_worker()
        await self._disturb(of.relay, of.name, 'worker link', for_s)

    async def _zone_cut(self, for_s: float) -> None:
        """Silence a zone's links and its ways to the store."""
        zone = self._rng.choice(self._fleet.zones)
        setting = relay_modes.Setting(mode=_Mode.SILENT)
        of_zone = [
            each for each in self._fleet.vms.values() if each.zone == zone
        ]
        for each in of_zone:
            each.store.apply(setting)
            each.links.apply(setting)
        await asyncio.gather(
            *(self._hurt(name, 'zone cut', for_s) for name in self._fleet.vms)
        )
        for cut in of_zone:
            cut.store.apply(relay_modes.Setting())
            cut.links.apply(relay_modes.Setting())

    async def _disturb(
        self, relay: relay_server.Relay, target: str, kind: str, for_s: float
    ) -> None:
        """Cut, silence or delay a relay, or silence its open connections."""
        mode = self._rng.choice((_Mode.CUT, _Mode.SILENT, _Mode.DELAY))
        for_good = mode is _Mode.SILENT and self._rng.choice((True, False))
        scope = relay_modes.Scope.OPEN if for_good else relay_modes.Scope.ALL
        relay.apply(
            relay_modes.Setting(mode=mode, scope=scope, delay_ms=DELAY_MS)
        )
        await self._hurt(target, f'{kind} {mode.value} {scope.value}', for_s)
        if not for_good:
            relay.apply(relay_modes.Setting())

    # Workers.

    async def _worker_crash(self, for_s: float) -> None:
        of = self._any_worker()
        of.crash()
        await self._hurt(of.name, 'crash', for_s)
        of.restart()

    async def _worker_gone(self, for_s: float) -> None:
        of = self._any_worker()
        of_zone = [
            each
            for each in self._fleet.workers.values()
            if each.zone == of.zone
        ]
        if len(of_zone) < 2:
            return
        self._fleet.workers.pop(of.name)
        self._fleet.gone.append(of)
        of.leave()

    async def _worker_late(self, for_s: float) -> None:
        of = self._any_worker()
        of.server.order_delay_s = self._rng.uniform(0.3, 4)
        await self._hurt(of.name, 'late', for_s)
        of.server.order_delay_s = 0

    async def _worker_sick(self, for_s: float) -> None:
        of = self._any_worker()
        kind = self._rng.choice(('fails', 'hangs', 'unhealthy'))
        of.fails = kind == 'fails'
        of.hangs = kind == 'hangs'
        of.server.is_unhealthy = kind == 'unhealthy'
        await self._hurt(of.name, kind, for_s)
        of.fails = False
        of.hangs = False
        of.server.is_unhealthy = False

    async def _worker_drains(self, for_s: float) -> None:
        of = self._any_worker()
        of.state = workers.WorkerState.DRAINING
        of.write_entry()
        self._trace.note_draining(of.name, of.zone, self._fleet.clock.now())
        await asyncio.sleep(GRACE_S)
        of.crash()
        await asyncio.sleep(for_s)
        of.restart()
