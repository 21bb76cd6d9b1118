"""Slopes of a contract and of a change of the configuration."""

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

CONTRACTS = (100, 370, 1000)
CHANGES = (16, 64, 128)
PEERS = (2, 8, 32)
TARGET = 370


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure(
            'contract.memory', 'B/contract', _weigh, CONTRACTS, repeats=2
        )
    )
    out.add(
        slopes_fit.measure(
            'contract.snapshot',
            'B/contract',
            lambda count: len(codec.encode_snapshot(_snapshot(count))),
            CONTRACTS,
            repeats=1,
        )
    )
    out.add(
        slopes_fit.measure(
            'change.apply', 'us/contract', _time_change, CONTRACTS
        )
    )
    out.add(
        slopes_fit.measure(
            'change.row',
            'B/changed contract',
            _weigh_row,
            (1, 4, 16),
            repeats=1,
        )
    )
    out.add(
        slopes_fit.measure(
            'change.kept', 'B/change', _weigh_kept, CHANGES, repeats=1
        )
    )
    _measure_passing(out)


def _measure_passing(out: slopes_fit.Report) -> None:
    """Print what it takes to bring peers to the next version."""
    built, payload = _build_ahead()
    passing = config_exchange.ConfigExchange(
        gossip=gossip.Gossip(
            version_follower=built.version_follower,
            list_follower=built.list_follower,
        ),
        rng=random.Random(1),
    )
    fetch = frames.ConfigFetch(version=1, revision=0)
    announce = frames.ConfigAnnounce(version=2, revision=0)
    out.add(
        slopes_fit.measure(
            'change.pass_on',
            'us/peer',
            functools.partial(_time_passing, passing, announce, fetch),
            PEERS,
        )
    )
    sent: list[frames.Frame] = [announce, fetch, passing.handle_fetch(fetch)]
    out.add_figure(
        'change.pass_on.bytes',
        math.fsum(len(frames.encode(one).unwrap()) for one in sent),
        'B/peer',
        f'announce, fetch and changes; the change itself {len(payload)}',
    )


def _time_passing(
    passing: config_exchange.ConfigExchange,
    announce: frames.ConfigAnnounce,
    fetch: frames.ConfigFetch,
    peers: int,
) -> float:
    def pass_on() -> None:  # noqa: WPS430
        for _ in range(peers):
            frames.encode(announce).unwrap()
            frames.encode(passing.handle_fetch(fetch)).unwrap()

    return slopes_fit.cpu_us(pass_on, times=20)


def _snapshot(count: int) -> versions.Snapshot:
    return slopes_samples.snapshot(slopes_samples.documents(count))


def _weigh(count: int) -> float:
    """Return the memory of a version in force in an entry process."""
    payload = codec.encode_payload(
        codec.Payload(snapshot=_snapshot(count), changes=())
    )
    built = _build_parts()

    def take() -> components.Components:  # noqa: WPS430
        built.version_follower.offer(payload)
        return built

    return slopes_fit.heap_bytes(take)


def _time_change(count: int) -> float:
    """Return the cost of one changed contract among ``count``.

    Covers the follower and all that follow it: limits, weights and shares,
    and each customer's part of its holding limit, which is computed on use.
    """
    built = _build_parts()
    first = _snapshot(count)
    built.version_follower.offer(
        codec.encode_payload(codec.Payload(snapshot=first, changes=()))
    )
    payload = codec.encode_payload(_change(first, 1))

    def take() -> None:  # noqa: WPS430
        built.version_follower.offer(payload)
        for customer in first.documents:
            built.slots.limit_share(customer)

    took_us = slopes_fit.cpu_us(take)
    assert built.version_follower.number() == first.number + 1, (
        'the change is taken'
    )
    return took_us


def _change(old: versions.Snapshot, changed: int) -> codec.Payload:
    """Return a change of the first ``changed`` contracts' weights."""
    wanted = {
        **old.documents,
        **slopes_samples.documents(changed, weight=old.number + 1),
    }
    return slopes_samples.change(old, wanted)


def _weigh_row(changed: int) -> float:
    return len(codec.encode_change(_change(_snapshot(20), changed).changes[0]))


def _weigh_kept(changes: int) -> float:
    """Return the memory of changes that are kept for peers."""
    newest = _snapshot(TARGET)
    payloads = []
    for _ in range(changes):
        payload = _change(newest, 1)
        newest = versions.apply(newest, payload.changes[0]).unwrap()
        payloads.append(codec.encode_payload(payload))
    built = _build_parts()
    built.version_follower.offer(
        codec.encode_payload(
            codec.Payload(snapshot=_snapshot(TARGET), changes=())
        )
    )

    def take() -> components.Components:  # noqa: WPS430
        for payload in payloads:
            built.version_follower.offer(payload)
        return built

    return slopes_fit.heap_bytes(take)


def _build_ahead() -> tuple[components.Components, bytes]:
    """Return parts at version 2, and the change that leads there."""
    built = _build_parts()
    first = _snapshot(TARGET)
    built.version_follower.offer(
        codec.encode_payload(codec.Payload(snapshot=first, changes=()))
    )
    payload = codec.encode_payload(_change(first, 1))
    built.version_follower.offer(payload)
    return built, payload


def _build_parts() -> components.Components:
    """Return all parts of an entry process, with a zone's division."""
    built = components.build(
        cfg=slopes_samples.entry_settings(),
        dependencies=components.Dependencies(
            clock=slopes_samples.system_clock(),
            rng=random.Random(1),
            platform=slopes_samples.MemoryPlatform(
                vm_list=slopes_samples.listing(), contracts={}
            ),
        ),
    )
    built.slots.set_limit_divisions((_division(),))
    return built


def _division() -> slots.LimitDivision:
    return views.LimitDivision(
        vm=ids.VmId('entry-00000'),
        zone=ids.ZoneId(slopes_samples.ZONE),
        zone_slots={ids.ZoneId(f'zone-{zone}'): 6000 for zone in range(13)},
        vm_slots={ids.VmId(f'entry-{vm:05d}'): 400 for vm in range(16)},
    )
