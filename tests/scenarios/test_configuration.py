"""Versions under stale reads, lost answers, outages and racing operators."""

import asyncio
import json
import time
from typing import Any

import pytest_bdd
from pytest_bdd import parsers, then, when
from testtools import matchers

from sardineproxy import exit_status
from sardineproxy.demo import child, parts
from tests.scenarios import conftest
from tests.scenarios import world as worlds

pytest_bdd.scenarios('features/configuration.feature')

POLL_INTERVAL_S = 2


async def number_in_force(world: worlds.World, entry: str) -> int:
    return (await world.state(entry))['config']['number']


@when(parsers.parse('the operator applies weight {weight:d} on base {base:d}'))
def apply(world: worlds.World, weight: int, base: int) -> None:
    world.notes['status'] = world.run(_apply(world, weight, base))


async def _apply(world: worlds.World, weight: int, base: int) -> int:
    digest = await world.deployment.hash_credential(worlds.CREDENTIAL)
    directory = world.deployment.directory / f'weight-{weight}'
    directory.mkdir(exist_ok=True)
    contract = {
        **worlds.CONTRACT,
        'weight': weight,
        'credential_sha256': [digest],
    }
    (directory / 'desk.jsonc').write_text(json.dumps(contract))
    command = child.Child(
        'ctl',
        (
            'apply',
            str(directory),
            '--base',
            str(base),
            '--operator',
            f'operator-{weight}',
            '--platform',
            world.deployment.platform_address(),
        ),
        world.deployment.directory,
    )
    try:
        await command.run('', timeout_s=worlds.WAIT_LIMIT_S)
    except child.ChildError:
        assert command.returncode is not None
        return command.returncode
    return 0


@when('the platform loses the answer of the next write')
def lose_answer(world: worlds.World) -> None:
    world.run(world.deployment.set_platform_faults(lose_answers=1))


@when(parsers.parse('the platform shows the fault {fault}'))
def set_fault(world: worlds.World, fault: str) -> None:
    world.run(world.deployment.set_platform_faults(**{fault: True}))


@when(parsers.parse('{count:d} polls of the platform have passed'))
def watch_versions(world: worlds.World, count: int) -> None:
    seen: dict[str, list[int]] = {}

    async def watch() -> None:
        end = time.monotonic() + count * POLL_INTERVAL_S
        while time.monotonic() < end:
            for entry in world.deployment.entries:
                numbers = seen.setdefault(entry, [])
                numbers.append(await number_in_force(world, entry))
            await asyncio.sleep(worlds.POLL_S)

    world.run(watch())
    world.notes['seen'] = seen


@when('entry-2 starts')
def start_entry(world: worlds.World) -> None:
    spec = parts.EntrySpec(name='entry-2', zone='sondrio')
    world.run(world.deployment.start_entry(spec))


@when('entry-2 starts without seeds')
def start_alone(world: worlds.World) -> None:
    others = dict(world.deployment.entries)
    world.deployment.entries.clear()
    start_entry(world)
    world.deployment.entries.update(others)


@then(parsers.parse("the operator's exit status is {name}"))
def check_status(world: worlds.World, name: str) -> None:
    conftest.check(
        exit_status.ExitStatus(world.notes['status']).name,
        matchers.Equals(name),
    )


@then(
    parsers.parse(
        'version {number:d} is in force on every entry VM '
        'within {limit_s:d} seconds'
    )
)
def check_in_force(world: worlds.World, number: int, limit_s: int) -> None:
    async def holds() -> bool:
        numbers = [
            await number_in_force(world, entry)
            for entry in world.deployment.entries
        ]
        return numbers == [number] * len(numbers)

    begin = time.monotonic()
    world.run(world.until(holds))
    conftest.check(time.monotonic() - begin, matchers.LessThan(limit_s))


@then('no entry VM has ever shown a version lower than an earlier one')
def check_no_revert(world: worlds.World) -> None:
    seen: dict[str, Any] = world.notes['seen']
    for numbers in seen.values():
        conftest.check(numbers, matchers.Equals(sorted(numbers)))


@then(parsers.parse('entry-2 stays not ready for {seconds:d} seconds'))
def check_not_ready(world: worlds.World, seconds: int) -> None:
    async def watch() -> list[bool]:
        ready = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ready.append((await world.state('entry-2'))['ready'])
            await asyncio.sleep(worlds.POLL_S)
        return ready

    conftest.check(any(world.run(watch())), matchers.Equals(False))
