"""Slopes of peer housekeeping and of changes of the VM list.

The measured process uses real streams; their other ends send only a Hello
frame.
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

#: Members of a zone. The system is designed for about 16 in each of 13 zones.
MEMBER_COUNTS = (4, 16, 32)
TARGET_MEMBER_COUNT = 16

#: Endpoints in the VM list, of which a thirteenth are in the zone of the
#: measured process.
ENDPOINT_COUNTS = (1300, 4900, 9700)
TARGET_ENDPOINT_COUNT = 9700
ZONE_COUNT = 13
OTHER_ZONE_ENTRY_VMS = (50, 200, 800)
TICK_COUNT = 50

#: Interval that is so long that only the measured ticks happen.
NO_TICK_S = 3600


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure_slope_async(
            'peers.tick_by_stream',
            'us/tick/stream',
            lambda member_count: _time_tick(member_count, 0),
            MEMBER_COUNTS,
            repeats=3,
        )
    )
    out.add(
        slopes_fit.measure_slope_async(
            'peers.tick_by_listed',
            'us/tick/listed entry VM',
            lambda other_zone_entry_vms: _time_tick(
                TARGET_MEMBER_COUNT, other_zone_entry_vms
            ),
            OTHER_ZONE_ENTRY_VMS,
            repeats=3,
        )
    )
    out.add(
        slopes_fit.measure_slope_async(
            'view.by_endpoint',
            'us/listed endpoint',
            lambda count: _time_list_change(count, TARGET_MEMBER_COUNT),
            ENDPOINT_COUNTS,
            repeats=3,
        )
    )
    out.add(
        slopes_fit.measure_slope_async(
            'view.by_member',
            'us/member',
            lambda member_count: _time_list_change(
                TARGET_ENDPOINT_COUNT, member_count
            ),
            MEMBER_COUNTS,
            repeats=3,
        )
    )


class _DiscardingWriter:
    """Stream writer that discards all data."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        """Create an open writer; closing it ends ``reader``."""
        self._reader = reader
        self._closing = False
        self.transport = self

    def is_closing(self) -> bool:
        """True if the writer was closed."""
        return self._closing

    def get_write_buffer_size(self) -> int:
        """Return 0, because nothing is buffered."""
        return 0

    def write(self, data: bytes) -> None:
        """Discard ``data``."""

    def abort(self) -> None:
        """Close immediately."""
        self.close()

    def close(self) -> None:
        """Close and end the reader."""
        if not self._closing:
            self._closing = True
            self._reader.feed_eof()


class _UnusedHandler:
    """Handler of forwarded requests that is never called."""

    async def handle(self, payload: bytes) -> bytes:
        """Return the payload unchanged."""
        return payload


async def _connect(host: str, port: int) -> Any:
    """Return reader and writer of a stream to the entry VM number ``port``."""
    reader = asyncio.StreamReader()
    hello = frames.Hello(
        vm=ids.VmId(f'entry-{port:05d}'),
        incarnation=ids.Incarnation(f'{port:016x}'),
        zone=ids.ZoneId(slopes_samples.ZONE),
        version=0,
        revision=0,
    )
    reader.feed_data(frames.encode(hello).unwrap())
    return reader, _DiscardingWriter(reader)


class _EntryPeers:
    """Peers of one entry process in a zone with other members."""

    def __init__(self) -> None:
        """Create the peers with a manual clock and an empty VM directory."""
        self.clock = clocks.ManualClock()
        self.directory = directory.VmDirectory()
        registry = metrics.Metrics()
        store = slopes_samples.InMemoryPlatform(
            vm_list=slopes_samples.make_vm_list(), contracts={}
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
            handler=_UnusedHandler(),
            gossip=gossip.Gossip(
                version_follower=follower.Follower(
                    platform=store,
                    clock=self.clock,
                    rng=rng,
                    metrics=registry,
                    cfg=follower.Config(),
                ),
                list_follower=_VmListRevision(self.directory),  # type: ignore[arg-type]
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

    async def join(self, vm_list: platform.VmList, member_count: int) -> None:
        """Apply a VM list and open the streams to the members of the zone."""
        self.directory.offer(vm_list)
        await self.peers.start(host=slopes_samples.HOST, port=0)
        while len(self.peers.state(now=0)['peers']) < member_count - 1:  # type: ignore[arg-type]
            self.tick()
            await asyncio.sleep(0)
        self.tick()

    def tick(self) -> None:
        """Advance the clock and run one round of housekeeping."""
        self.clock.advance(0.05)
        self.peers.tick(self.clock.now())


class _VmListRevision:
    """Provides the revision of the VM list; no peer fetches the list here."""

    def __init__(self, vm_directory: directory.VmDirectory) -> None:
        """Use the revision of ``vm_directory``."""
        self._vm_directory = vm_directory

    def revision(self) -> int:
        """Return the current revision."""
        return self._vm_directory.newest.revision


async def _time_tick(member_count: int, other_zone_entry_vms: int) -> float:
    """Return the CPU time of one round of housekeeping."""
    entry_peers = _EntryPeers()
    await entry_peers.join(
        slopes_samples.make_vm_list(
            *slopes_samples.make_entry_vms(member_count),
            *slopes_samples.make_entry_vms(
                other_zone_entry_vms, zone='zone-1', first_number=1000
            ),
        ),
        member_count,
    )
    cpu_us = slopes_fit.measure_cpu_us(entry_peers.tick, repetitions=TICK_COUNT)
    await entry_peers.peers.close()
    return cpu_us


async def _time_list_change(endpoint_count: int, member_count: int) -> float:
    """Return the CPU time to apply a list with one more endpoint per zone."""
    member_vms = slopes_samples.make_entry_vms(member_count)
    vms = [
        *member_vms,
        *slopes_samples.make_endpoints(
            endpoint_count + ZONE_COUNT, zones=ZONE_COUNT
        ),
    ]
    entry_peers = _EntryPeers()
    await entry_peers.join(
        slopes_samples.make_vm_list(*member_vms), member_count
    )
    entry_peers.directory.offer(slopes_samples.make_vm_list(*vms[:-ZONE_COUNT]))
    entry_peers.tick()
    newer_vm_list = slopes_samples.make_vm_list(*vms)
    started_s = time.process_time()
    entry_peers.directory.offer(newer_vm_list)
    entry_peers.tick()
    cpu_us = (time.process_time() - started_s) * slopes_fit.US_PER_S
    await entry_peers.peers.close()
    return cpu_us
