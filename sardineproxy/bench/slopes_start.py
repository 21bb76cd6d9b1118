"""Platform calls of a starting entry process and of the operator's apply."""

import asyncio
import random
import time

from sardineproxy.bench import slopes_fit, slopes_samples
from sardineproxy.operator import applying
from sardineproxy.process import metrics
from sardineproxy.version import follower, versions

CONTRACT_COUNT = 370

#: Versions at which a process starts: before and after a snapshot object.
START_VERSIONS = (4, 63, 100)


def measure(out: slopes_fit.Report) -> None:
    """Print the figures."""
    asyncio.run(_measure_all(out))


async def _measure_all(out: slopes_fit.Report) -> None:
    store = slopes_samples.InMemoryPlatform(
        vm_list=slopes_samples.make_vm_list(),
        contracts=slopes_samples.make_documents(CONTRACT_COUNT),
    )
    version = 1
    for start_version in START_VERSIONS:
        while version < start_version:
            await _apply(store, version)
            version += 1
        await _measure_start(out, store, version)
    await _measure_apply(out, store, version)


async def _measure_start(
    out: slopes_fit.Report, store: slopes_samples.InMemoryPlatform, version: int
) -> None:
    """Print what a process reads when it starts at ``version``."""
    new_follower = follower.Follower(
        platform=store,
        clock=slopes_samples.make_clock(),
        rng=random.Random(1),
        metrics=metrics.Metrics(),
        cfg=follower.Config(),
    )
    store.reset_counts()
    started_s = time.process_time()
    await new_follower.poll_once()
    cpu_us = (time.process_time() - started_s) * slopes_fit.US_PER_S
    assert new_follower.number() == version, (
        'the newest version was not applied'
    )
    note = f'at version {version}, {CONTRACT_COUNT} contracts'
    out.add_figure('start.config.reads', store.reads, 'reads', note)
    out.add_figure('start.config.bytes', store.read_bytes, 'B', note)
    out.add_figure('start.config.cpu', cpu_us, 'us', note)


async def _measure_apply(
    out: slopes_fit.Report, store: slopes_samples.InMemoryPlatform, version: int
) -> None:
    """Print the platform calls to apply a change of one contract."""
    store.reset_counts()
    started_s = time.process_time()
    await _apply(store, version)
    cpu_us = (time.process_time() - started_s) * slopes_fit.US_PER_S
    note = f'on version {version}, {CONTRACT_COUNT} contracts'
    out.add_figure('apply.reads', store.reads, 'reads', note)
    out.add_figure('apply.read_bytes', store.read_bytes, 'B', note)
    out.add_figure('apply.writes', store.writes, 'transactions', note)
    out.add_figure('apply.written_bytes', store.written_bytes, 'B', note)
    out.add_figure('apply.cpu', cpu_us, 'us', note)


async def _apply(store: slopes_samples.InMemoryPlatform, version: int) -> None:
    """Apply a change of the weight of one contract."""
    documents: versions.Documents = {
        **slopes_samples.make_documents(CONTRACT_COUNT),
        **slopes_samples.make_documents(1, weight=version + 1),
    }
    applied = await applying.apply(
        store,
        applying.ApplyRequest(
            documents=documents,
            base=version,
            operator='operator',
            apply_id='0' * 32,
        ),
    )
    assert isinstance(applied.unwrap(), applying.Applied)
