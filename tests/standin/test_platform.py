"""Tests of the stand-in platform: storage, rate limits and faults."""

import contextlib
import json
import subprocess
import sys

import testtools
from testtools import matchers

from sardineproxy.process import store
from sardineproxy.standin import (
    platform_faults,
    platform_server,
    platform_store,
    platform_thread,
)
from tests.version import samples

TIMEOUT_S = 60


def write(key, body=b'1'):
    return store.Write(key=key, body=body)


class StoreTest(testtools.TestCase):
    """Guards against the VM list of another time and an exceeded size limit."""

    def test_returns_the_list_in_force_at_a_time(self):
        store = platform_store.Store()
        for now in (10, 20):
            store.set_vms((), now=now)
        revisions = [store.list_at(time).revision for time in (9, 10, 25)]
        self.assertThat(revisions, matchers.Equals([0, 1, 2]))

    def test_has_no_capacity_beyond_its_limit(self):
        store = platform_store.Store()
        store.put_object('a', bytes(1000))
        remaining_bytes = platform_store.MAX_TOTAL_BYTES - 1000
        results = (
            store.has_capacity(remaining_bytes),
            store.has_capacity(remaining_bytes + 1),
        )
        self.assertThat(results, matchers.Equals((True, False)))


class RateLimitTest(testtools.TestCase):
    """Guards against a bucket that admits requests above the rate."""

    def test_refills_with_time(self):
        limit = platform_faults.RateLimit(per_s=2)
        results = [
            limit.try_acquire(now=now)
            for now in (0, 0, 0, 0.5, 0.5, 60, 60, 60)
        ]
        self.assertThat(
            results,
            matchers.Equals(
                [True, True, False, True, False, True, True, False]
            ),
        )


class ServerTest(testtools.TestCase):
    """Guards against exceeded limits, and faults that affect other requests."""

    def test_responds_with_429_above_its_rates(self):
        async def send_requests(client):
            writes = [await client.put_object('a', b'') for _ in range(4)]
            return writes, await client.read_rows('')

        limits = platform_server.Limits(writes_per_s=0.01, reads_per_s=2000)
        with platform_thread.running(limits=limits) as running:
            writes, read = samples.with_client(running, send_requests)
            counts = running.state()['counts']
        self.assertThat(
            [outcome.is_ok() for outcome in writes],
            matchers.Equals([True, False, False, False]),
        )
        self.assertThat(read.is_ok(), matchers.Is(True))
        self.assertThat(counts['refused_writes'], matchers.Equals(3))

    @samples.with_platform
    async def test_drops_only_responses_of_committed_writes(self, client):
        self.platform.control('lose-answers', {'writes': 2})
        unsatisfied = store.Condition(key='a', revision=9)
        outcomes = [
            await client.transact(conditions=conditions, writes=(write('a'),))
            for conditions in ((unsatisfied,), (), (), ())
        ]
        kinds = [
            outcome.err() and outcome.err().kind.value for outcome in outcomes
        ]
        rows = (await client.read_rows('a')).unwrap()
        self.assertThat(
            kinds, matchers.Equals(['conflict', 'unknown', 'unknown', None])
        )
        self.assertThat(rows[0].revision, matchers.Equals(3))

    @samples.with_platform
    async def test_refuses_transactions_above_its_limits(self, client):
        large = bytes(platform_store.MAX_ROW_BYTES + 1)
        for writes in (
            (),
            (write(''),),
            (write('a' * 257),),
            (write('a', large),),
            (write('a'),) * 65,
        ):
            outcome = await client.transact(conditions=(), writes=writes)
            self.assertThat(
                outcome.unwrap_err().kind,
                matchers.Is(store.ErrorKind.INVALID),
            )
        self.assertThat(self.platform.state()['rows'], matchers.Equals(0))


class ProgramTest(testtools.TestCase):
    """Guards against a program that prints no port or ignores SIGTERM."""

    def test_announces_its_port_and_exits_on_sigterm(self):
        command = [sys.executable, '-m', 'sardineproxy', 'standin-platform']
        with subprocess.Popen(command, stdout=subprocess.PIPE) as child:
            with contextlib.ExitStack() as stack:
                stack.callback(child.terminate)
                line = json.loads(child.stdout.readline())
                running = platform_thread.RunningPlatform(
                    port=line['ready']['http']
                )
                running.control('slow', {'ms': 1})
                slow_ms = running.state()['slow_ms']
            status = child.wait(TIMEOUT_S)
        self.assertThat((slow_ms, status), matchers.Equals((1, 0)))
