"""Tests of ``apply`` with interleavings that are rare in a real race."""

import result
import testtools
from testtools import matchers

from sardineproxy.operator import applying
from sardineproxy.process import store
from tests.version import samples


UNAVAILABLE = store.ErrorKind.UNAVAILABLE


class InterleavingClient:
    """A platform client that awaits ``action`` before its first transaction."""

    def __init__(self, client, action):
        self._client = client
        self._action = action

    def __getattr__(self, name):
        return getattr(self._client, name)

    async def transact(self, *, conditions, writes):
        if self._action is not None:
            action = self._action
            self._action = None
            await action()
        return await self._client.transact(conditions=conditions, writes=writes)


class LostObjectWriteClient(InterleavingClient):
    """A platform client that loses the response to each write of an object."""

    async def put_object(self, name, body):
        await self._client.put_object(name, body)
        error = store.StoreError(kind=store.ErrorKind.UNKNOWN, detail='reset')
        return result.Err(error)


class ApplyTest(testtools.TestCase):
    """The transaction determines the outcome, not an earlier read."""

    @samples.with_platform
    async def test_change_between_read_and_write_is_a_conflict(self, client):
        """Guards against overwriting a version that another operator made.

        The other operator's change is committed after this command has read
        the newest version.
        """
        interleaved = InterleavingClient(
            client, lambda: samples.apply(client, 0, 'bob', acme=2)
        )
        conflict = await samples.apply(interleaved, 0, 'ann', acme=1)
        self.assertThat(
            (conflict.newest.operator, conflict.had_same_contracts),
            matchers.Equals(('bob', False)),
        )

    @samples.with_platform
    async def test_rerun_and_delayed_first_write_make_one_version(self, client):
        """Guards against a second version for the same contracts.

        The write of the first attempt takes effect after the second attempt has
        read the newest version.
        """
        delayed = InterleavingClient(
            client, lambda: samples.apply(client, 0, acme=1)
        )
        outcome = await samples.apply(delayed, 0, acme=1)
        newest = (await applying.read_newest(client)).unwrap()
        self.assertThat(outcome, matchers.IsInstance(applying.AlreadyApplied))
        self.assertThat(newest.snapshot.number, matchers.Equals(1))

    @samples.with_platform
    async def test_conflict_names_the_first_change_after_the_base(self, client):
        """Guards against hiding a change that another operator made first.

        The newest version has the requested contracts, but was made from
        another base.
        """
        await samples.apply(client, 0, 'bob', acme=2)
        await samples.apply(client, 1, 'cat', acme=1)
        conflict = await samples.apply(client, 0, 'ann', acme=1)
        self.assertThat(
            (
                conflict.first_change.operator,
                conflict.newest.operator,
                conflict.had_same_contracts,
            ),
            matchers.Equals(('bob', 'cat', False)),
        )

    @samples.with_platform
    async def test_snapshot_is_written_before_its_version(self, client):
        """Guards against a version without its snapshot.

        The response to the write of the snapshot is lost, so the command must
        not make the version.
        """
        for base in range(63):
            await samples.apply(client, base, acme=base + 1)
        request = applying.ApplyRequest(
            documents={}, base=63, operator='ann', apply_id='1'
        )
        failed = await applying.apply(
            LostObjectWriteClient(client, None), request
        )
        object_counts = []

        async def count_objects():
            object_counts.append(self.platform.state()['objects'])

        applied = await samples.apply(
            InterleavingClient(client, count_objects), 63, beta=1
        )
        self.assertThat(failed.unwrap_err().kind, matchers.Is(UNAVAILABLE))
        self.assertThat(applied, matchers.IsInstance(applying.Applied))
        # The object of the failed attempt and that of the version.
        self.assertThat(object_counts, matchers.Equals([2]))
