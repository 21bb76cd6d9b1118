"""Reads of an entry process that starts, and calls of the operator's apply."""

import asyncio
import random
import time

from sardineproxy.bench import slopes_fit, slopes_samples
from sardineproxy.operator import applying
from sardineproxy.process import metrics
from sardineproxy.version import follower, versions

CONTRACTS = 370

#: Versions at which a process starts: before and after a snapshot object.
VERSIONS = (4, 63, 100)


def measure(out: slopes_fit.Report) -> None:
    """Print the figures."""
    asyncio.run(_measure(out))


async def _measure(out: slopes_fit.Report) -> None:
    store = slopes_samples.MemoryPlatform(
        vm_list=slopes_samples.listing(),
        contracts=slopes_samples.documents(CONTRACTS),
    )
    base = 1
    for wanted in VERSIONS:
        while base < wanted:
            await _apply(store, base)
            base += 1
        await _measure_start(out, store, base)
    await _measure_apply(out, store, base)


async def _measure_start(
    out: slopes_fit.Report, store: slopes_samples.MemoryPlatform, version: int
) -> None:
    """Print what a process reads that starts at this version."""
    started = follower.Follower(
        platform=store,
        clock=slopes_samples.system_clock(),
        rng=random.Random(1),
        metrics=metrics.Metrics(),
        cfg=follower.Config(),
    )
    store.reset_counts()
    began_s = time.process_time()
    await started.poll_once()
    took_us = (time.process_time() - began_s) * slopes_fit.US_PER_S
    assert started.number() == version, 'the newest version is in force'
    note = f'at version {version}, {CONTRACTS} contracts'
    out.add_figure('start.config.reads', store.reads, 'reads', note)
    out.add_figure('start.config.bytes', store.read_bytes, 'B', note)
    out.add_figure('start.config.cpu', took_us, 'us', note)


async def _measure_apply(
    out: slopes_fit.Report, store: slopes_samples.MemoryPlatform, base: int
) -> None:
    """Print what one apply of one changed contract asks of the platform."""
    store.reset_counts()
    began_s = time.process_time()
    await _apply(store, base)
    took_us = (time.process_time() - began_s) * slopes_fit.US_PER_S
    note = f'on version {base}, {CONTRACTS} contracts'
    out.add_figure('apply.reads', store.reads, 'reads', note)
    out.add_figure('apply.read_bytes', store.read_bytes, 'B', note)
    out.add_figure('apply.writes', store.writes, 'transactions', note)
    out.add_figure('apply.written_bytes', store.written_bytes, 'B', note)
    out.add_figure('apply.cpu', took_us, 'us', note)


async def _apply(store: slopes_samples.MemoryPlatform, base: int) -> None:
    """Change one contract's weight."""
    wanted: versions.Documents = {
        **slopes_samples.documents(CONTRACTS),
        **slopes_samples.documents(1, weight=base + 1),
    }
    applied = await applying.apply(
        store,
        applying.ApplyRequest(
            documents=wanted,
            base=base,
            operator='operator',
            apply_id='0' * 32,
        ),
    )
    assert isinstance(applied.unwrap(), applying.Applied)
