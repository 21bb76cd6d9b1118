"""Contracts, versions, followers and a platform client for tests."""

import asyncio
import hashlib

import random

import aiohttp

from sardineproxy import clock
from sardineproxy.operator import applying
from sardineproxy.process import metrics, platform_http
from sardineproxy.standin import platform_thread
from sardineproxy.version import contracts, follower, versions


def contract_fields(customer='acme', **changes):
    credential = hashlib.sha256(customer.encode()).hexdigest()
    return {
        'customer': customer,
        'credential_sha256': [credential],
        'weight': 1,
        'submit_per_s': 100,
        'submit_burst': 2000,
        'hold': 10,
        'queue': 2000,
        **changes,
    }


def documents(**weights):
    """Return the canonical texts of contracts with the weights by customer."""
    return versions.encode_contracts(
        contracts.Contract(**contract_fields(name, weight=weight))
        for name, weight in weights.items()
    )


def make_chain(*documents_by_version):
    """Return the snapshots and changes of versions with these documents.

    The first snapshot is the empty version 0.
    """
    snapshots, changes = [versions.EMPTY], []
    for number, version_documents in enumerate(documents_by_version, start=1):
        head = versions.Head(
            number=number,
            digest=versions.compute_digest(version_documents),
            operator='ann',
            apply_id='0f',
        )
        changed, removed = versions.diff_documents(
            snapshots[-1].documents, version_documents
        )
        change = versions.Change(head=head, documents=changed, removed=removed)
        changes.append(change)
        snapshots.append(versions.apply(snapshots[-1], change).unwrap())
    return snapshots, changes


def make_follower(client=None, **cfg):
    return follower.Follower(
        platform=client,
        clock=clock.ManualClock(),
        rng=random.Random(7),
        metrics=metrics.Metrics(),
        cfg=follower.Config(**cfg),
    )


def with_client(address, action):
    """Run ``action`` with a client of the platform."""

    async def run():
        async with aiohttp.ClientSession() as session:
            client = platform_http.HttpPlatform(
                session=session, host=address.host, port=address.port
            )
            return await action(client)

    return asyncio.run(run())


def with_platform(test):
    """Decorator that runs a test with a stand-in platform and its client."""

    def run(self):
        with platform_thread.running() as running:
            self.platform = running
            with_client(running, lambda client: test(self, client))

    return run


async def apply(client, base, operator='ann', **weights):
    """Apply a version ``base + 1`` with these weights."""
    request = applying.ApplyRequest(
        documents=documents(**weights),
        base=base,
        operator=operator,
        apply_id='0f',
    )
    return (await applying.apply(client, request)).unwrap()
