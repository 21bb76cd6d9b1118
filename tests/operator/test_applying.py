"""Interleavings of ``apply`` that a race reaches only by chance."""

import result
import testtools
from testtools import matchers

from sardineproxy.operator import applying
from sardineproxy.process import platform
from sardineproxy.standin import platform_thread
from tests.version import samples


class Interleaved:
    """A platform client that runs ``act`` before its first transaction."""

    def __init__(self, client, act):
        self._client = client
        self._act = act

    def __getattr__(self, name):
        return getattr(self._client, name)

    async def transact(self, *, conditions, writes):
        if self._act is not None:
            act = self._act
            self._act = None
            await act()
        return await self._client.transact(conditions=conditions, writes=writes)


class NoObjects(Interleaved):
    """Loses the answer of each write of an object."""

    async def put_object(self, name, body):
        await self._client.put_object(name, body)
        lost = platform.PlatformError(
            kind=platform.ErrorKind.UNKNOWN, detail='reset'
        )
        return result.Err(lost)


class ApplyTest(testtools.TestCase):
    """The transaction decides, not what was read before it."""

    def outcome(self, act):
        with platform_thread.running() as running:
            return samples.with_client(running, act)

    def test_loses_to_a_change_between_its_read_and_its_write(self):
        async def act(client):
            rival = Interleaved(
                client, lambda: samples.apply(client, 0, 'bob', acme=2)
            )
            return await samples.apply(rival, 0, 'ann', acme=1)

        lost = self.outcome(act)
        self.assertThat(lost.newest.operator, matchers.Equals('bob'))
        self.assertThat(lost.was_wanted, matchers.Is(False))

    def test_a_rerun_and_the_first_write_arriving_late_make_one_version(self):
        async def act(client):
            late = Interleaved(client, lambda: samples.apply(client, 0, acme=1))
            outcome = await samples.apply(late, 0, acme=1)
            newest = await applying.read_newest(client)
            return outcome, newest.unwrap().snapshot.number

        outcome, number = self.outcome(act)
        self.assertThat(outcome, matchers.IsInstance(applying.AlreadyApplied))
        self.assertThat(number, matchers.Equals(1))

    def test_names_the_winner_and_the_newest(self):
        async def act(client):
            await samples.apply(client, 0, 'bob', acme=2)
            await samples.apply(client, 1, 'cat', acme=3)
            return await samples.apply(client, 0, 'ann', acme=1)

        lost = self.outcome(act)
        self.assertThat(
            (lost.winner.operator, lost.newest.operator),
            matchers.Equals(('bob', 'cat')),
        )

    def test_writes_the_snapshot_before_its_version(self):
        async def act(client):
            for base in range(63):
                await samples.apply(client, base, acme=base + 1)

            async def find_snapshot():
                found.append(running.state()['objects'])

            await samples.apply(Interleaved(client, find_snapshot), 63, beta=1)

        found = []
        with platform_thread.running() as running:
            samples.with_client(running, act)
        self.assertThat(found, matchers.Equals([1]))

    def test_a_failed_snapshot_leaves_no_version(self):
        async def act(client):
            for base in range(63):
                await samples.apply(client, base, acme=base + 1)
            wanted = applying.Wanted(
                documents={}, base=63, operator='ann', apply_id='1'
            )
            return await applying.apply(NoObjects(client, None), wanted)

        failed = self.outcome(act).unwrap_err()
        self.assertThat(
            failed.kind, matchers.Is(platform.ErrorKind.UNAVAILABLE)
        )
