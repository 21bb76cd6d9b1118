"""Slopes of housekeeping between peers and of a change of the list.

All streams of the measured process are real; the other ends only greet.
"""

import asyncio
import random
import time
from typing import Any

from sardineproxy import clock as clocks
from sardineproxy import ids
from sardineproxy.bench import slopes_fit, slopes_samples
from sardineproxy.connection import frames
from sardineproxy.process import (
    directory,
    gossip,
    metrics,
    peers,
    platform,
    slots,
    streams,
)
from sardineproxy.version import follower

#: Members of a zone; 16 are about those of one of 13 zones at the target.
MEMBERS = (4, 16, 32)
TARGET_MEMBERS = 16

#: Endpoints of the list, of which a thirteenth are in the own zone.
ENDPOINTS = (1300, 4900, 9700)
TARGET_ENDPOINTS = 9700
ZONES = 13
ELSEWHERE = (50, 200, 800)
TICKS = 50

#: Long enough that no tick comes but those that are measured, in seconds.
NO_TICK_S = 3600


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure_async(
            'peers.tick_by_stream',
            'us/tick/stream',
            lambda members: _time_tick(members, 0),
            MEMBERS,
            repeats=3,
        )
    )
    out.add(
        slopes_fit.measure_async(
            'peers.tick_by_listed',
            'us/tick/listed entry VM',
            lambda elsewhere: _time_tick(TARGET_MEMBERS, elsewhere),
            ELSEWHERE,
            repeats=3,
        )
    )
    out.add(
        slopes_fit.measure_async(
            'view.by_endpoint',
            'us/listed endpoint',
            lambda count: _time_listing(count, TARGET_MEMBERS),
            ENDPOINTS,
            repeats=3,
        )
    )
    out.add(
        slopes_fit.measure_async(
            'view.by_member',
            'us/member',
            lambda members: _time_listing(TARGET_ENDPOINTS, members),
            MEMBERS,
            repeats=3,
        )
    )


class _Writer:
    """Discards what is sent."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        """Be open; ``reader`` ends when this is closed."""
        self._reader = reader
        self._closing = False
        self.transport = self

    def is_closing(self) -> bool:
        """Tell whether the stream was closed."""
        return self._closing

    def get_write_buffer_size(self) -> int:
        """Hold nothing back."""
        return 0

    def write(self, data: bytes) -> None:
        """Discard."""

    def abort(self) -> None:
        """Close at once."""
        self.close()

    def close(self) -> None:
        """Close, and end the reader."""
        if not self._closing:
            self._closing = True
            self._reader.feed_eof()


class _NoHandler:
    """Is asked nothing."""

    async def handle(self, payload: bytes) -> bytes:
        """Answer with nothing."""
        return payload


async def _connect(host: str, port: int) -> Any:
    """Connect to the entry VM whose number is ``port``."""
    reader = asyncio.StreamReader()
    hello = frames.Hello(
        vm=ids.VmId(f'entry-{port:05d}'),
        incarnation=ids.Incarnation(f'{port:016x}'),
        zone=ids.ZoneId(slopes_samples.ZONE),
        version=0,
        revision=0,
    )
    reader.feed_data(frames.encode(hello).unwrap())
    return reader, _Writer(reader)


class _Process:
    """The peers of one entry process, in a zone with other members."""

    def __init__(self) -> None:
        """Build all that peers need."""
        self.clock = clocks.ManualClock()
        self.directory = directory.VmDirectory()
        registry = metrics.Metrics()
        store = slopes_samples.MemoryPlatform(
            vm_list=slopes_samples.listing(), contracts={}
        )
        rng = random.Random(1)
        self.peers = peers.Peers(
            clock=self.clock,
            rng=rng,
            vm=ids.VmId('entry-00000'),
            incarnation=ids.Incarnation('0' * 16),
            zone=ids.ZoneId(slopes_samples.ZONE),
            size=1,
            directory=self.directory,
            slot_table=slots.SlotTable(),
            handler=_NoHandler(),
            gossip=gossip.Gossip(
                version_follower=follower.Follower(
                    platform=store,
                    clock=self.clock,
                    rng=rng,
                    metrics=registry,
                    cfg=follower.Config(),
                ),
                list_follower=_Revision(self.directory),  # type: ignore[arg-type]
            ),
            metrics=registry,
            cfg=peers.Config(
                tick_s=NO_TICK_S,
                cross_zone_peers=0,
                stream=streams.Config(
                    heartbeat_s=NO_TICK_S, peer_silent_s=2 * NO_TICK_S
                ),
            ),
            connect=_connect,
        )

    async def join(self, vm_list: platform.VmList, members: int) -> None:
        """Open the streams of a list whose zone has so many members."""
        self.directory.offer(vm_list)
        await self.peers.start(host=slopes_samples.HOST, port=0)
        while len(self.peers.state(now=0)['peers']) < members - 1:  # type: ignore[arg-type]
            self.tick()
            await asyncio.sleep(0)
        self.tick()

    def tick(self) -> None:
        """Do the housekeeping that is due."""
        self.clock.advance(0.05)
        self.peers.tick(self.clock.now())


class _Revision:
    """Tells the revision of the list, which no peer fetches here."""

    def __init__(self, known: directory.VmDirectory) -> None:
        """Follow the directory."""
        self._known = known

    def revision(self) -> int:
        """Return the revision in use."""
        return self._known.newest.revision


async def _time_tick(members: int, elsewhere: int) -> float:
    """Return the cost of one round of housekeeping."""
    process = _Process()
    await process.join(
        slopes_samples.listing(
            *slopes_samples.entry_vms(members),
            *slopes_samples.entry_vms(elsewhere, zone='zone-1', first=1000),
        ),
        members,
    )
    cost = slopes_fit.cpu_us(process.tick, times=TICKS)
    await process.peers.close()
    return cost


async def _time_listing(endpoints: int, members: int) -> float:
    """Return the cost of a list with one more endpoint in each zone."""
    members_vms = slopes_samples.entry_vms(members)
    vms = [
        *members_vms,
        *slopes_samples.endpoints(endpoints + ZONES, zones=ZONES),
    ]
    process = _Process()
    await process.join(slopes_samples.listing(*members_vms), members)
    process.directory.offer(slopes_samples.listing(*vms[:-ZONES]))
    process.tick()
    newer = slopes_samples.listing(*vms)
    began_s = time.process_time()
    process.directory.offer(newer)
    process.tick()
    took_us = (time.process_time() - began_s) * slopes_fit.US_PER_S
    await process.peers.close()
    return took_us
