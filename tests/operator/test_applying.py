"""Interleavings of ``apply`` that a race reaches only by chance."""

import result
import testtools
from testtools import matchers

from sardineproxy.operator import applying
from sardineproxy.process import store
from tests.version import samples


UNAVAILABLE = store.ErrorKind.UNAVAILABLE


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
        lost = store.StoreError(kind=store.ErrorKind.UNKNOWN, detail='reset')
        return result.Err(lost)


class ApplyTest(testtools.TestCase):
    """The transaction decides, not what was read before it."""

    @samples.with_platform
    async def test_loses_to_a_change_between_its_read_and_its_write(
        self, client
    ):
        rival = Interleaved(
            client, lambda: samples.apply(client, 0, 'bob', acme=2)
        )
        lost = await samples.apply(rival, 0, 'ann', acme=1)
        self.assertThat(
            (lost.newest.operator, lost.had_same_contracts),
            matchers.Equals(('bob', False)),
        )

    @samples.with_platform
    async def test_a_rerun_and_the_first_write_arriving_late_make_one_version(
        self, client
    ):
        late = Interleaved(client, lambda: samples.apply(client, 0, acme=1))
        outcome = await samples.apply(late, 0, acme=1)
        newest = (await applying.read_newest(client)).unwrap()
        self.assertThat(outcome, matchers.IsInstance(applying.AlreadyApplied))
        self.assertThat(newest.snapshot.number, matchers.Equals(1))

    @samples.with_platform
    async def test_names_the_winner_even_if_the_newest_has_the_wanted_contracts(
        self, client
    ):
        await samples.apply(client, 0, 'bob', acme=2)
        await samples.apply(client, 1, 'cat', acme=1)
        lost = await samples.apply(client, 0, 'ann', acme=1)
        self.assertThat(
            (
                lost.first_change.operator,
                lost.newest.operator,
                lost.had_same_contracts,
            ),
            matchers.Equals(('bob', 'cat', False)),
        )

    @samples.with_platform
    async def test_no_version_is_made_before_its_snapshot(self, client):
        for base in range(63):
            await samples.apply(client, base, acme=base + 1)
        wanted = applying.ApplyRequest(
            documents={}, base=63, operator='ann', apply_id='1'
        )
        failed = await applying.apply(NoObjects(client, None), wanted)
        found = []

        async def count_objects():
            found.append(self.platform.state()['objects'])

        made = await samples.apply(
            Interleaved(client, count_objects), 63, beta=1
        )
        self.assertThat(failed.unwrap_err().kind, matchers.Is(UNAVAILABLE))
        self.assertThat(made, matchers.IsInstance(applying.Applied))
        # The object of the failed attempt and that of the version.
        self.assertThat(found, matchers.Equals([2]))
