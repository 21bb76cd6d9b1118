"""A worker loses its path to the store twice, and runs on.

Usage: relisted.py RECORD. Its entry lapses and comes back while a task of
7 s runs on it. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
case could not run.
"""

import asyncio
import os
import sys

import fleet as fleets
import rules
import stale_leader

#: The only worker that is large enough for the tasks, and its zone.
WORKER, ZONE = 'ti0', 'tirano'
TASK_CPU = 10000
CUT_S = 5.0
GAP_S = 0.7
FINISH_S = 14
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def workers():
    return {
        zone: [
            {
                'name': f'{zone[:2]}{number}',
                'labels': ['a', f'r-{zone}'],
                'cpu': 32000 if f'{zone[:2]}{number}' == WORKER else 8000,
            }
            for number in range(4)
        ]
        for zone in stale_leader.ZONES
    }


def job():
    return {
        'spec': 'ms=7000',
        'steps': [{'count': 1, 'cpu': TASK_CPU, 'mem_mb': 64,
                   'estimate_ms': 7000}],
    }


async def cut_twice(fleet, cut_worker):
    """Cut the worker off from the store for 5 s, and 0.7 s later again."""
    while fleet.now() - fleet.last_beat_at > 0.15:
        await asyncio.sleep(0.02)
    for pause_s in (GAP_S, 0):
        fleet.record('cut-from-store', worker=cut_worker.name)
        cut_worker.is_store_cut = True
        await asyncio.sleep(CUT_S)
        cut_worker.is_store_cut = False
        fleet.record('healed', worker=cut_worker.name)
        await asyncio.sleep(pause_s)


async def run(path):
    fleet = fleets.Fleet(path, stale_leader.ZONES, stale_leader.VMS, workers())
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            fleet.record('note', text='the deployment did not become ready')
            return 2
        await asyncio.sleep(2)
        names = fleets.job_ids(ZONE, stale_leader.ZONES, 9, 'relisted')
        cutting = None
        if TROUBLE:
            cut_worker = next(w for w in fleet.workers if w.name == WORKER)
            cutting = asyncio.create_task(cut_twice(fleet, cut_worker))
        for name in names:
            await stale_leader.submit(fleet, {name: job()})
            await asyncio.sleep(2.7)
        if cutting is not None:
            await cutting
        left = await stale_leader.wait_state(
            fleet, names, {'completed'}, 2 * FINISH_S)
        broken = rules.lost(fleet.events, left)
        for line in broken:
            fleet.record('BROKEN', rule='LOST', text=line)
        print(*broken, sep='\n')
        print(f'relisted: {"broken" if broken else "held"}')
        return 1 if broken else 0
    finally:
        await fleet.stop()


if __name__ == '__main__':
    sys.exit(fleets.main(run(sys.argv[1])))
