"""One run of the soak from a seed."""

import asyncio
import dataclasses
import pathlib
import random

from tests.soak import checks, client, faults, fleet, stored_client

#: Longest time until all VMs are ready, at the start and after the last
#: fault, in seconds.
START_S = 30.0
RECOVERY_S = 12.0

#: Time after the recovery in which jobs must be completed again, in seconds.
AFTER_S = 3.0

#: Mean time between two jobs of one client, in seconds.
JOB_PAUSE_S = 0.9


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """How much of everything a run has."""

    zones: int = 2
    vms: int = 4
    workers: int = 6
    clients: int = 6
    faults: int = 14
    length_s: float = 12.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What a run showed."""

    seed: int
    plan: list[faults.Fault]
    complaints: list[str]
    summary: str


async def play(seed: int, size: Size, directory: pathlib.Path) -> Report:
    """Play a run; its logs are written to ``directory``."""
    rng = random.Random(seed)
    around = fleet.Fleet(
        directory=directory,
        rng=rng,
        zones=size.zones,
        vms=size.vms,
        workers=size.workers,
    )
    try:
        return await _play(around, seed, size, rng)
    finally:
        await around.stop()
        # Relays that are cancelled at the end are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)


async def _play(
    around: fleet.Fleet, seed: int, size: Size, rng: random.Random
) -> Report:
    await around.start()
    if not await around.all_ready(START_S):
        return Report(
            seed=seed, plan=[], complaints=['no start'], summary='no start'
        )
    disturber = faults.Faults(around=around, rng=random.Random(seed))
    plan = disturber.draw(count=size.faults, length_s=size.length_s)
    kinds = (client.Client, stored_client.StoredClient)
    clients = [
        kinds[number // size.zones % len(kinds)](
            zone=around.zones[number % size.zones],
            around=around,
            rng=random.Random(f'{seed}.{number}'),
        )
        for number in range(size.clients)
    ]
    senders = [
        asyncio.create_task(_keep_sending(each, rng)) for each in clients
    ]
    await disturber.play(plan)
    complaints = []
    if not await around.all_ready(RECOVERY_S):
        complaints.append(f'not all VMs are ready after {RECOVERY_S} s')
    known = set(around.trace.jobs)
    await asyncio.sleep(AFTER_S)
    for sender in senders:
        sender.cancel()
    fresh = {
        job
        for job, sent in around.trace.jobs.items()
        if job not in known and not sent.is_stored
    }
    await asyncio.gather(*(each.close() for each in clients))
    share = checks.share_completed(around.trace, fresh)
    if share < checks.RECOVERED_SHARE:
        complaints.append(f'{share:.2f} of {len(fresh)} jobs completed at last')
    complaints.extend(checks.find_complaints(around))
    return Report(
        seed=seed,
        plan=plan,
        complaints=complaints,
        summary=checks.describe(around.trace),
    )


async def _keep_sending(sender: client.Client, rng: random.Random) -> None:
    while True:
        await asyncio.sleep(rng.expovariate(1 / JOB_PAUSE_S))
        sender.send_job()
