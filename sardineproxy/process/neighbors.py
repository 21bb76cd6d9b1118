"""Which entry VMs to keep streams to, and which of two VMs opens one."""

import dataclasses
from typing import Container, Mapping

from sardineproxy import ids
from sardineproxy.process import platform, rendezvous


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Neighbor:
    """An entry VM of the listing."""

    vm: ids.VmId
    zone: ids.ZoneId
    host: str
    port: int
    is_live: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Neighbors:
    """The other entry VMs of a listing, and those to keep streams to."""

    listed: Mapping[ids.VmId, Neighbor]

    #: True if this VM opens the stream at once, False if the other should.
    chosen: Mapping[ids.VmId, bool]

    def count_live(self, connected: Container[ids.VmId]) -> int:
        """Return how many of the other VMs seem to be live.

        A chosen VM without a stream counts as dead, unless no chosen VM of
        its zone has one: then the zone may be cut off and still serve.
        """
        reached = {
            self.listed[vm].zone for vm in self.chosen if vm in connected
        }
        return sum(
            entry.is_live
            and (
                vm in connected
                or vm not in self.chosen
                or entry.zone not in reached
            )
            for vm, entry in self.listed.items()
        )


def choose(
    *,
    listing: platform.VmList,
    vm: ids.VmId,
    zone: ids.ZoneId,
    peers_per_zone: int,
) -> Neighbors:
    """Choose all VMs of the own zone and ``each_zone`` of each other zone."""
    everyone = {
        ids.VmId(entry.name): Neighbor(
            vm=ids.VmId(entry.name),
            zone=entry.zone,
            host=entry.host,
            port=entry.port,
            is_live=entry.state is platform.VmState.LIVE,
        )
        for entry in listing.vms
        if entry.role is platform.VmRole.ENTRY
    }
    others = {name: entry for name, entry in everyone.items() if name != vm}
    chosen = {name: vm < name for name in others if others[name].zone == zone}
    zones: dict[ids.ZoneId, list[ids.VmId]] = {}
    for name, entry in everyone.items():
        if entry.is_live or entry.zone == zone:
            zones.setdefault(entry.zone, []).append(name)
    for other_zone, names in zones.items():
        if other_zone == zone:
            continue
        for name in rendezvous.rank(vm, names)[:peers_per_zone]:
            back = rendezvous.rank(name, zones.get(zone, []))[:peers_per_zone]
            chosen[name] = vm < name or vm not in back
    return Neighbors(listed=others, chosen=chosen)
