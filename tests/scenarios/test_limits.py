"""Bursts, cancellations, hold limits and failing endpoints."""

import itertools

import pytest_bdd
from pytest_bdd import given, parsers, then, when
from testtools import matchers

from tests.scenarios import conftest
from tests.scenarios import world as worlds

pytest_bdd.scenarios('features/limits.feature')

ONE_ZONE = {'sondrio': (1, 1)}


@given(parsers.parse('a contract with a queue of {queue:d} and 20 ms tasks'))
def start_with_queue_limit(world: worlds.World, queue: int) -> None:
    world.run(world.start(zones=ONE_ZONE, queue=queue, max_job_tasks=queue))


@given(
    parsers.parse(
        'a contract with a hold limit of {hold:d} tasks and 2 entry VMs'
    )
)
def start_with_hold_limit(world: worlds.World, hold: int) -> None:
    world.run(world.start(zones={'sondrio': (2, 2)}, hold=hold))


@when(parsers.parse('{count:d} lookups are sent to entry-1 at once'))
def send_burst(world: worlds.World, count: int) -> None:
    async def send() -> None:
        for number in range(count):
            label = f'lookup-{number}'
            await world.submit(label, 'entry-1', kind='lookup', run_ms=20)

    world.run(send())


@when(parsers.parse('"{label}" is cancelled at {entry}'))
def cancel_submission(world: worlds.World, label: str, entry: str) -> None:
    submission = world.submissions[label]
    path = f'{submission.path}/{submission.key}'
    reply = world.run(world.call(entry, 'DELETE', path))
    conftest.assert_matches(reply.status, matchers.LessThan(300))


@then(parsers.parse('at most {max_count:d} tasks of "{label}" have started'))
def check_max_starts(world: worlds.World, max_count: int, label: str) -> None:
    # 8 slots start 40 tasks a second; the whole job would take over 40 s.
    matcher = matchers.Not(matchers.GreaterThan(max_count))
    conftest.assert_matches(
        world.run(world.count_started_tasks(label)), matcher
    )


@then('every lookup has the verdict ran, or not_run with retry_after_s')
def check_burst_verdicts(world: worlds.World) -> None:
    for label in world.submissions:
        document = world.run(world.wait_for_reply(label)).document
        conftest.assert_matches(
            (document.get('verdict'), bool(document.get('retry_after_s'))),
            matchers.MatchesAny(
                matchers.Equals(('ran', False)),
                matchers.Equals(('not_run', True)),
            ),
        )


@then('at least one lookup was refused')
def check_any_refused(world: worlds.World) -> None:
    verdicts = [
        world.run(world.wait_for_reply(label)).document['verdict']
        for label in world.submissions
    ]
    conftest.assert_matches(verdicts, matchers.Contains('not_run'))


@then(
    parsers.parse(
        'at most {max_count:d} tasks were at endpoints at the same time'
    )
)
def check_max_concurrency(world: worlds.World, max_count: int) -> None:
    async def read_changes() -> list[tuple[float, int]]:
        changes = []
        for name in world.deployment.endpoints:
            _, starts = await world.deployment.read_record(name)
            for start in starts:
                changes.append((start['arrival'], 1))
                changes.append((start['end'], -1))
        return sorted(changes)

    deltas = (delta for _, delta in world.run(read_changes()))
    conftest.assert_matches(
        max(itertools.accumulate(deltas)),
        matchers.Not(matchers.GreaterThan(max_count)),
    )


@then(
    parsers.parse(
        'the endpoint {endpoint} has started at most {max_count:d} tasks'
    )
)
def check_endpoint_starts(
    world: worlds.World, endpoint: str, max_count: int
) -> None:
    summary, _ = world.run(world.deployment.read_record(endpoint))
    conftest.assert_matches(
        summary['started'], matchers.Not(matchers.GreaterThan(max_count))
    )


@then(
    parsers.parse(
        'a status query for "{label}" with a wrong credential returns {status:d}'
    )
)
def check_credential(world: worlds.World, label: str, status: int) -> None:
    submission = world.submissions[label]
    path = f'{submission.path}/{submission.key}'

    async def query() -> int:
        async with world.deployment.session.get(
            world.deployment.entries['entry-1'].url(path),
            headers={'Authorization': 'Bearer other-credential-2'},
        ) as reply:
            return reply.status

    conftest.assert_matches(world.run(query()), matchers.Equals(status))
