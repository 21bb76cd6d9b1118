"""Bursts, waves of cancellations, holding limits and bad endpoints."""

import itertools

import pytest_bdd
from pytest_bdd import given, parsers, then, when
from testtools import matchers

from tests.scenarios import conftest
from tests.scenarios import world as worlds

pytest_bdd.scenarios('features/limits.feature')

ONE_ZONE = {'sondrio': (1, 1)}


@given(parsers.parse('a contract with a queue of {queue:d} and 20 ms tasks'))
def start_small_queue(world: worlds.World, queue: int) -> None:
    world.run(world.start(zones=ONE_ZONE, queue=queue, max_job_tasks=queue))


@given(parsers.parse('a contract that holds {hold:d} tasks at 2 entry VMs'))
def start_small_hold(world: worlds.World, hold: int) -> None:
    world.run(world.start(zones={'sondrio': (2, 2)}, hold=hold))


@when(parsers.parse('{count:d} lookups are sent to entry-1 at once'))
def send_burst(world: worlds.World, count: int) -> None:
    async def send() -> None:
        for number in range(count):
            label = f'lookup-{number}'
            await world.submit(label, 'entry-1', kind='lookup', run_ms=20)

    world.run(send())


@when(parsers.parse('"{label}" is cancelled at {entry}'))
def cancel(world: worlds.World, label: str, entry: str) -> None:
    submission = world.submissions[label]
    path = f'{submission.path}/{submission.key}'
    reply = world.run(world.call(entry, 'DELETE', path))
    conftest.check(reply.status, matchers.LessThan(300))


@then(parsers.parse('at most {most:d} tasks of "{label}" have started in all'))
def check_few_started(world: worlds.World, most: int, label: str) -> None:
    # 8 slots start 40 tasks a second; the rest of the job needs 40 s.
    check = matchers.Not(matchers.GreaterThan(most))
    conftest.check(world.run(world.started(label)), check)


@then('every lookup is answered, as ran or as not_run with Retry-After')
def check_burst(world: worlds.World) -> None:
    for label in world.submissions:
        document = world.run(world.last_reply(label)).document
        conftest.check(
            (document.get('verdict'), bool(document.get('retry_after_s'))),
            matchers.MatchesAny(
                matchers.Equals(('ran', False)),
                matchers.Equals(('not_run', True)),
            ),
        )


@then('at least one lookup was refused')
def check_refused(world: worlds.World) -> None:
    verdicts = [
        world.run(world.last_reply(label)).document['verdict']
        for label in world.submissions
    ]
    conftest.check(verdicts, matchers.Contains('not_run'))


@then(parsers.parse('at most {most:d} tasks were at endpoints at once'))
def check_held(world: worlds.World, most: int) -> None:
    async def read() -> list[tuple[float, int]]:
        changes = []
        for name in world.deployment.endpoints:
            _, starts = await world.deployment.read_record(name)
            for start in starts:
                changes.append((start['arrival'], 1))
                changes.append((start['end'], -1))
        return sorted(changes)

    steps = (step for _, step in world.run(read()))
    conftest.check(
        max(itertools.accumulate(steps)),
        matchers.Not(matchers.GreaterThan(most)),
    )


@then(
    parsers.parse('the endpoint {endpoint} has started at most {most:d} tasks')
)
def check_share(world: worlds.World, endpoint: str, most: int) -> None:
    summary, _ = world.run(world.deployment.read_record(endpoint))
    conftest.check(summary['started'], matchers.Not(matchers.GreaterThan(most)))


@then(
    parsers.parse(
        'a request for "{label}" with a wrong credential gives {status:d}'
    )
)
def check_credential(world: worlds.World, label: str, status: int) -> None:
    submission = world.submissions[label]
    path = f'{submission.path}/{submission.key}'

    async def ask() -> int:
        async with world.deployment.session.get(
            world.deployment.entries['entry-1'].url(path),
            headers={'Authorization': 'Bearer other-credential-2'},
        ) as reply:
            return reply.status

    conftest.check(world.run(ask()), matchers.Equals(status))
