"""Random faults and stored jobs from a seed, and the rules that they break."""

import asyncio
import dataclasses
import enum
import random
import types

from sardineproxy import ids
from sardineproxy.emulator import (
    deployment,
    fault_plans,
    faults,
    rules,
    virtual_loop,
)
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.request import jobs

#: Jobs of one hunt, and the longest time between two of them, in seconds.
JOB_COUNT = 16
MAX_JOB_INTERVAL_S = 0.6

#: Most faults of one hunt, and the time in which they begin, in seconds.
MAX_FAULTS = 4
FAULTS_LENGTH_S = 6.0

#: Share of the jobs that their clients cancel, and the longest time until then,
#: in seconds.
CANCEL_SHARE = 0.35
MAX_CANCEL_S = 6.0

#: Longest time between two jobs beside takeovers, in seconds.
TAKEOVER_JOB_INTERVAL_S = 1.2

#: Share of the jobs that are not stored, time for which their clients wait in
#: addition to three times the run time, and pause before they are sent again, in
#: seconds.
UNSTORED_SHARE = 0.3
UNSTORED_WAIT_S = 0.5
RETRANSMIT_S = 1.3

#: Pause between two requests of a client, in seconds.
RETRY_S = 0.5

#: Times that a client hands a job in at most.
MAX_SUBMISSIONS = 3

#: Time after the end of all faults in which all jobs must end, and time for
#: which late starts are looked for after that, in seconds.
FINISH_S = 60.0
LATE_S = 4.0

#: Run times of the steps of a job, in seconds.
RUN_TIMES_S = (
    (0.3,),
    (2.4,),
    (5.0,),
    (12.0,),
    (1.0, 0.2),
    (2.0, 0.5),
    (0.1, 0.1),
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workload:
    """The jobs of a hunt."""

    run_times_s: tuple[tuple[float, ...], ...] = RUN_TIMES_S

    #: Numbers of tasks of each step.
    task_counts: tuple[int, ...] = (2,)

    #: Longest time between two jobs, in seconds.
    interval_s: float = MAX_JOB_INTERVAL_S
    unstored_share: float = UNSTORED_SHARE


class _Theme(enum.Enum):
    """What the faults of a hunt concern."""

    ANY = 'any'

    #: Cuts between VMs that reach the store.
    CUTS = 'cuts'

    #: Losses of all workers of a zone.
    RACKS = 'racks'

    #: Entries of a zone's workers, and takeovers of its shard.
    TAKEOVERS = 'takeovers'


#: Weights in the order of the members of ``_Theme``.
_THEME_WEIGHTS = (0.2, 0.4, 0.15, 0.25)

#: Some jobs have more tasks than their home zone has capacity for.
_BESIDE_CUTS = Workload(
    run_times_s=((2.4,), (5.0,), (8.0,), (12.0,)), task_counts=(1, 2, 6, 12)
)
_BESIDE_RACKS = Workload(
    run_times_s=((0.3,), (0.9,), (2.4,)),
    task_counts=(2, 4, 8),
    unstored_share=0.8,
)

LAYOUTS = (
    deployment.SMALL,
    deployment.Layout(vms=types.MappingProxyType({'z1': 2, 'z2': 2, 'z3': 1})),
    deployment.Layout(
        vms=types.MappingProxyType({'z1': 2, 'z2': 2, 'z3': 2}), workers=3
    ),
    deployment.Layout(
        vms=types.MappingProxyType({'z1': 3, 'z2': 2, 'z3': 1}), workers=2
    ),
)

_Reply = job_manager.JobReply
FINAL_STATES = frozenset((_Reply.COMPLETED, _Reply.FAILED, _Reply.CANCELLED))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Results of a hunt."""

    seed: int
    violations: tuple[str, ...]

    #: The faults that began, one sentence each.
    faults: tuple[str, ...]

    #: Number of jobs that were stored, or completed without that.
    accepted: int


def hunt(seed: int) -> Report:
    """Play one hunt in virtual time."""
    return virtual_loop.run(lambda: _Hunt(seed).play())


class _Hunt:
    """Clients and faults of one hunt."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self._emulated = deployment.Deployment(
            layout=self._rng.choice(LAYOUTS), seed=seed
        )
        self._accepted: list[ids.JobId] = []
        self._workload = Workload()

        #: Jobs that are not stored and completed.
        self._completed_count = 0

    async def play(self) -> Report:
        """Play the faults beside the clients; return what was broken."""
        await self._emulated.start()
        injector = faults.FaultInjector(emulated=self._emulated, rng=self._rng)
        plan = self._draw_plan()
        injecting = asyncio.ensure_future(injector.run(plan))
        clients = []
        for _ in range(JOB_COUNT):
            clients.append(asyncio.ensure_future(self._run_client()))
            await asyncio.sleep(self._rng.uniform(0, self._workload.interval_s))
        await asyncio.gather(injecting, *clients)
        unended = await self._wait_for_ends()
        await asyncio.sleep(LATE_S)
        return Report(
            seed=self._seed,
            violations=(*unended, *rules.find_violations(self._emulated)),
            faults=tuple(injector.log),
            accepted=len(self._accepted) + self._completed_count,
        )

    def _draw_plan(self) -> tuple[fault_plans.Fault, ...]:
        """Return the faults, and set the jobs that are played beside them."""
        zones = self._emulated.zones
        match self._rng.choices(list(_Theme), _THEME_WEIGHTS)[0]:
            case _Theme.CUTS:
                self._workload = _BESIDE_CUTS
                return fault_plans.draw_cut_plan(self._rng, zones)
            case _Theme.RACKS:
                self._workload = _BESIDE_RACKS
                return fault_plans.draw_rack_plan(self._rng, zones)
            case _Theme.TAKEOVERS:
                self._workload = Workload(interval_s=TAKEOVER_JOB_INTERVAL_S)
                return fault_plans.draw_takeover_plan(self._rng, zones)
        return fault_plans.draw_plan(
            self._rng, most=MAX_FAULTS, length_s=FAULTS_LENGTH_S
        )

    async def _run_client(self) -> None:
        """Hand a job in, and cancel it or wait for its end."""
        stored = self._rng.random() >= self._workload.unstored_share
        job = self._emulated.make_job(
            self._rng.choice(
                (*self._emulated.zones[:1], *self._emulated.zones)
            ),
            *self._rng.choice(self._workload.run_times_s),
            label=self._rng.choice(
                (deployment.ANY_ZONE, deployment.OTHER_ZONES)
            ),
            count=self._rng.choice(self._workload.task_counts),
            stored=stored,
        )
        if not stored:
            await self._run_unstored(job)
            return
        for _ in range(MAX_SUBMISSIONS):
            if await self._emulated.submit(self._choose_vm(), job):
                self._accepted.append(job.job_id)
                break
            await asyncio.sleep(RETRY_S)
        else:
            return
        cancels = self._rng.random() < CANCEL_SHARE
        if cancels:
            await asyncio.sleep(self._rng.uniform(0, MAX_CANCEL_S))
        until = self._emulated.clock.now() + FINISH_S
        await self._query(job.job_id, until, cancel=cancels)

    async def _run_unstored(self, job: jobs.Job) -> None:
        """Run a job, and send it again if there is no response."""
        wait_s = UNSTORED_WAIT_S + 3 * job.total_estimate_s
        zone = self._rng.choice(self._emulated.zones)
        for _ in range(MAX_SUBMISSIONS):
            vm = self._choose_ready_vm(zone)
            outcome = await self._emulated.run(vm, job, wait_s)
            if isinstance(outcome, jobs.Completed):
                self._completed_count += 1
            if not isinstance(outcome, jobs.GivenUp | None):
                return
            await asyncio.sleep(RETRANSMIT_S)

    async def _wait_for_ends(self) -> list[str]:
        """Wait for the accepted jobs; return a sentence for each unended one."""
        until = self._emulated.clock.now() + FINISH_S
        unended = []
        for job in self._accepted:
            reply = await self._query(job, until)
            if reply not in FINAL_STATES:
                unended.append(f'{job}: accepted, but {reply} at the end')
        return unended

    async def _query(
        self, job: ids.JobId, until: float, *, cancel: bool = False
    ) -> _Reply | None:
        """Query or cancel a job until it has ended; return the last reply."""
        while True:
            reply = await self._emulated.query(
                self._choose_vm(), job, cancel=cancel
            )
            if reply in FINAL_STATES or self._emulated.clock.now() >= until:
                return reply
            await asyncio.sleep(RETRY_S)

    def _choose_ready_vm(self, zone: ids.ZoneId) -> deployment.Vm:
        """Return a VM of a client's zone, or of others if it has none."""
        ready = [
            vm
            for vm in self._emulated.vms.values()
            if not vm.process.is_killed and vm.node.is_ready()
        ]
        of_zone = [vm for vm in ready if vm.zone == zone]
        return self._rng.choice(
            of_zone or ready or list(self._emulated.vms.values())
        )

    def _choose_vm(self) -> deployment.Vm:
        return self._rng.choice(list(self._emulated.vms.values()))
