"""A leader is cut off, replaced, and reconnected.

Usage: stale_leader.py SCENARIO RECORD, with SCENARIO ``twice``, ``unasked`` or
``lost``. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
could not run.
"""

import asyncio
import os
import sys

import fleet as fleets
import rules

ZONES = ['sondrio', 'tirano', 'morbegno']
VMS = {
    'edge-sondrio-1': 'sondrio',
    'edge-sondrio-2': 'sondrio',
    'edge-tirano-1': 'tirano',
    'edge-morbegno-1': 'morbegno',
}
CLIENT_VM = 'edge-tirano-1'
LIMIT_S = 112
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def workers():
    """Return four workers a zone; those of kind b are not in sondrio."""
    return {
        zone: [
            {
                'name': f'{zone[:2]}{number}',
                'labels': ['a' if zone == 'sondrio' else 'b', f'r-{zone}'],
                'cpu': 32000,
            }
            for number in range(4)
        ]
        for zone in ZONES
    }


def job(*steps_ms):
    """Return a job of one step for each run time; each follows the former.

    Only the first step needs a label that no worker of sondrio has.
    """
    return {
        'spec': 'ms=' + ','.join(map(str, steps_ms)),
        'steps': [
            {
                'count': 2, 'cpu': 4000, 'mem_mb': 64, 'estimate_ms': step_ms,
                **({'after': [index - 1]} if index else {'requires': 'b'}),
            }
            for index, step_ms in enumerate(steps_ms)
        ],
    }


async def submit(fleet, jobs):
    for name, document in jobs.items():
        status, _ = await fleet.call(CLIENT_VM, 'POST', name, document)
        if status != 200:
            fleet.record('note', text=f'{name} was not accepted')


async def wait_state(fleet, names, states, limit_s, vm=CLIENT_VM):
    """Ask for the jobs until all are in one of the states."""
    until, left = fleet.now() + limit_s, set(names)
    while left and fleet.now() < until:
        for name in sorted(left):
            _, state = await fleet.call(vm, 'GET', name)
            if state in states:
                left.discard(name)
        await asyncio.sleep(0.25)
    return left


async def sleep_until(fleet, at):
    await asyncio.sleep(max(0, at - fleet.now()))


async def twice(fleet, names):
    """The jobs complete while the former leader is cut off, for 12 s."""
    await submit(fleet, {name: job(2400) for name in names})
    cut_at = fleet.now() + 1.0
    await sleep_until(fleet, cut_at)
    leader = fleet.owner('sondrio')
    if TROUBLE:
        fleet.cut_off(leader)
    await wait_state(fleet, names, {'completed'}, 8)
    await sleep_until(fleet, cut_at + 12)
    if TROUBLE:
        fleet.reconnect(leader)
    await asyncio.sleep(2.5)
    return rules.twice(fleet.events) + rules.overlaps(fleet.events)


async def unasked(fleet, names):
    """The jobs are cancelled while the former leader is cut off."""
    await submit(fleet, {name: job(7000) for name in names})
    await asyncio.sleep(0.5)
    leader = fleet.owner('sondrio')
    if TROUBLE:
        fleet.cut_off(leader)
    await asyncio.sleep(2)
    for name in names:
        for _ in range(4):
            status, _ = await fleet.call(CLIENT_VM, 'DELETE', name)
            if status in (200, 410):
                break
            await asyncio.sleep(0.3)
    await asyncio.sleep(3.5)
    if TROUBLE:
        fleet.reconnect(leader)
    await asyncio.sleep(2.5)
    return rules.cancelled(fleet.events)


async def lost(fleet, names):
    """The jobs go on while the former leader is cut off, for 5 s."""
    await submit(fleet, {name: job(7000, 200) for name in names})
    await asyncio.sleep(0.5)
    leader = fleet.owner('sondrio')
    if TROUBLE:
        fleet.cut_off(leader)
    await asyncio.sleep(5)
    if TROUBLE:
        fleet.reconnect(leader)
    left = await wait_state(fleet, names, {'completed'}, 14)
    return rules.lost(fleet.events, left)


SCENARIOS = {'twice': (twice, 16), 'unasked': (unasked, 11), 'lost': (lost, 20)}


async def run(scenario, path):
    fleet = fleets.Fleet(path, ZONES, VMS, workers())
    play, cycle_s = SCENARIOS[scenario]
    broken = []
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            fleet.record('note', text='the deployment did not become ready')
            return 2
        await asyncio.sleep(2)
        cycle = 0
        while not broken and fleet.now() + cycle_s < LIMIT_S:
            cycle += 1
            fleet.record('cycle', number=cycle)
            names = fleets.job_ids('sondrio', ZONES, 6, f'{scenario}{cycle}')
            broken = await play(fleet, names)
        for line in broken:
            fleet.record('BROKEN', rule=scenario.upper(), text=line)
        print(*broken[:6], sep='\n')
        print(f'{scenario}: {"broken" if broken else "held"} '
              f'after {cycle} cut(s), {fleet.now():.0f} s')
        return 1 if broken else 0
    finally:
        await fleet.stop()


if __name__ == '__main__':
    sys.exit(fleets.main(run(sys.argv[1], sys.argv[2])))
