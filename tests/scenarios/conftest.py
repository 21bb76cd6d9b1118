"""Steps that the scenarios share."""

import signal
from typing import Any, Iterator

import pytest
import testtools
from pytest_bdd import given, parsers, then, when
from testtools import matchers

from tests.scenarios import world as worlds


@pytest.fixture
def world() -> Iterator[worlds.World]:
    """Run a scenario; at its end the checker reads the endpoints' records."""
    scenario_world = worlds.World()
    try:
        yield scenario_world
        check(scenario_world.run(scenario_world.check()), matchers.Equals([]))
    finally:
        scenario_world.close()


def check(found: Any, matcher: Any) -> None:
    """Fail with the matcher's description unless it matches."""
    testtools.TestCase('__init__').assertThat(found, matcher)


@given(
    parsers.parse(
        'a zone with {entries:d} entry VMs and {endpoints:d} endpoints'
    )
)
def start_one_zone(world: worlds.World, entries: int, endpoints: int) -> None:
    world.run(world.start(zones={'sondrio': (entries, endpoints)}))


@when(
    parsers.parse(
        'a job "{label}" of {count:d} tasks of {run_ms:d} ms is sent to {entry}'
    )
)
def send_job(
    world: worlds.World, label: str, count: int, run_ms: int, entry: str
) -> None:
    world.run(
        world.submit(label, entry, kind='job', count=count, run_ms=run_ms)
    )


@when(parsers.parse('a {kind} "{label}" of {run_ms:d} ms is sent to {entry}'))
def send_single(
    world: worlds.World, kind: str, label: str, run_ms: int, entry: str
) -> None:
    world.run(world.submit(label, entry, kind=kind, run_ms=run_ms))


@when(parsers.parse('{count:d} lookups of {run_ms:d} ms are sent to entry-1'))
def send_in_turn(world: worlds.World, count: int, run_ms: int) -> None:
    async def send() -> None:
        for number in range(count):
            label = f'lookup-{number}'
            await world.submit(label, 'entry-1', kind='lookup', run_ms=run_ms)
            await world.last_reply(label)

    world.run(send())


@when('every lookup has run')
def check_lookups(world: worlds.World) -> None:
    for label in world.submissions:
        reply = world.run(world.last_reply(label))
        check(reply.document.get('verdict'), matchers.Equals('ran'))


@when(parsers.parse('"{label}" is sent again to {entry}'))
def send_again(world: worlds.World, label: str, entry: str) -> None:
    async def send() -> None:
        world.send(label, entry)

    world.run(send())


@when(parsers.parse('{count:d} tasks of "{label}" have started'))
def wait_for_starts(world: worlds.World, count: int, label: str) -> None:
    async def holds() -> bool:
        return await world.started(label) >= count

    world.run(world.until(holds))


@when(parsers.re(r'(?P<entry>entry-\d+) is (?P<action>[a-z ]+)'))
def act_on_entry(world: worlds.World, entry: str, action: str) -> None:
    process = world.deployment.entries[entry].process
    match action:
        case 'killed':
            world.run(process.kill())
        case 'frozen':
            process.signal(signal.SIGSTOP)
        case 'resumed':
            process.signal(signal.SIGCONT)
        case 'asked to stop':
            process.signal(signal.SIGTERM)
        case _:
            raise ValueError(f'no such action: {action}')


@when(parsers.parse('the endpoint {endpoint} shows the fault {mode}'))
def set_mode(world: worlds.World, endpoint: str, mode: str) -> None:
    world.run(world.deployment.set_endpoint_mode(endpoint, mode))


@when(parsers.parse('every endpoint shows the fault {mode}'))
def set_all_modes(world: worlds.World, mode: str) -> None:
    for endpoint in world.deployment.endpoints:
        set_mode(world, endpoint, mode)


@then(parsers.parse('"{label}" is answered with {status:d} and {verdict}'))
def check_verdict(
    world: worlds.World, label: str, status: int, verdict: str
) -> None:
    reply = world.run(world.last_reply(label))
    check(
        (reply.status, reply.document.get('verdict')),
        matchers.Equals((status, verdict)),
    )


@then(parsers.parse('"{label}" is complete with {count:d} answers'))
def check_complete(world: worlds.World, label: str, count: int) -> None:
    reply = world.run(world.last_reply(label))
    check(reply.document.get('state'), matchers.Equals('complete'))
    ran = [task['verdict'] for task in reply.document['tasks']]
    check(ran, matchers.Equals(['ran'] * count))


@then(parsers.parse('"{label}" is marked failed with {count:d} verdicts'))
def check_failed(world: worlds.World, label: str, count: int) -> None:
    reply = world.run(world.last_reply(label))
    check(reply.document.get('state'), matchers.Equals('failed'))
    check(reply.document['tasks'], matchers.HasLength(count))


@then(parsers.parse('{count:d} tasks of "{label}" have started in all'))
def check_started(world: worlds.World, count: int, label: str) -> None:
    check(world.run(world.started(label)), matchers.Equals(count))


@then(parsers.parse('asking {entry} about "{label}" gives {verdict} each time'))
def check_status(
    world: worlds.World, entry: str, label: str, verdict: str
) -> None:
    submission = world.submissions[label]
    path = f'{submission.path}/{submission.key}'
    for _ in range(2):
        reply = world.run(world.call(entry, 'GET', path))
        check(reply.document.get('verdict'), matchers.Equals(verdict))
