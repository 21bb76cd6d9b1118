"""The entry process: accepts jobs, and owns cells if it falls to it."""

import asyncio
import dataclasses
import random
import secrets
from typing import Callable, Coroutine

import result

from sardineproxy import clock, deployment, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics, store
from sardineproxy.process.cells import cell as cells
from sardineproxy.process.cells import fences, workers
from sardineproxy.process.membership import following, links, registry
from sardineproxy.process.node import claiming, local_link, policy
from sardineproxy.request import board, coordinator, jobs
from sardineproxy.version import in_force, routes

#: Time between two rounds of what is due, in seconds: half a beat, and less
#: for owners of cells, whose queues move on with time.
TICK_S = 0.05
OWNER_TICK_S = 0.025

#: A gap between two rounds that shows that the process stood still, in
#: seconds. Links are given up after a silence of 0.4 s.
STALL_S = 0.3

#: Time after a stall in which requests are refused, in seconds: they may
#: have been read from connections that their clients have given up.
STALL_REFUSAL_S = 0.05

#: Paces of the tables that are followed. A configuration must be in force
#: within 2 s even if one answer is lost.
CONFIG_PACE = following.Pace(wait_s=1.0, pause_s=0)
DIRECTORY_PACE = following.Pace(wait_s=5.0, pause_s=0)

#: The list of workers changes with each of their beats, so that it is asked
#: for at intervals; a leaving worker must get no orders after 2 s.
OWNER_ROSTER_PACE = following.Pace(wait_s=0, pause_s=0.8)
HEIR_ROSTER_PACE = following.Pace(wait_s=0, pause_s=1.5)

#: Pace of VMs that will not own a cell soon.
ROSTER_PACE = following.Pace(wait_s=0, pause_s=15)

#: Time for which a worker stays listed here after its entry is gone, and for
#: which the store must have answered before its list counts as complete, in
#: seconds. Entries that lapsed in an outage are back within 2 s of its end.
ROSTER_LINGER_S = 2.5

#: Age of the link to a VM of another zone after which its cell is given back,
#: in seconds.
RETURN_AFTER_S = 1.0

#: Workers that are asked before another zone's cell is claimed, and the
#: longest wait for their answers, in seconds.
REACH_SAMPLE = 3
REACH_TIMEOUT_S = 0.2

INCARNATION_BYTES = 6

#: Of two VMs the one with the lower name opens their link; the other one
#: does so after this time, in seconds.
CALL_WAIT_S = 0.5

_LOG = logs.get_logger('node')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Formats:
    """Decoders of the platform's rows."""

    configuration_table: str
    configuration_row: str
    roster_table: str
    decode_configuration: in_force.Decode
    worker_id: Callable[[store.Row], ids.WorkerId]
    decode_worker: Callable[[store.Row], result.Result[workers.Worker, str]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outside:
    """What the outside world provides, replaced by tests."""

    clock: clock.Clock
    rng: random.Random
    store: store.Store
    workers: workers.WorkerApi
    formats: Formats
    registry: metrics.Metrics


class Node:  # noqa: WPS214, WPS230
    """All parts of one entry process."""

    def __init__(
        self,
        *,
        cfg: deployment.Deployment,
        rules: policy.Policy,
        outside: Outside,
    ) -> None:
        """Prepare the process; ``start`` opens its listener for links."""
        self.cfg = cfg
        self._rules = rules
        self._clock = outside.clock
        self._rng = outside.rng
        self._store = outside.store
        self._api = outside.workers
        self._formats = outside.formats
        self.metrics = outside.registry
        now = self._clock.now()
        self.me = messages.Greeting(
            vm=cfg.vm,
            incarnation=ids.Incarnation(secrets.token_hex(INCARNATION_BYTES)),
            zone=cfg.zone,
        )
        self.member = registry.Member(
            vm=cfg.vm,
            incarnation=self.me.incarnation,
            zone=cfg.zone,
            address=cfg.peers,
            cores=cfg.cores,
        )
        self.versions = in_force.InForce(
            decode=outside.formats.decode_configuration
        )
        self.board = board.Board()
        self.directory = registry.Registry()
        self.links = links.Links(
            clock=self._clock, rng=self._rng, me=self.me, events=self
        )
        self._local = local_link.LocalLink(me=self.me, receiver=self)
        self._claiming = claiming.Claiming(
            store=self._store,
            directory=self.directory,
            me=self.member,
            on_right=self._won,
        )
        self._cells: dict[ids.CellId, cells.Cell] = {}
        self._offers: dict[ids.VmId, dict[ids.CellId, fences.Right]] = {}
        self._owners: dict[ids.CellId, ids.VmId] = {}
        self._workers: dict[ids.WorkerId, workers.Worker] = {}
        self._gone_at: dict[ids.WorkerId, float] = {}
        self._followers = self._make_followers()
        self._tasks: set[asyncio.Task[None]] = set()
        self._claims_under_way: set[ids.CellId] = set()
        self._ticked_at = now
        self._refuse_until = 0.0
        self._return_at = 0.0
        self.draining = False
        self._rooms: dict[ids.CellId, int] = {}

    async def start(self) -> None:
        """Listen for links, register, and follow the store."""
        await self.links.start(self.cfg.peers)
        self._call_others()
        self._ticked_at = self._clock.now()
        for follower in self._followers.values():
            self._spawn(follower.run())
        self._spawn(self._register())
        self._spawn(self._keep_ticking())

    def use(self, cfg: deployment.Deployment) -> None:
        """Use changed settings."""
        self.cfg = cfg
        self._call_others()

    async def close(self) -> None:
        """Stop everything."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for owned in self._cells.values():
            await owned.close()
        await self.links.close()

    # Jobs.

    def is_ready(self) -> bool:
        """Tell whether the balancer may send new connections."""
        return (
            not self.draining
            and self.versions.table is not None
            and self.home() is not None
        )

    def is_recovering(self) -> bool:
        """Tell whether requests are refused because the process stood still."""
        now = self._clock.now()
        self._check_stall(now)
        return now < self._refuse_until

    async def run_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> jobs.Outcome:
        """Run a job for a client that waits ``wait_s`` seconds."""
        now = self._clock.now()
        self.metrics.count('jobs_total', route=route.route)
        outcome = await self.board.run(
            coordinator.Coordinator(
                job=job,
                route=route,
                router=self,
                clock=self._clock,
                arrived_at=now,
                deadline=now + wait_s,
            )
        )
        took_s = self._clock.now() - now
        kind = type(outcome).__name__
        self.metrics.count('jobs_answered_total', outcome=kind)
        self.metrics.observe('job_seconds', took_s, outcome=kind)
        _LOG.info(
            'Job answered.',
            extra={
                'job': job.job,
                'route': route.route,
                'version': self.versions.number,
                'outcome': kind,
                'detail': getattr(outcome, 'detail', ''),
                'tasks': sum(step.count for step in job.steps),
                'took_s': round(took_s, 4),
                'wait_s': wait_s,
            },
        )
        return outcome

    def home(self) -> ids.CellId | None:
        """Return the cell that takes this VM's jobs."""
        own_zone = ids.CellId(self.cfg.zone)
        if own_zone in self._owners:
            return own_zone
        return min(
            self._owners,
            key=lambda other: (-self._rooms.get(other, 0), other),
            default=None,
        )

    def owner(self, cell: ids.CellId) -> link.Link | None:
        """Return the link to a cell's owner."""
        vm = self._owners.get(cell)
        if vm is None:
            return None
        return self._local if vm == self.cfg.vm else self.links.to(vm)

    # Links.

    def opened(self, opened: link.Link) -> None:
        """Exchange what both ends know."""
        opened.send(self._beat(self._clock.now()))
        opened.send(messages.StateAsk(version=self.versions.number))

    def closed(self, closed: link.Link) -> None:
        """Forget what the link told."""
        now = self._clock.now()
        for owned in self._cells.values():
            owned.link_lost(closed, now)
        if self.links.to(closed.peer.vm) is None:
            self._offers.pop(closed.peer.vm, None)
        self._choose_owners()
        for cell in self.cfg.zones:
            self.board.owner_lost(ids.CellId(cell), closed)

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Act on a message."""
        now = self._clock.now()
        match message:
            case messages.Submit():
                self._submit(source, message, now)
            case messages.Withdraw(cell=cell, job=job):
                if cell in self._cells:
                    self._cells[cell].withdraw(source, job)
            case messages.Ended() | messages.Declined():
                self.board.tell(message)
            case messages.Beat():
                self._take_beat(source, message)
            case messages.Disowned(cell=cell):
                self._offers.get(source.peer.vm, {}).pop(cell, None)
                self._choose_owners()
                self.board.owner_lost(cell, source)
            case messages.TakeOver(cell=cell):
                self._start_claim(cell)
            case messages.StateAsk(version=version):
                self._give_state(source, version)
            case messages.StateGive():
                self._take_state(source, message)
            case messages.Greeting():
                source.abort()

    # Cells.

    def superseded(self, lost: cells.Cell) -> None:
        """Give up a cell that another process has taken over."""
        if self._cells.get(lost.cell) is lost:
            self._lose(lost.cell, 'a worker knows a newer owner')

    def state(self) -> dict[str, object]:
        """Return what this process believes, for the state dump."""
        now = self._clock.now()
        return {
            'vm': self.cfg.vm,
            'incarnation': self.me.incarnation,
            'config': {
                'number': self.versions.number,
                'digest': self.versions.digest,
            },
            'ready': self.is_ready(),
            'draining': self.draining,
            'owners': dict(self._owners),
            'rooms': dict(self._rooms),
            'links': {vm: len(of_vm) for vm, of_vm in self.links.open.items()},
            'members': sorted(self.directory.members),
            'claims': {
                cell: dataclasses.asdict(claim)
                for cell, claim in self.directory.claims.items()
            },
            'jobs': self.board.state(),
            'cells': [owned.state(now) for owned in self._cells.values()],
        }

    def hand_over(self) -> None:
        """Ask other VMs to take this process's cells."""
        self.draining = True
        for cell in list(self._cells):
            self._hand_over(cell)

    # Internals.

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_followers(self) -> dict[str, following.TableFollower]:
        tables = {
            self._formats.configuration_table: (
                self._take_configuration,
                lambda: CONFIG_PACE,
            ),
            registry.TABLE: (self._take_directory, lambda: DIRECTORY_PACE),
            self._formats.roster_table: (self._take_roster, self._roster_pace),
        }
        return {
            table: following.TableFollower(
                table=table,
                source=self._store,
                pace=pace,
                clock=self._clock,
                rng=self._rng,
                metrics=self.metrics,
                on_rows=on_rows,
            )
            for table, (on_rows, pace) in tables.items()
        }

    def _roster_pace(self) -> following.Pace:
        if self._cells:
            return OWNER_ROSTER_PACE
        if self._claiming.is_heir():
            return HEIR_ROSTER_PACE
        return ROSTER_PACE

    async def _register(self) -> None:
        """Write this process's member row; repeat until it is there."""
        while True:
            answer = await self._store.transact(
                conditions=(), writes=(registry.member_write(self.member),)
            )
            if isinstance(answer, result.Ok):
                _LOG.info('Registered.', extra={'vm': self.cfg.vm})
                return
            _LOG.warning(
                'Not registered.', extra={'cause': answer.err_value.detail}
            )
            await asyncio.sleep(self._rng.uniform(0.3, 0.6))

    async def _keep_ticking(self) -> None:
        while True:
            self._tick(self._clock.now())
            await asyncio.sleep(OWNER_TICK_S if self._cells else TICK_S)

    def _tick(self, now: float) -> None:
        self._check_stall(now)
        self._ticked_at = now
        self.links.tick(now, self._beat(now))
        self._review_claims(now)
        for owned in list(self._cells.values()):
            owned.tick(now)

    def _check_stall(self, now: float) -> None:
        gap_s = now - self._ticked_at
        if gap_s < STALL_S:
            return
        self._ticked_at = now
        _LOG.warning('Process stood still.', extra={'gap_s': round(gap_s, 3)})
        self.metrics.count('stalls_total')
        self._refuse_until = now + STALL_REFUSAL_S
        self.board.stalled()
        self.links.abort_all()
        for owned in self._cells.values():
            owned.doubt_all('process stood still')

    def _beat(self, now: float) -> messages.Beat:
        return messages.Beat(
            version=self.versions.number,
            cells=tuple(
                (
                    owned.cell,
                    owned.right.epoch,
                    owned.right.rank,
                    owned.free_tasks(now),
                )
                for owned in self._cells.values()
            ),
        )

    def _take_beat(self, source: link.Link, beat: messages.Beat) -> None:
        offers = {
            cell: (fences.Right(epoch=epoch, rank=rank), free)
            for cell, epoch, rank, free in beat.cells
        }
        for cell, (_, free) in offers.items():
            self._rooms[cell] = free
        rights = {cell: right for cell, (right, _) in offers.items()}
        if self._offers.get(source.peer.vm) != rights:
            self._offers[source.peer.vm] = rights
            self._choose_owners()
        if beat.version > self.versions.number:
            source.send(messages.StateAsk(version=self.versions.number))

    def _choose_owners(self) -> None:
        """Use the owner with the highest right for each cell."""
        best: dict[ids.CellId, tuple[fences.Right, ids.VmId]] = {}
        for vm, offers in self._offers.items():
            for cell, right in offers.items():
                if cell not in best or right > best[cell][0]:
                    best[cell] = (right, vm)
        for cell, owned in list(self._cells.items()):
            if cell in best and best[cell][0] > owned.right:
                self._lose(cell, f'{best[cell][1]} has a higher right')
            else:
                best[cell] = (owned.right, self.cfg.vm)
        changed = {
            cell for cell in best if self._owners.get(cell) != best[cell][1]
        }
        self._owners = {cell: vm for cell, (_, vm) in best.items()}
        for cell in set(self._rooms).difference(best):
            self._rooms.pop(cell)
        for cell in changed:
            _LOG.info(
                'Owner of cell.',
                extra={
                    'cell': cell,
                    'owner': best[cell][1],
                    'epoch': best[cell][0].epoch,
                    'rank': best[cell][0].rank,
                },
            )
            self.board.owner_found(cell)

    def _submit(
        self, source: link.Link, asked: messages.Submit, now: float
    ) -> None:
        owned = self._cells.get(asked.cell)
        if owned is None:
            source.send(messages.Disowned(cell=asked.cell))
        else:
            owned.submit(source, asked, now)

    def _give_state(self, source: link.Link, version: int) -> None:
        newer = self.versions.number > version
        source.send(
            messages.StateGive(
                version=self.versions.number,
                configuration=self.versions.body if newer else None,
                directory=tuple(
                    (row.key, row.revision, row.body or b'')
                    for row in self.directory.rows()
                ),
            )
        )

    def _take_state(self, source: link.Link, state: messages.StateGive) -> None:
        if state.configuration is not None:
            self.versions.offer(state.configuration, source.peer.vm)
        self._take_directory(
            tuple(
                store.Row(key=key, revision=revision, body=body)
                for key, revision, body in state.directory
            )
        )

    def _take_configuration(self, rows: tuple[store.Row, ...]) -> None:
        for row in rows:
            if row.key == self._formats.configuration_row and row.body:
                self.versions.offer(row.body, 'store')

    def _take_directory(self, rows: tuple[store.Row, ...]) -> None:
        if not self.directory.offer(rows):
            return
        self._call_others()

    def _call_others(self) -> None:
        """Keep links to all members, and to the seeds while there are none."""
        others = [
            member
            for member in self.directory.members.values()
            if member.vm != self.cfg.vm
            and self._claiming.needs_link(self.cfg.vm, member.vm)
        ]
        waits_s = {
            member.address: 0 if self.cfg.vm < member.vm else CALL_WAIT_S
            for member in others
        }
        if not others:
            waits_s = {
                seed: 0 for seed in self.cfg.seeds if seed != self.cfg.peers
            }
        self.links.use(waits_s)
        if others:
            self.links.keep({member.vm for member in others})
        for member in others:
            self.links.known(member.address, member.vm)

    def _take_roster(self, rows: tuple[store.Row, ...]) -> None:
        now = self._clock.now()
        for row in rows:
            worker_id = self._formats.worker_id(row)
            if row.body is None:
                self._gone_at.setdefault(worker_id, now)
                continue
            decoded = self._formats.decode_worker(row)
            if isinstance(decoded, result.Err):
                if worker_id in self._workers:
                    _LOG.error(
                        'Entry not understood.',
                        extra={'cause': decoded.err_value},
                    )
                self._gone_at.setdefault(worker_id, now)
            else:
                self._gone_at.pop(worker_id, None)
                self._workers[worker_id] = decoded.ok_value
        self._drop_gone(now)
        for owned in self._cells.values():
            self._give_workers(owned)

    def _drop_gone(self, now: float) -> None:
        """Forget workers whose entries have been gone for long."""
        sound_since = self._roster.sound_since
        if sound_since is None:
            return
        for worker_id, gone_at in list(self._gone_at.items()):
            if now - max(gone_at, sound_since) >= ROSTER_LINGER_S:
                self._gone_at.pop(worker_id)
                self._workers.pop(worker_id, None)

    def _give_workers(self, owned: cells.Cell) -> None:
        owned.set_workers(
            self._workers_of(owned.cell), complete=self._knows_roster()
        )

    def _workers_of(self, cell: ids.CellId) -> list[workers.Worker]:
        return [
            worker for worker in self._workers.values() if worker.zone == cell
        ]

    def _knows_roster(self) -> bool:
        """Tell whether no worker can be missing from the list."""
        now = self._clock.now()
        answered_at = self._roster.answered_at
        sound_since = self._roster.sound_since
        return (
            answered_at is not None
            and sound_since is not None
            and now - answered_at < ROSTER_LINGER_S
            and now - sound_since >= ROSTER_LINGER_S
        )

    @property
    def _roster(self) -> following.TableFollower:
        return self._followers[self._formats.roster_table]

    def _review_claims(self, now: float) -> None:
        if self.draining:
            return
        self._refresh_claims(now)
        self._return_cells(now)
        in_reach = frozenset(self.links.open)
        for zone in self.cfg.zones:
            cell = ids.CellId(zone)
            vm = self._owners.get(cell)
            owner = None
            if vm is not None:
                owner = claiming.Owner(
                    vm=vm, right=fences.Right(epoch=0, rank=0)
                )
            if self._claiming.due(
                cell, owner=owner, in_reach=in_reach, now=now
            ):
                self._start_claim(cell)

    def _refresh_claims(self, now: float) -> None:
        """Write the rows of own cells anew where that is due."""
        isolated = not self.links.open and len(self.directory.members) > 1
        for cell, owned in self._cells.items():
            if self._claiming.is_stale(
                cell, owned.right, isolated=isolated, now=now
            ):
                self._start_claim(cell)

    def _return_cells(self, now: float) -> None:
        """Give cells of other zones back to VMs of those zones."""
        for cell in self._cells:
            if cell == self.cfg.zone or now < self._return_at:
                continue
            for vm, _ in self._claiming.heirs(cell):
                own = self.links.to(vm)
                if own is not None and now - own.opened_at > RETURN_AFTER_S:
                    self._return_at = now + RETURN_AFTER_S
                    own.send(messages.TakeOver(cell=cell))
                    break

    def _start_claim(self, cell: ids.CellId) -> None:
        if cell in self._claims_under_way:
            return
        self._claims_under_way.add(cell)
        self._spawn(self._claim(cell))

    async def _claim(self, cell: ids.CellId) -> None:
        try:
            if (
                cell == self.cfg.zone
                or cell in self._cells
                or await self._may_claim(cell)
            ):
                await self._claiming.claim(cell, self._clock.now())
        finally:
            self._claims_under_way.discard(cell)

    async def _may_claim(self, cell: ids.CellId) -> bool:
        """Tell whether another zone's cell may be claimed.

        If its workers cannot be reached, this VM and not the cell's owner may
        be cut off.
        """
        self._claiming.postpone(cell, self._clock.now())
        asked = self._workers_of(cell)[:REACH_SAMPLE]
        answers = await asyncio.gather(
            *(
                self._api.look(
                    worker,
                    workers.Look(fence=0, acked=0, expires_ms=None, wait_s=0),
                    timeout_s=REACH_TIMEOUT_S,
                )
                for worker in asked
            )
        )
        reached = sum(
            not isinstance(answer, workers.Unanswered) for answer in answers
        )
        _LOG.info(
            'Workers asked.',
            extra={'cell': cell, 'asked': len(asked), 'reached': reached},
        )
        return self._claiming.note_reach(
            cell, reached=reached * 2 > len(asked), now=self._clock.now()
        )

    def _won(self, cell: ids.CellId, right: fences.Right) -> None:
        """Own a cell from now on."""
        if cell in self._cells:
            if right > self._cells[cell].right:
                self._cells[cell].renew(right)
            return
        owned = cells.Cell(
            cell=cell,
            right=right,
            api=self._api,
            clock=self._clock,
            metrics=self.metrics,
            events=self,
            others=self._others(cell),
            cfg=self._rules.cell,
        )
        self._cells[cell] = owned
        self._give_workers(owned)
        self._roster.poke()
        self._choose_owners()
        self.links.send_all(self._beat(self._clock.now()))

    def _others(self, cell: ids.CellId) -> dict[ids.CellId, int]:
        return self._rooms

    def _lose(self, cell: ids.CellId, cause: str) -> None:
        lost = self._cells.pop(cell)
        _LOG.warning(
            'Cell lost.',
            extra={
                'cell': cell,
                'epoch': lost.right.epoch,
                'rank': lost.right.rank,
                'cause': cause,
            },
        )
        self._spawn(lost.close())
        self.links.send_all(messages.Disowned(cell=cell))
        self.links.send_all(self._beat(self._clock.now()))
        self._choose_owners()
        self.board.owner_lost(cell, self._local)

    def _hand_over(self, cell: ids.CellId) -> None:
        for vm, _ in self._claiming.heirs(cell):
            successor = self.links.to(vm)
            if successor is not None:
                _LOG.info('Cell handed over.', extra={'cell': cell, 'to': vm})
                successor.send(messages.TakeOver(cell=cell))
                return
