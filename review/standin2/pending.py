"""Many users come at once and ask for the states of their jobs.

Usage: pending.py RECORD. All workers are busy, so that the jobs wait. With
TROUBLE=0 few users come. Exit status: 1 if the rule was broken, 0 if it held,
2 if the case could not run.
"""

import asyncio
import os
import sys

import fleet as fleets
import rules
import stale_leader

#: The entry machine that the clients are connected to; it leads no zone.
VM = 'edge-sondrio-2'
JOBS = 120 if os.environ.get('TROUBLE', '1') != '0' else 12
ASK_EVERY_S = 2.0
WATCH_S = 20


def job(count, task_ms):
    return {
        'spec': f'ms={task_ms}',
        'steps': [{'count': count, 'cpu': 14000, 'mem_mb': 64,
                   'estimate_ms': task_ms}],
    }


async def ask(fleet, name, until):
    """Ask for the state of a job every 2 s, as its client."""
    while fleet.now() < until:
        next_at = fleet.now() + ASK_EVERY_S
        await fleet.call(VM, 'GET', name)
        await stale_leader.sleep_until(fleet, next_at)


async def run(path):
    fleet = fleets.Fleet(
        path, stale_leader.ZONES, stale_leader.VMS, stale_leader.workers())
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            fleet.record('note', text='the deployment did not become ready')
            return 2
        await asyncio.sleep(2)
        # Two tasks of 14 cores fit on a worker.
        for zone in stale_leader.ZONES:
            names = fleets.job_ids(zone, stale_leader.ZONES, 1, f'fill-{zone}')
            await stale_leader.submit(fleet, {names[0]: job(8, 90000)})
        await asyncio.sleep(1)
        until = fleet.now() + WATCH_S
        waiting = []
        # Homes take turns, as they do on average.
        by_zone = [
            fleets.job_ids(zone, stale_leader.ZONES, JOBS // 3, f'wait-{zone}')
            for zone in stale_leader.ZONES
        ]
        for names in zip(*by_zone):
            for name in names:
                await fleet.call(VM, 'POST', name, job(1, 200))
                waiting.append(asyncio.create_task(ask(fleet, name, until)))
                await asyncio.sleep(1 / 40)
        while fleet.now() < until:
            await fleet.count_pending(VM)
            await asyncio.sleep(0.5)
        await asyncio.gather(*waiting)
        broken = rules.pending(fleet.events)
        for line in broken:
            fleet.record('BROKEN', rule='MIXED', text=line)
        print(*broken[:4], sep='\n')
        print(f'pending: {"broken" if broken else "held"}')
        return 1 if broken else 0
    finally:
        await fleet.stop()


if __name__ == '__main__':
    sys.exit(fleets.main(run(sys.argv[1])))
