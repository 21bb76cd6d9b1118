"""The only worker of a kind in a zone is lost for good.

Usage: lost_kind.py RECORD. Workers of the same kind are idle in another zone.
Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
run.
"""

import asyncio
import os
import sys

import fleet as fleets
import rules
import stale_leader

#: Kinds of the workers of each zone. Tirano has the most room, and no b.
KINDS = {'sondrio': 'baa', 'tirano': 'aaaaa', 'morbegno': 'bbaa'}
LOST_WORKER = 'so0'
FINISH_S = 14
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def workers():
    return {
        zone: [
            {
                'name': f'{zone[:2]}{number}',
                'labels': [kind, f'r-{zone}'],
                'cpu': 32000,
            }
            for number, kind in enumerate(kinds)
        ]
        for zone, kinds in KINDS.items()
    }


async def run(path):
    fleet = fleets.Fleet(path, stale_leader.ZONES, stale_leader.VMS, workers())
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            fleet.record('note', text='the deployment did not become ready')
            return 2
        await asyncio.sleep(2)
        names = fleets.job_ids('sondrio', stale_leader.ZONES, 3, 'lost-kind')
        if TROUBLE:
            fleet.record('lost', worker=LOST_WORKER)
            lost = next(w for w in fleet.workers if w.name == LOST_WORKER)
            lost.crash()
        await asyncio.sleep(9)
        await stale_leader.submit(
            fleet, {name: stale_leader.job(1000) for name in names})
        left = await stale_leader.wait_state(
            fleet, names, {'completed'}, FINISH_S)
        broken = rules.lost(fleet.events, left)
        for line in broken:
            fleet.record('BROKEN', rule='LOST', text=line)
        print(*broken, sep='\n')
        print(f'lost_kind: {"broken" if broken else "held"}')
        return 1 if broken else 0
    finally:
        await fleet.stop()


if __name__ == '__main__':
    sys.exit(fleets.main(run(sys.argv[1])))
