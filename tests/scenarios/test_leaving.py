"""Graceful shutdown of entry VMs, and endpoints that leave or refuse."""

import asyncio
import itertools

import pytest_bdd
from pytest_bdd import parsers, then, when
from testtools import matchers

from sardineproxy import exit_status
from tests.scenarios import conftest
from tests.scenarios import world as worlds

pytest_bdd.scenarios('features/leaving.feature')


@when(parsers.parse('{entry} is not ready any more'))
def wait_not_ready(world: worlds.World, entry: str) -> None:
    async def holds() -> bool:
        return not (await world.state(entry))['ready']

    world.run(world.until(holds))


@when(
    parsers.parse(
        'a lookup "{label}" is refused by {entry} with {status:d} and {verdict}'
    )
)
def wait_refused(
    world: worlds.World, label: str, entry: str, status: int, verdict: str
) -> None:
    numbers = itertools.count()

    async def holds() -> bool:
        # Each try is a request of its own for the checker.
        name = f'{label}-{next(numbers)}'
        await world.submit(name, entry, kind='lookup', run_ms=10)
        reply = await world.last_reply(name)
        found = (reply.status, reply.document.get('verdict'))
        return found == (status, verdict)

    world.run(world.until(holds))


@when(parsers.parse('the endpoint {endpoint} is listed as leaving'))
def list_leaving(world: worlds.World, endpoint: str) -> None:
    world.run(world.deployment.set_vm_state(endpoint, 'leaving'))


@when(parsers.parse('{seconds:d} seconds have passed for the list to be read'))
def wait_for_list(world: worlds.World, seconds: int) -> None:
    world.run(asyncio.sleep(seconds))


@when(parsers.parse("the platform's list lags by {seconds:d} seconds"))
def lag_list(world: worlds.World, seconds: int) -> None:
    world.run(world.deployment.set_platform_faults(list_lag_s=seconds))


@when('the platform is down')
def stop_platform(world: worlds.World) -> None:
    world.run(world.deployment.set_platform_faults(down=True))


@then(parsers.parse('{entry} ends with the status {name}'))
def check_end(world: worlds.World, entry: str, name: str) -> None:
    process = world.deployment.entries[entry].process

    async def ended() -> bool:
        return process.returncode is not None

    world.run(world.until(ended))
    assert process.returncode is not None
    conftest.check(
        exit_status.ExitStatus(process.returncode).name,
        matchers.Equals(name),
    )


@then(parsers.parse('the endpoint {endpoint} has started no task of "{label}"'))
def check_no_start(world: worlds.World, endpoint: str, label: str) -> None:
    _, starts = world.run(world.deployment.read_record(endpoint))
    tasks = set(world.submissions[label].tasks)
    found = [start['task'] for start in starts if start['task'] in tasks]
    conftest.check(found, matchers.Equals([]))
