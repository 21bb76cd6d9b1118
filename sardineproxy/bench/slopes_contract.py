"""Slopes of contracts and of changes of the configuration."""

import functools
import math
import random

from sardineproxy import ids
from sardineproxy.bench import slopes_fit, slopes_samples
from sardineproxy.connection import frames
from sardineproxy.process import (
    config_exchange,
    gossip,
    components,
    slots,
    views,
)
from sardineproxy.version import codec, versions

CONTRACT_COUNTS = (100, 370, 1000)
CHANGE_COUNTS = (16, 64, 128)
PEER_COUNTS = (2, 8, 32)

#: Number of contracts that the system is designed for.
TARGET_CONTRACTS = 370


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure_slope(
            'contract.memory',
            'B/contract',
            _measure_version_memory,
            CONTRACT_COUNTS,
            repeats=2,
        )
    )
    out.add(
        slopes_fit.measure_slope(
            'contract.snapshot',
            'B/contract',
            lambda count: len(codec.encode_snapshot(_make_snapshot(count))),
            CONTRACT_COUNTS,
            repeats=1,
        )
    )
    out.add(
        slopes_fit.measure_slope(
            'change.apply', 'us/contract', _time_apply, CONTRACT_COUNTS
        )
    )
    out.add(
        slopes_fit.measure_slope(
            'change.row',
            'B/changed contract',
            _measure_row_bytes,
            (1, 4, 16),
            repeats=1,
        )
    )
    out.add(
        slopes_fit.measure_slope(
            'change.kept',
            'B/change',
            _measure_change_memory,
            CHANGE_COUNTS,
            repeats=1,
        )
    )
    _measure_propagation(out)


def _measure_propagation(out: slopes_fit.Report) -> None:
    """Print the cost of propagating one version to peers."""
    entry_components, payload = _build_with_change()
    exchange = config_exchange.ConfigExchange(
        gossip=gossip.Gossip(
            version_follower=entry_components.version_follower,
            list_follower=entry_components.list_follower,
        ),
        rng=random.Random(1),
    )
    fetch = frames.ConfigFetch(version=1, revision=0)
    announce = frames.ConfigAnnounce(version=2, revision=0)
    out.add(
        slopes_fit.measure_slope(
            'change.pass_on',
            'us/peer',
            functools.partial(_time_propagation, exchange, announce, fetch),
            PEER_COUNTS,
        )
    )
    sent_frames: list[frames.Frame] = [
        announce,
        fetch,
        exchange.handle_fetch(fetch),
    ]
    out.add_figure(
        'change.pass_on.bytes',
        math.fsum(len(frames.encode(frame).unwrap()) for frame in sent_frames),
        'B/peer',
        f'announce, fetch and changes; the change itself {len(payload)}',
    )


def _time_propagation(
    exchange: config_exchange.ConfigExchange,
    announce: frames.ConfigAnnounce,
    fetch: frames.ConfigFetch,
    peer_count: int,
) -> float:
    def announce_and_reply() -> None:  # noqa: WPS430
        for _ in range(peer_count):
            frames.encode(announce).unwrap()
            frames.encode(exchange.handle_fetch(fetch)).unwrap()

    return slopes_fit.measure_cpu_us(announce_and_reply, repetitions=20)


def _make_snapshot(count: int) -> versions.Snapshot:
    return slopes_samples.make_snapshot(slopes_samples.make_documents(count))


def _measure_version_memory(count: int) -> float:
    """Return the memory of the version that an entry process applies."""
    payload = codec.encode_payload(
        codec.Payload(snapshot=_make_snapshot(count), changes=())
    )
    entry_components = _build_components()

    def apply_payload() -> components.Components:  # noqa: WPS430
        entry_components.version_follower.offer(payload)
        return entry_components

    return slopes_fit.measure_heap_bytes(apply_payload)


def _time_apply(count: int) -> float:
    """Return the CPU time to apply a change of one of ``count`` contracts.

    Covers the follower and its subscribers: limits, weights and shares. Also
    covers the share of each customer's concurrency limit, which is computed
    on use.
    """
    entry_components = _build_components()
    first_version = _make_snapshot(count)
    entry_components.version_follower.offer(
        codec.encode_payload(codec.Payload(snapshot=first_version, changes=()))
    )
    payload = codec.encode_payload(_make_payload(first_version, 1))

    def apply_payload() -> None:  # noqa: WPS430
        entry_components.version_follower.offer(payload)
        for customer in first_version.documents:
            entry_components.slots.limit_share(customer)

    cpu_us = slopes_fit.measure_cpu_us(apply_payload)
    assert (
        entry_components.version_follower.number() == first_version.number + 1
    ), 'the change was not applied'
    return cpu_us


def _make_payload(
    old_snapshot: versions.Snapshot, changed_count: int
) -> codec.Payload:
    """Return a change of the weights of the first ``changed_count`` contracts."""
    documents = {
        **old_snapshot.documents,
        **slopes_samples.make_documents(
            changed_count, weight=old_snapshot.number + 1
        ),
    }
    return slopes_samples.make_payload(old_snapshot, documents)


def _measure_row_bytes(changed_count: int) -> float:
    return len(
        codec.encode_change(
            _make_payload(_make_snapshot(20), changed_count).changes[0]
        )
    )


def _measure_change_memory(change_count: int) -> float:
    """Return the memory of the changes that are retained for peers."""
    newest_snapshot = _make_snapshot(TARGET_CONTRACTS)
    payloads = []
    for _ in range(change_count):
        payload = _make_payload(newest_snapshot, 1)
        newest_snapshot = versions.apply(
            newest_snapshot, payload.changes[0]
        ).unwrap()
        payloads.append(codec.encode_payload(payload))
    entry_components = _build_components()
    entry_components.version_follower.offer(
        codec.encode_payload(
            codec.Payload(snapshot=_make_snapshot(TARGET_CONTRACTS), changes=())
        )
    )

    def apply_payloads() -> components.Components:  # noqa: WPS430
        for payload in payloads:
            entry_components.version_follower.offer(payload)
        return entry_components

    return slopes_fit.measure_heap_bytes(apply_payloads)


def _build_with_change() -> tuple[components.Components, bytes]:
    """Return components at version 2 and the change from version 1."""
    entry_components = _build_components()
    first_version = _make_snapshot(TARGET_CONTRACTS)
    entry_components.version_follower.offer(
        codec.encode_payload(codec.Payload(snapshot=first_version, changes=()))
    )
    payload = codec.encode_payload(_make_payload(first_version, 1))
    entry_components.version_follower.offer(payload)
    return entry_components, payload


def _build_components() -> components.Components:
    """Return the components of an entry process in a full-size deployment.

    Customers' concurrency limits are divided among all zones and, in the zone
    of the entry process, among its entry VMs.
    """
    entry_components = components.build(
        cfg=slopes_samples.make_entry_settings(),
        dependencies=components.Dependencies(
            clock=slopes_samples.make_clock(),
            rng=random.Random(1),
            platform=slopes_samples.InMemoryPlatform(
                vm_list=slopes_samples.make_vm_list(), contracts={}
            ),
        ),
    )
    entry_components.slots.set_limit_divisions((_make_division(),))
    return entry_components


def _make_division() -> slots.LimitDivision:
    return views.LimitDivision(
        vm=ids.VmId('entry-00000'),
        zone=ids.ZoneId(slopes_samples.ZONE),
        zone_slots={ids.ZoneId(f'zone-{zone}'): 6000 for zone in range(13)},
        vm_slots={ids.VmId(f'entry-{vm:05d}'): 400 for vm in range(16)},
    )
