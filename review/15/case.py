"""A worker loses its path to the store twice; its zone's leader is killed.

The worker still reaches the entry VMs and runs on. The store removes its entry
after three silent heartbeat intervals.
"""

import asyncio
import random
import time

import deployment
import worker

#: Entry VMs and workers of each zone; a worker has room for eight tasks.
ZONES = {'z1': (2, 2), 'z2': (2, 2), 'z3': (2, 2)}
JOBS = 12

#: Two cuts of the length that is the default of the page, and the pause between
#: them; no heartbeat of the worker falls into the pause.
CUT_S = 5.0
PAUSE_S = 0.7

#: Time from the start of the second cut to the kill.
KILL_AFTER_S = 4.3


async def case(fleet, trouble):
    """Run long tasks, and look for tasks that run twice at the same time."""
    await fleet.start(zones=ZONES, work_of=lambda task: 30.0, routes=['/jobs/'])
    for number in range(JOBS):
        await submit(fleet, number)
    await asyncio.sleep(2)
    first = fleet.all_runs()[0]
    target = next(one for one in fleet.workers if one.name == first.worker)
    target.on_expired = lambda: fleet.note(f'the entry of {target.name} expires')
    await asyncio.sleep(target.heartbeat_at - time.monotonic() - 0.05)
    await cut(fleet, target, CUT_S, trouble)
    await asyncio.sleep(PAUSE_S)
    cutting = asyncio.create_task(cut(fleet, target, CUT_S, trouble))
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        await fleet.kill_and_restart(fleet.leader(target.zone))
    await cutting
    await asyncio.sleep(5)
    fleet.broken = worker.find_twice(fleet.all_runs())


async def cut(fleet, target, length_s, trouble):
    """Cut a worker off from the store for some time."""
    if trouble:
        fleet.note(f'{target.name} no longer reaches the store')
        target.reaches_store = False
    await asyncio.sleep(length_s)
    if trouble:
        fleet.note(f'{target.name} reaches the store again')
        target.reaches_store = True


async def submit(fleet, number):
    """Hand a job of one task in, which must be accepted."""
    job = f'{random.SystemRandom().getrandbits(64):016x}'
    step = {'count': 1, 'cpu': 4_000, 'mem_mb': 64, 'estimate_ms': 30_000}
    entry = fleet.vms[number % len(fleet.vms)]
    status, _ = await fleet.request(
        entry, 'POST', f'/jobs/{job}', {'spec': 'text', 'steps': [step]}
    )
    if status != 200:
        raise RuntimeError(f'job not accepted: {status}')


deployment.main(case)
