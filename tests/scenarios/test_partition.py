"""Network partitions: relays cut or silence the streams between peers."""

from typing import Any

import pytest_bdd
from pytest_bdd import given, parsers, then, when
from testtools import matchers

from sardineproxy.demo import parts
from tests.scenarios import conftest
from tests.scenarios import world as worlds

pytest_bdd.scenarios('features/partition.feature')


@given(
    parsers.parse(
        '2 zones with {entries:d} entry VMs and {endpoints:d} endpoints each, '
        'peers behind relays'
    )
)
def start_zones(world: worlds.World, entries: int, endpoints: int) -> None:
    world.run(
        world.start(
            zones={
                'sondrio': (entries, endpoints),
                'tirano': (entries, endpoints),
            },
            relays=True,
        )
    )
    wait_for_peers(world, 'entry-1')
    wait_for_peers(world, 'entry-2')


@when(parsers.parse('the relays are set to {mode}'))
def set_relay_mode(world: worlds.World, mode: str) -> None:
    _set_relay_mode(world, {'mode': mode})


@when('open relayed connections go silent')
def silence_open_connections(world: worlds.World) -> None:
    _set_relay_mode(world, {'mode': 'silent', 'scope': 'open'})


def _set_relay_mode(world: worlds.World, setting: dict[str, Any]) -> None:
    for port in world.shared['relay_controls']:
        world.run(
            world.deployment.request(
                'POST',
                f'http://{parts.HOST}:{port}/control/mode',
                setting,
            )
        )


@when('the platform is down')
def stop_platform(world: worlds.World) -> None:
    world.run(world.deployment.set_platform_faults(down=True))


@when(parsers.parse('{entry} can reach its peers again'))
def wait_for_peers(world: worlds.World, entry: str) -> None:
    async def condition() -> bool:
        return bool((await world.read_state(entry))['peers']['peers'])

    world.run(world.wait_until(condition))


@then(parsers.parse('the verdict on "{label}" is not final'))
def check_not_final(world: worlds.World, label: str) -> None:
    reply = world.run(world.wait_for_reply(label))
    conftest.assert_matches(reply.document.get('final'), matchers.Equals(False))
