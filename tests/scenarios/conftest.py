"""Fixture and steps that all scenarios share."""

import signal
from typing import Any, Iterator

import pytest
import testtools
from pytest_bdd import given, parsers, then, when
from testtools import matchers

from tests.scenarios import world as worlds


@pytest.fixture
def world() -> Iterator[worlds.World]:
    """Provide the state of a scenario; check its replies at the end."""
    scenario_world = worlds.World()
    try:
        yield scenario_world
        assert_matches(
            scenario_world.run(scenario_world.find_contradictions()),
            matchers.Equals([]),
        )
    finally:
        scenario_world.close()


def assert_matches(actual: Any, matcher: Any) -> None:
    """Fail with the matcher's description unless ``actual`` matches."""
    testtools.TestCase('__init__').assertThat(actual, matcher)


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
def send_lookups(world: worlds.World, count: int, run_ms: int) -> None:
    async def send() -> None:
        for number in range(count):
            label = f'lookup-{number}'
            await world.submit(label, 'entry-1', kind='lookup', run_ms=run_ms)
            await world.wait_for_reply(label)

    world.run(send())


@when('every lookup has run')
def check_all_lookups_ran(world: worlds.World) -> None:
    for label in world.submissions:
        reply = world.run(world.wait_for_reply(label))
        assert_matches(reply.document.get('verdict'), matchers.Equals('ran'))


@when(parsers.parse('"{label}" is sent again to {entry}'))
def send_again(world: worlds.World, label: str, entry: str) -> None:
    async def send() -> None:
        world.send(label, entry)

    world.run(send())


@when(parsers.parse('at least {count:d} tasks of "{label}" have started'))
def wait_for_starts(world: worlds.World, count: int, label: str) -> None:
    async def condition() -> bool:
        return await world.count_started_tasks(label) >= count

    world.run(world.wait_until(condition))


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


@when(parsers.parse('the endpoint {endpoint} has the fault mode {mode}'))
def set_mode(world: worlds.World, endpoint: str, mode: str) -> None:
    world.run(world.deployment.set_endpoint_mode(endpoint, mode))


@when(parsers.parse('every endpoint has the fault mode {mode}'))
def set_all_modes(world: worlds.World, mode: str) -> None:
    for endpoint in world.deployment.endpoints:
        set_mode(world, endpoint, mode)


@then(
    parsers.parse(
        'the reply to "{label}" has status {status:d} and verdict {verdict}'
    )
)
def check_reply(
    world: worlds.World, label: str, status: int, verdict: str
) -> None:
    reply = world.run(world.wait_for_reply(label))
    assert_matches(
        (reply.status, reply.document.get('verdict')),
        matchers.Equals((status, verdict)),
    )


@then(parsers.parse('"{label}" is complete and all {count:d} tasks ran'))
def check_complete(world: worlds.World, label: str, count: int) -> None:
    reply = world.run(world.wait_for_reply(label))
    assert_matches(reply.document.get('state'), matchers.Equals('complete'))
    verdicts = [task['verdict'] for task in reply.document['tasks']]
    assert_matches(verdicts, matchers.Equals(['ran'] * count))


@then(parsers.parse('"{label}" has failed and has {count:d} verdicts'))
def check_failed(world: worlds.World, label: str, count: int) -> None:
    reply = world.run(world.wait_for_reply(label))
    assert_matches(reply.document.get('state'), matchers.Equals('failed'))
    assert_matches(reply.document['tasks'], matchers.HasLength(count))


@then(parsers.parse('exactly {count:d} tasks of "{label}" have started'))
def check_start_count(world: worlds.World, count: int, label: str) -> None:
    assert_matches(
        world.run(world.count_started_tasks(label)), matchers.Equals(count)
    )


@then(
    parsers.parse(
        'repeated status queries for "{label}" at {entry} return {verdict}'
    )
)
def check_status(
    world: worlds.World, entry: str, label: str, verdict: str
) -> None:
    submission = world.submissions[label]
    path = f'{submission.path}/{submission.key}'
    for _ in range(2):
        reply = world.run(world.call(entry, 'GET', path))
        assert_matches(reply.document.get('verdict'), matchers.Equals(verdict))
