"""A zone is lost for good that runs tasks of another zone's jobs.

Usage: lost_zone.py RECORD. Exit status: 1 if the rule was broken, 0 if it held,
2 if the case could not run.
"""

import asyncio
import os
import signal
import sys

import fleet as fleets
import rules
import stale_leader

#: Kinds of the workers of each zone. Tirano has the most room for kind b.
KINDS = {'sondrio': 'aaa', 'tirano': 'bbbbb', 'morbegno': 'bbbb'}
LOST_ZONE = 'tirano'
CLIENT_VM = 'edge-morbegno-1'
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


async def lose_zone(fleet):
    fleet.record('zone-lost', zone=LOST_ZONE)
    for vm in fleet.vms.values():
        if vm.zone == LOST_ZONE:
            vm.process.send_signal(signal.SIGKILL)
            await vm.process.wait()
    for lost in fleet.workers:
        if lost.zone == LOST_ZONE:
            lost.crash()


async def run(path):
    fleet = fleets.Fleet(path, stale_leader.ZONES, stale_leader.VMS, workers())
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            fleet.record('note', text='the deployment did not become ready')
            return 2
        await asyncio.sleep(2)
        names = fleets.job_ids('sondrio', stale_leader.ZONES, 3, 'lost-zone')
        for name in names:
            await fleet.call(
                CLIENT_VM, 'POST', name, stale_leader.job(3600))
        await asyncio.sleep(1)
        if TROUBLE:
            await lose_zone(fleet)
        await asyncio.sleep(12)
        left = await stale_leader.wait_state(
            fleet, names, {'completed'}, FINISH_S, CLIENT_VM)
        broken = rules.lost(fleet.events, left)
        for line in broken:
            fleet.record('BROKEN', rule='LOST', text=line)
        print(*broken, sep='\n')
        print(f'lost_zone: {"broken" if broken else "held"}')
        return 1 if broken else 0
    finally:
        await fleet.stop()


if __name__ == '__main__':
    sys.exit(fleets.main(run(sys.argv[1])))
