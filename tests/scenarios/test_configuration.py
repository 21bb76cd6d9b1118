"""Versions under stale reads, lost responses, outages and conflicts."""

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

#: Interval at which an entry VM polls the platform.
PLATFORM_POLL_INTERVAL_S = 2


async def read_version(world: worlds.World, entry: str) -> int:
    return (await world.read_state(entry))['config']['number']


@when(parsers.parse('the operator applies weight {weight:d} on base {base:d}'))
def apply_weight(world: worlds.World, weight: int, base: int) -> None:
    world.shared['status'] = world.run(_run_apply(world, weight, base))


async def _run_apply(world: worlds.World, weight: int, base: int) -> int:
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
        await command.run('', timeout_s=worlds.WAIT_TIMEOUT_S)
    except child.ChildError:
        assert command.returncode is not None
        return command.returncode
    return 0


@when('the platform drops the response to the next write')
def drop_next_response(world: worlds.World) -> None:
    world.run(world.deployment.set_platform_faults(lose_answers=1))


@when(parsers.parse('the platform has the fault {fault}'))
def set_platform_fault(world: worlds.World, fault: str) -> None:
    world.run(world.deployment.set_platform_faults(**{fault: True}))


@when(parsers.parse('{count:d} poll intervals have passed'))
def poll_versions(world: worlds.World, count: int) -> None:
    versions: dict[str, list[int]] = {}

    async def poll() -> None:
        deadline = time.monotonic() + count * PLATFORM_POLL_INTERVAL_S
        while time.monotonic() < deadline:
            for entry in world.deployment.entries:
                numbers = versions.setdefault(entry, [])
                numbers.append(await read_version(world, entry))
            await asyncio.sleep(worlds.POLL_INTERVAL_S)

    world.run(poll())
    world.shared['versions'] = versions


@when('entry-2 starts')
def start_entry(world: worlds.World) -> None:
    spec = parts.EntrySpec(name='entry-2', zone='sondrio')
    world.run(world.deployment.start_entry(spec))


@when('entry-2 starts without seeds')
def start_entry_without_seeds(world: worlds.World) -> None:
    other_entries = dict(world.deployment.entries)
    world.deployment.entries.clear()
    start_entry(world)
    world.deployment.entries.update(other_entries)


@then(parsers.parse("the operator's exit status is {name}"))
def check_exit_status(world: worlds.World, name: str) -> None:
    conftest.assert_matches(
        exit_status.ExitStatus(world.shared['status']).name,
        matchers.Equals(name),
    )


@then(
    parsers.parse(
        'version {number:d} is in force on every entry VM '
        'within {limit_s:d} seconds'
    )
)
def check_in_force(world: worlds.World, number: int, limit_s: int) -> None:
    async def condition() -> bool:
        numbers = [
            await read_version(world, entry)
            for entry in world.deployment.entries
        ]
        return numbers == [number] * len(numbers)

    started_at = time.monotonic()
    world.run(world.wait_until(condition))
    conftest.assert_matches(
        time.monotonic() - started_at, matchers.LessThan(limit_s)
    )


@then('the version has not decreased on any entry VM')
def check_no_revert(world: worlds.World) -> None:
    versions: dict[str, Any] = world.shared['versions']
    for numbers in versions.values():
        conftest.assert_matches(numbers, matchers.Equals(sorted(numbers)))


@then(parsers.parse('entry-2 stays not ready for {seconds:d} seconds'))
def check_not_ready(world: worlds.World, seconds: int) -> None:
    async def poll() -> list[bool]:
        ready = []
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            ready.append((await world.read_state('entry-2'))['ready'])
            await asyncio.sleep(worlds.POLL_INTERVAL_S)
        return ready

    conftest.assert_matches(any(world.run(poll())), matchers.Equals(False))
