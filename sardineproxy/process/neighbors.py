"""Selection of the entry VMs to connect to, and of the end that connects."""

import dataclasses
from typing import Container, Mapping

from sardineproxy import ids
from sardineproxy.process import platform, rendezvous


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Neighbor:
    """An entry VM of the VM list."""

    vm: ids.VmId
    zone: ids.ZoneId
    host: str
    port: int
    is_live: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Neighbors:
    """The other entry VMs of a VM list, and those to connect to."""

    listed: Mapping[ids.VmId, Neighbor]

    #: VMs to connect to: True if this VM opens the stream at once, False if it
    #: first waits for the other VM to do so.
    chosen: Mapping[ids.VmId, bool]

    def count_live(self, connected: Container[ids.VmId]) -> int:
        """Return the estimated number of other live VMs.

        A chosen VM without a stream counts as failed, unless no chosen VM of
        its zone has one: the zone may then be partitioned but still serve.
        """
        reachable_zones = {
            self.listed[vm].zone for vm in self.chosen if vm in connected
        }
        return sum(
            entry.is_live
            and (
                vm in connected
                or vm not in self.chosen
                or entry.zone not in reachable_zones
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
    """Choose all VMs of ``zone`` and ``peers_per_zone`` per other zone.

    VMs of other zones are ranked by rendezvous hashing, so that both ends
    agree on which of them opens a stream.
    """
    entry_vms = {
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
    other_vms = {name: entry for name, entry in entry_vms.items() if name != vm}
    chosen = {
        name: vm < name for name in other_vms if other_vms[name].zone == zone
    }
    vms_by_zone: dict[ids.ZoneId, list[ids.VmId]] = {}
    for name, entry in entry_vms.items():
        if entry.is_live or entry.zone == zone:
            vms_by_zone.setdefault(entry.zone, []).append(name)
    for other_zone, names in vms_by_zone.items():
        if other_zone == zone:
            continue
        for name in rendezvous.rank(vm, names)[:peers_per_zone]:
            chosen_by_peer = rendezvous.rank(name, vms_by_zone.get(zone, []))[
                :peers_per_zone
            ]
            chosen[name] = vm < name or vm not in chosen_by_peer
    return Neighbors(listed=other_vms, chosen=chosen)
