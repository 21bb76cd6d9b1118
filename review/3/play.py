"""An entry VM freezes; a job that is sent again runs twice at the same time."""

import asyncio
import pathlib
import time

from standin import cluster

#: Length of a freeze: the dose of ``node_freeze`` in the site file.
FREEZE_S = 4.0

#: The bound retransmit_ms: from a missing answer until the job is sent again.
RETRANSMIT_S = 1.3

#: How long clients wait for an answer, and how long their jobs work.
DEADLINE_S = 4.0
WORK_S = 6.0
ESTIMATE_MS = 4000

#: From the freeze until the clients' wait ends, one round each.
OFFSETS_S = (0.1, 0.2, 0.3, 0.4, 0.5)


async def play(run):
    frozen, other = run.vms['edge-z1-2'], run.vms['edge-z1-1']
    await asyncio.sleep(3)
    for offset_s in OFFSETS_S:
        # The zone is full, so that the clients' jobs go to other zones.
        for _ in range(2):
            asyncio.create_task(run.submit(
                other, run.new_job(), work_s=2, count=2, stored=False,
                deadline_ms=6000))
        await asyncio.sleep(0.5)
        sent_at = time.monotonic()
        clients = [asyncio.create_task(client(run, frozen, other))
                   for _ in range(2)]
        await asyncio.sleep(
            sent_at + DEADLINE_S - offset_s - time.monotonic())
        if cluster.TROUBLE:
            await run.freeze(frozen, FREEZE_S)
        else:
            await asyncio.sleep(FREEZE_S)
        await asyncio.gather(*clients)
        await asyncio.sleep(1)
    return find_overlaps(run)


async def client(run, first, second):
    """Send a job, and again to another VM after no answer or a 504."""
    job = run.new_job()
    status, _ = await run.submit(
        first, job, work_s=WORK_S, estimate_ms=ESTIMATE_MS, stored=False,
        deadline_ms=int(DEADLINE_S * 1000))
    if status in (None, 502, 504):
        await asyncio.sleep(RETRANSMIT_S)
        await run.submit(
            second, job, work_s=WORK_S, estimate_ms=ESTIMATE_MS, stored=False,
            deadline_ms=int(DEADLINE_S * 1000))


def find_overlaps(run):
    """Return the pairs of runs of one task that were at work at once."""
    by_task = {}
    for item in run.runs():
        by_task.setdefault(item.task, []).append(item)
    broken = []
    for task, runs in by_task.items():
        runs.sort(key=lambda item: item.started_at)
        for first, second in zip(runs, runs[1:]):
            ended_at = first.ended_at or time.monotonic()
            over_s = min(ended_at, second.ended_at or time.monotonic()
                         ) - second.started_at
            if over_s > 0:
                broken.append(
                    f'TWICE: {task} ran on {first.worker} and on '
                    f'{second.worker} at the same time for {over_s:.3f} s')
    return broken


cluster.main(play, pathlib.Path(__file__).parent, zones=3, vms=(2, 2, 2),
             workers_per_zone=(2, 4, 4))
