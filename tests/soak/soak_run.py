"""One run of the soak test from a seed."""

import asyncio
import dataclasses
import pathlib
import random

from tests.soak import checks, client, faults, fleet, stored_client

#: Longest time until all VMs are ready, at the start and after the last
#: fault, in seconds.
START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 12.0

#: Time after the recovery in which jobs must be completed again, in seconds.
AFTER_RECOVERY_S = 3.0

#: Mean time between two jobs of one client, in seconds.
MEAN_JOB_INTERVAL_S = 0.9


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """Size of the deployment, number of faults, and duration of a run."""

    zones: int = 2
    vms: int = 4
    workers: int = 6
    clients: int = 6
    faults: int = 14
    length_s: float = 12.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Faults and violations of a run."""

    seed: int
    plan: list[faults.Fault]
    violations: list[str]
    summary: str


async def run(seed: int, size: Size, directory: pathlib.Path) -> Report:
    """Run the soak test; write logs to ``directory``."""
    rng = random.Random(seed)
    soak_fleet = fleet.Fleet(
        directory=directory,
        rng=rng,
        zones=size.zones,
        vms=size.vms,
        workers=size.workers,
    )
    try:
        return await _run(soak_fleet, seed, size, rng)
    finally:
        await soak_fleet.stop()
        # Relays that are cancelled at the end of a run are not errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)


async def _run(
    soak_fleet: fleet.Fleet, seed: int, size: Size, rng: random.Random
) -> Report:
    await soak_fleet.start()
    if not await soak_fleet.wait_until_ready(START_TIMEOUT_S):
        return Report(
            seed=seed,
            plan=[],
            violations=['VMs did not start'],
            summary='VMs did not start',
        )
    injector = faults.FaultInjector(fleet=soak_fleet, rng=random.Random(seed))
    plan = injector.draw_plan(count=size.faults, length_s=size.length_s)
    client_types = (client.Client, stored_client.StoredClient)
    clients = [
        client_types[number // size.zones % len(client_types)](
            zone=soak_fleet.zones[number % size.zones],
            fleet=soak_fleet,
            rng=random.Random(f'{seed}.{number}'),
        )
        for number in range(size.clients)
    ]
    submitters = [
        asyncio.create_task(_keep_submitting(submitting_client, rng))
        for submitting_client in clients
    ]
    await injector.run_plan(plan)
    violations = []
    if not await soak_fleet.wait_until_ready(RECOVERY_TIMEOUT_S):
        violations.append(f'not all VMs are ready after {RECOVERY_TIMEOUT_S} s')
    earlier_jobs = set(soak_fleet.trace.jobs)
    await asyncio.sleep(AFTER_RECOVERY_S)
    for submitter in submitters:
        submitter.cancel()
    new_jobs = {
        job
        for job, job_record in soak_fleet.trace.jobs.items()
        if job not in earlier_jobs and not job_record.is_stored
    }
    await asyncio.gather(*(open_client.close() for open_client in clients))
    share = checks.completed_share(soak_fleet.trace, new_jobs)
    if share < checks.MIN_COMPLETED_SHARE:
        violations.append(
            f'{share:.2f} of {len(new_jobs)} jobs completed after the recovery'
        )
    violations.extend(checks.find_violations(soak_fleet))
    return Report(
        seed=seed,
        plan=plan,
        violations=violations,
        summary=checks.describe(soak_fleet.trace),
    )


async def _keep_submitting(
    submitting_client: client.Client, rng: random.Random
) -> None:
    while True:
        await asyncio.sleep(rng.expovariate(1 / MEAN_JOB_INTERVAL_S))
        submitting_client.submit_job()
