"""Crashes and freezes of endpoints, entry VMs and the platform."""

import signal

import pytest_bdd
from pytest_bdd import parsers, then, when
from testtools import matchers

from sardineproxy.demo import child
from tests.scenarios import conftest
from tests.scenarios import world as worlds

pytest_bdd.scenarios('features/back_ends.feature')


@when(parsers.parse('the process of {endpoint} is killed'))
def kill_endpoint(world: worlds.World, endpoint: str) -> None:
    # The record is lost with the process, so it is saved first; tasks that start
    # after that are not counted.
    world.run(world.save_record(endpoint))
    world.run(world.endpoint_processes[endpoint].kill())


@when(parsers.parse('the process of {endpoint} is frozen'))
def freeze_endpoint(world: worlds.World, endpoint: str) -> None:
    world.endpoint_processes[endpoint].signal(signal.SIGSTOP)


@when(parsers.parse('the process of {endpoint} is resumed'))
def resume_endpoint(world: worlds.World, endpoint: str) -> None:
    world.endpoint_processes[endpoint].signal(signal.SIGCONT)


def platform_process(world: worlds.World) -> child.Child:
    process = world.deployment.platform
    assert process is not None
    return process


@when("the platform's process is frozen")
def freeze_platform(world: worlds.World) -> None:
    platform_process(world).signal(signal.SIGSTOP)


@when("the platform's process is resumed")
def resume_platform(world: worlds.World) -> None:
    platform_process(world).signal(signal.SIGCONT)


@when('the platform is down')
def stop_platform(world: worlds.World) -> None:
    world.run(world.deployment.set_platform_faults(down=True))


@when(
    parsers.re(
        'a (?P<kind>job|stamping) "(?P<label>[a-z]+)" '
        '(of (?P<count>[0-9]+) tasks )?of (?P<run_ms>[0-9]+) ms '
        'with a deadline of (?P<deadline_ms>[0-9]+) ms is sent to (?P<entry>.*)'
    ),
    converters={'run_ms': int, 'deadline_ms': int},
)
def send_with_deadline(
    world: worlds.World,
    kind: str,
    label: str,
    count: str | None,
    run_ms: int,
    deadline_ms: int,
    entry: str,
) -> None:
    world.run(
        world.submit(
            label,
            entry,
            kind=kind,
            count=int(count or 1),
            run_ms=run_ms,
            deadline_ms=deadline_ms,
        )
    )


@then(parsers.parse('some tasks of "{label}" have the verdict {verdict}'))
def check_any_verdict(world: worlds.World, label: str, verdict: str) -> None:
    reply = world.run(world.wait_for_reply(label))
    verdicts = [task['verdict'] for task in reply.document['tasks']]
    conftest.assert_matches(verdicts, matchers.Contains(verdict))
