"""Duplicate starts and verdicts when real processes crash or freeze."""

import pytest_bdd
from pytest_bdd import parsers, when

from tests.scenarios import world as worlds

pytest_bdd.scenarios('features/at_most_once.feature')


@when(parsers.parse('{entry} owns all slots'))
def wait_for_takeover(world: worlds.World, entry: str) -> None:
    async def condition() -> bool:
        owned = (await world.read_state(entry))['slots']['owned']
        return set(owned) == set(world.deployment.endpoints)

    world.run(world.wait_until(condition))
