"""Graceful shutdown of entry VMs; endpoints that leave or refuse work."""

import asyncio
import itertools

import pytest_bdd
from pytest_bdd import parsers, then, when
from testtools import matchers

from sardineproxy import exit_status
from tests.scenarios import conftest
from tests.scenarios import world as worlds

pytest_bdd.scenarios('features/leaving.feature')


@when(parsers.parse('{entry} is no longer ready'))
def wait_until_not_ready(world: worlds.World, entry: str) -> None:
    async def condition() -> bool:
        return not (await world.read_state(entry))['ready']

    world.run(world.wait_until(condition))


@when(
    parsers.parse(
        'a lookup "{label}" is refused by {entry} with {status:d} and {verdict}'
    )
)
def wait_for_refusal(
    world: worlds.World, label: str, entry: str, status: int, verdict: str
) -> None:
    numbers = itertools.count()

    async def condition() -> bool:
        # Each attempt has its own label, so that its reply is checked, too.
        attempt_label = f'{label}-{next(numbers)}'
        await world.submit(attempt_label, entry, kind='lookup', run_ms=10)
        reply = await world.wait_for_reply(attempt_label)
        actual = (reply.status, reply.document.get('verdict'))
        return actual == (status, verdict)

    world.run(world.wait_until(condition))


@when(parsers.parse('the endpoint {endpoint} is listed as leaving'))
def set_leaving(world: worlds.World, endpoint: str) -> None:
    world.run(world.deployment.set_vm_state(endpoint, 'leaving'))


@when(parsers.parse('{seconds:d} seconds have passed'))
def wait(world: worlds.World, seconds: int) -> None:
    world.run(asyncio.sleep(seconds))


@when(parsers.parse("the platform's list lags by {seconds:d} seconds"))
def set_list_lag(world: worlds.World, seconds: int) -> None:
    world.run(world.deployment.set_platform_faults(list_lag_s=seconds))


@when(
    parsers.parse(
        'lookups of {run_ms:d} ms are sent to entry-1 until it ejects {endpoint}'
    )
)
def send_lookups_until_ejected(
    world: worlds.World, run_ms: int, endpoint: str
) -> None:
    """Send lookups one by one; which endpoint gets them is left to chance."""
    numbers = itertools.count()

    async def condition() -> bool:
        label = f'lookup-{next(numbers)}'
        await world.submit(label, 'entry-1', kind='lookup', run_ms=run_ms)
        await world.wait_for_reply(label)
        state = await world.read_state('entry-1')
        estimates = state['dispatcher']['endpoints']
        return estimates[endpoint]['ejected_for_s'] is not None

    world.run(world.wait_until(condition))


@when('the platform is down')
def stop_platform(world: worlds.World) -> None:
    world.run(world.deployment.set_platform_faults(down=True))


@then(parsers.parse('{entry} exits with status {name}'))
def check_exit_status(world: worlds.World, entry: str, name: str) -> None:
    process = world.deployment.entries[entry].process

    async def has_exited() -> bool:
        return process.returncode is not None

    world.run(world.wait_until(has_exited))
    assert process.returncode is not None
    conftest.assert_matches(
        exit_status.ExitStatus(process.returncode).name,
        matchers.Equals(name),
    )


@then(parsers.parse('the endpoint {endpoint} has started no task of "{label}"'))
def check_no_starts(world: worlds.World, endpoint: str, label: str) -> None:
    _, starts = world.run(world.deployment.read_record(endpoint))
    tasks = set(world.submissions[label].tasks)
    started = [start['task'] for start in starts if start['task'] in tasks]
    conftest.assert_matches(started, matchers.Equals([]))
