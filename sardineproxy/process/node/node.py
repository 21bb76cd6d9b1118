"""The entry process: accepts jobs, and owns cells if it falls to it."""

import asyncio
import dataclasses
import random
import secrets
from typing import Callable, Coroutine, Iterable

import result

from sardineproxy import clock, deployment, ids, logs
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics, store
from sardineproxy.process.cells import fences, rooms, workers
from sardineproxy.process.membership import (
    following,
    links,
    owners,
    registry,
    worker_list,
)
from sardineproxy.process.node import (
    claiming,
    holdings,
    local_link,
    policy,
    sharing,
)
from sardineproxy.request import board, coordinator, jobs
from sardineproxy.version import asking, in_force, routes

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

INCARNATION_BYTES = 6

#: Of two VMs the one with the lower name opens their link; the other one
#: does so after this time, in seconds.
CALL_WAIT_S = 0.5

#: When to come back after a refusal by a process that ends, in seconds; other
#: VMs take the job at once.
DRAINING_RETRY_S = 1.0

#: Shortest and longest pause before a registration is tried again, in seconds.
REGISTER_RETRY_MIN_S = 0.3
REGISTER_RETRY_MAX_S = 0.6

_LOG = logs.get_logger('node')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Formats:
    """Decoders of the platform's rows."""

    configuration_table: str
    configuration_row: str
    roster_table: str
    decode_configuration: in_force.Decode
    worker_id: Callable[[store.Row], ids.WorkerId]
    decode_worker: worker_list.Decode


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
        self._clock = outside.clock
        self._rng = outside.rng
        self._store = outside.store
        self._formats = outside.formats
        self.metrics = outside.registry
        self.me = messages.Greeting(
            vm=cfg.vm,
            incarnation=ids.Incarnation(secrets.token_hex(INCARNATION_BYTES)),
            zone=cfg.zone,
        )
        self.versions = in_force.InForce(
            decode=outside.formats.decode_configuration
        )
        self._asking = asking.Asking()
        self.board = board.Board()
        self.directory = registry.Registry()
        self.owners = owners.Owners(me=cfg.vm)
        self.workers = worker_list.WorkerList(
            worker_id=outside.formats.worker_id,
            decode=outside.formats.decode_worker,
        )
        self.links = links.Links(
            clock=self._clock,
            rng=self._rng,
            me=self.me,
            events=self,
            rhythm=self._rhythm,
        )
        self._local = local_link.LocalLink(me=self.me, receiver=self)
        self.member = registry.Member(
            vm=cfg.vm,
            incarnation=self.me.incarnation,
            zone=cfg.zone,
            address=cfg.peers,
            cores=cfg.cores,
        )
        self._claims = claiming.Claiming(
            store=self._store,
            directory=self.directory,
            me=self.member,
            on_right=self._won,
        )
        self.holdings = holdings.Holdings(
            tools=holdings.Tools(
                api=outside.workers,
                clock=self._clock,
                metrics=self.metrics,
                cfg=rules.cell,
            ),
            claims=self._claims,
            links=self.links,
            around=self,
            spawn=self._spawn,
        )
        self._followers = self._make_followers()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticked_at = self._clock.now()
        self._refuse_until: float = 0

        #: Local time at which a shutdown ends, None while there is none.
        self._ends_at: float | None = None

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
        await self.holdings.close()
        await self.links.close()

    def drain(self, *, ends_at: float) -> None:
        """Ask other VMs to take the cells; this process ends at ``ends_at``."""
        self._ends_at = ends_at
        self.holdings.hand_over()

    @property
    def draining(self) -> bool:
        """Tell whether the process shuts down."""
        return self._ends_at is not None

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
        self.metrics.count('jobs_total')
        outcome: jobs.Outcome
        if self._ends_at is not None and (
            now + route.bound_s(job.expected_s) > self._ends_at
        ):
            outcome = jobs.NotRun(
                detail='process ends before the job would',
                retry_after_s=DRAINING_RETRY_S,
            )
        else:
            outcome = await self._run(job, route, now, wait_s)
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
        if self.home_cell in self.owners.by_cell:
            return self.home_cell
        free = self.rooms.free(self._clock.now())
        return min(
            self.owners.by_cell,
            key=lambda other: (-free.get(other, 0), other),
            default=None,
        )

    def owner(self, cell: ids.CellId) -> link.Link | None:
        """Return the link to a cell's owner."""
        vm = self.owner_of(cell)
        if vm is None:
            return None
        return self._local if vm == self.cfg.vm else self.links.to(vm)

    # Links.

    def opened(self, opened: link.Link) -> None:
        """Exchange what both ends know."""
        opened.send(self._beat(self._clock.now()))
        opened.send(messages.DirectoryAsk())

    def closed(self, closed: link.Link) -> None:
        """Forget what the link told."""
        self.holdings.link_lost(closed, self._clock.now())
        if self.links.to(closed.peer.vm) is None:
            self.owners.forget(closed.peer.vm)
        self._choose_owners()
        for cell in self.all_cells:
            self.board.owner_lost(cell, closed)

    def received(self, source: link.Link, message: messages.Message) -> None:
        """Act on a message."""
        match message:
            case messages.Submit():
                self.holdings.submit(source, message, self._clock.now())
            case messages.Withdraw(cell=cell, job=job):
                self.holdings.withdraw(source, cell, job)
            case messages.Ended() | messages.Declined():
                self.board.tell(message)
            case messages.Greeting():
                source.abort()
            case messages.Beat() | messages.Disowned() | messages.TakeOver():
                self._take_ownership(source, message)
            case _:
                self._take_shared(source, message)

    # Surroundings of the holdings.

    @property
    def home_cell(self) -> ids.CellId:
        """Return the cell of this VM's zone."""
        return ids.CellId(self.cfg.zone)

    @property
    def all_cells(self) -> Iterable[ids.CellId]:
        """Return all cells of the deployment."""
        return map(ids.CellId, self.cfg.zones)

    @property
    def rooms(self) -> rooms.Rooms:
        """Return how much room other cells have."""
        return self.owners.rooms

    def owner_of(self, cell: ids.CellId) -> ids.VmId | None:
        """Return which VM owns a cell."""
        return self.owners.by_cell.get(cell)

    def workers_of(self, cell: ids.CellId) -> list[workers.Worker]:
        """Return the listed workers of a cell."""
        return self.workers.of_cell(cell)

    def knows_all_workers(self) -> bool:
        """Tell whether no worker can be missing from the list."""
        return worker_list.is_complete(self._roster, self._clock.now())

    def listed_at(self) -> float:
        """Return the local time of the list of workers, in seconds."""
        return self._roster.answered_at or 0

    def is_alone(self) -> bool:
        """Tell whether no other VM of several is in reach."""
        return not self.links.open and len(self.directory.members) > 1

    def gained(self, cell: ids.CellId) -> None:
        """Tell others that this process owns a cell."""
        self._roster.poke()
        self._choose_owners()
        self.links.send_all(self._beat(self._clock.now()))

    def lost(self, cell: ids.CellId) -> None:
        """Tell others that this process no longer owns a cell."""
        self.links.send_all(messages.Disowned(cell=cell))
        self.links.send_all(self._beat(self._clock.now()))
        self._choose_owners()
        self.board.owner_lost(cell, self._local)

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
            'owners': dict(self.owners.by_cell),
            'rooms': self.rooms.state(now),
            'links': {vm: len(of_vm) for vm, of_vm in self.links.open.items()},
            'members': sorted(self.directory.members),
            'claims': {
                cell: dataclasses.asdict(claim)
                for cell, claim in self.directory.claims.items()
            },
            'jobs': self.board.state(),
            'cells': [
                owned.state(now) for owned in self.holdings.cells.values()
            ],
        }

    # Internals.

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self, job: jobs.Job, route: routes.Route, now: float, wait_s: float
    ) -> jobs.Outcome:
        deadline = now + wait_s
        if self._ends_at is not None:
            deadline = min(deadline, self._ends_at)
        return await self.board.run(
            coordinator.Coordinator(
                job=job,
                route=route,
                router=self,
                clock=self._clock,
                arrived_at=now,
                deadline=deadline,
            )
        )

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

    @property
    def _configuration(self) -> following.TableFollower:
        return self._followers[self._formats.configuration_table]

    @property
    def _roster(self) -> following.TableFollower:
        return self._followers[self._formats.roster_table]

    def _roster_pace(self) -> following.Pace:
        if self.holdings.cells:
            return OWNER_ROSTER_PACE
        if self._claims.is_heir():
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
            await asyncio.sleep(
                self._rng.uniform(REGISTER_RETRY_MIN_S, REGISTER_RETRY_MAX_S)
            )

    async def _keep_ticking(self) -> None:
        while True:
            self._tick(self._clock.now())
            await asyncio.sleep(OWNER_TICK_S if self.holdings.cells else TICK_S)

    def _tick(self, now: float) -> None:
        self._check_stall(now)
        self._ticked_at = now
        self.links.tick(now, self._beat(now))
        self.holdings.tick(now, may_claim=not self.draining)

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
        self.holdings.doubt_all('process stood still')

    def _rhythm(self, peer: messages.Greeting) -> links.Rhythm:
        """Return the signs of life between this VM and another."""
        owns_home = self.home_cell in self.holdings.cells
        if owns_home and peer.zone == self.cfg.zone:
            return links.CLOSE
        if self.owner_of(self.home_cell) == peer.vm:
            return links.CLOSE
        if self.holdings.cells or peer.vm in self.owners.by_cell.values():
            return links.OWNER
        return links.FAR

    def _beat(self, now: float) -> messages.Beat:
        return messages.Beat(
            version=self.versions.number, cells=self.holdings.offers(now)
        )

    def _take_ownership(
        self,
        source: link.Link,
        message: messages.Beat | messages.Disowned | messages.TakeOver,
    ) -> None:
        """Act on a message about owners of cells."""
        match message:
            case messages.Beat(version=version, cells=cells):
                now = self._clock.now()
                if self.owners.take(source.peer.vm, cells, now):
                    self._choose_owners()
                if self._asking.should_ask(
                    version,
                    own=self.versions.number,
                    store_answers=self._configuration.sound_since is not None,
                    now=now,
                ):
                    source.send(messages.VersionAsk())
            case messages.Disowned(cell=cell):
                self.owners.forget(source.peer.vm, cell)
                self._choose_owners()
                self.board.owner_lost(cell, source)
            case messages.TakeOver(cell=cell):
                self.holdings.start_claim(cell)

    def _take_shared(
        self, source: link.Link, message: messages.Message
    ) -> None:
        """Act on a message about contents of the store."""
        match message:
            case messages.DirectoryAsk():
                source.send(sharing.pack_directory(self.directory))
            case messages.DirectoryGive():
                self._take_directory(sharing.unpack_directory(message))
            case messages.VersionAsk():
                source.send(sharing.pack_version(self.versions))
            case messages.VersionGive():
                self._take_version(source, message)

    def _choose_owners(self) -> None:
        change = self.owners.choose(self.holdings.rights())
        for cell, vm in change.lost.items():
            # Each loss leads to a new choice, which may have lost them all.
            if cell in self.holdings.cells:
                self.holdings.lose(cell, f'{vm} has a higher right')
        for found in change.found:
            self.board.owner_found(found)

    def _take_version(
        self, source: link.Link, given: messages.VersionGive
    ) -> None:
        unpacked = sharing.unpack_version(given)
        if isinstance(unpacked, result.Err):
            _LOG.error(
                'Version refused.',
                extra={'source': source.peer.vm, 'cause': unpacked.err_value},
            )
        else:
            self.versions.offer(unpacked.ok_value, source.peer.vm)

    def _take_configuration(self, rows: tuple[store.Row, ...]) -> None:
        for row in rows:
            if row.key == self._formats.configuration_row and row.body:
                self.versions.offer(row.body, 'store')

    def _take_directory(self, rows: tuple[store.Row, ...]) -> None:
        if self.directory.offer(rows):
            self._call_others()

    def _call_others(self) -> None:
        """Keep links to all members, and to the seeds while there are none."""
        others = [
            member
            for member in self.directory.members.values()
            if member.vm != self.cfg.vm
            and self._claims.needs_link(self.cfg.vm, member.vm)
        ]
        if not others:
            self.links.use(
                {seed: 0 for seed in self.cfg.seeds if seed != self.cfg.peers}
            )
            return
        self.links.use(
            {
                member.address: 0 if self.cfg.vm < member.vm else CALL_WAIT_S
                for member in others
            }
        )
        self.links.keep({member.vm for member in others})
        for known in others:
            self.links.known(known.address, known.vm)

    def _take_roster(self, rows: tuple[store.Row, ...]) -> None:
        now = self._clock.now()
        self.workers.take(rows, now)
        self.workers.drop_gone(self._roster.sound_since, now)
        self.holdings.give_workers()

    def _won(self, cell: ids.CellId, right: fences.Right) -> None:
        self.holdings.won(cell, right)
