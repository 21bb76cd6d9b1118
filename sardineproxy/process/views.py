"""Membership views of a zone, and what a view gives to this process.

A process that is in two views at different times may own a slot in one that
another process owns in the other. So it takes a slot up only after every
connected process of the zone has stated the same view in answer to this
process's present one, and each gives up what its own next view takes away
before it states that view.
"""

import dataclasses
import hashlib
from typing import Mapping

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import platform, rendezvous

Member = tuple[ids.VmId, ids.Incarnation]
OwnedSlots = Mapping[ids.EndpointId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitDivision:
    """How a customer's holding limit is divided in one view."""

    vm: ids.VmId
    zone: ids.ZoneId
    zone_slots: Mapping[ids.ZoneId, int]
    vm_slots: Mapping[ids.VmId, int]

    def limit_share(self, customer: ids.CustomerId, limit: int) -> int:
        """Return this VM's part of the limit."""
        zones = rendezvous.divide(limit, self.zone_slots, customer)
        vms = rendezvous.divide(
            zones.get(self.zone, 0), self.vm_slots, customer
        )
        return vms.get(self.vm, 0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CandidateView:
    """A view and what it gives to this process."""

    members: tuple[Member, ...]
    digest: str
    owned: OwnedSlots
    division: LimitDivision


@dataclasses.dataclass(kw_only=True, slots=True)
class _MemberPeer:
    """A connected process of the zone."""

    incarnation: ids.Incarnation
    statement: frames.View | None = None
    is_leaving: bool = False

    #: Epoch, epoch of the peer that was heard, and settled, as last sent.
    sent: tuple[int, int, bool] = (0, 0, False)

    def received_epoch(self) -> int:
        return self.statement.epoch if self.statement else 0


class MembershipViews:
    """The zone's membership as this process sees it."""

    def __init__(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        zone: ids.ZoneId,
        grace_s: float,
    ) -> None:
        """Start without peers, owning nothing."""
        self._own_member = (vm, incarnation)
        self._zone = zone
        self._grace_s = grace_s
        self._listing = platform.VmList(revision=0, vms=())
        self._peers: dict[ids.VmId, _MemberPeer] = {}
        self._absent: dict[ids.VmId, float] = {}
        self._departed: set[ids.VmId] = set()
        self._owner_cache: dict[str, ids.VmId | None] = {}
        self._owner_cache_sizes: dict[ids.VmId, float] = {}
        self._live: dict[ids.VmId, int] = {}
        self._is_stale = True
        self._leaving = False
        self._epoch = 0
        self.candidate = self._build(())
        self.confirmed = False
        self.owned: dict[ids.EndpointId, int] = {}

    def set_listing(self, listing: platform.VmList) -> None:
        """Use a newer list of VMs."""
        self._listing = listing
        self._live = {
            ids.VmId(vm.name): max(1, vm.slots)
            for vm in listing.vms
            if vm.role is platform.VmRole.ENTRY
            and vm.zone == self._zone
            and vm.state is platform.VmState.LIVE
        }
        self._is_stale = True

    def add_peer(self, vm: ids.VmId, incarnation: ids.Incarnation) -> None:
        """Note a stream to a process of the zone."""
        self._peers[vm] = _MemberPeer(incarnation=incarnation)
        self._is_stale = True
        self._absent.pop(vm, None)
        self._departed.discard(vm)

    def remove_peer(self, vm: ids.VmId, now: float) -> None:
        """Note that the stream to the process is closed."""
        peer = self._peers.pop(vm, None)
        self._is_stale = True
        if peer and peer.is_leaving:
            self._departed.add(vm)
        elif peer:
            self._absent[vm] = now

    def handle_frame(
        self, vm: ids.VmId, frame: frames.View | frames.Goodbye
    ) -> None:
        """Note the view that the process states, or that it ends."""
        peer = self._peers.get(vm)
        if peer is None:
            return
        match frame:
            case frames.View():
                peer.statement = frame
            case frames.Goodbye():
                peer.is_leaving = True
                self._is_stale = True

    def leave(self) -> None:
        """Give up everything for good."""
        self._leaving = True
        self._is_stale = True

    def drop_owned(self) -> None:
        """Give up everything until the peers confirm a view anew."""
        self.owned = {}
        self._epoch += 1
        self.confirmed = False

    def update_candidate(self, now: float) -> bool:
        """Compute the candidate view; tell whether it is a new one.

        What a new candidate takes away is given up here.
        """
        self._update_absent(now)
        if not self._is_stale:
            return False
        self._is_stale = False
        fresh = self._build(self._members())
        if fresh.digest == self.candidate.digest and self._epoch:
            return False
        self.candidate = fresh
        self.confirmed = False
        self._epoch += 1
        self.owned = {
            endpoint: min(slots, fresh.owned[endpoint])
            for endpoint, slots in self.owned.items()
            if endpoint in fresh.owned
        }
        return True

    def confirm_candidate(self, now: float, *, settled: bool) -> bool:
        """Take up the candidate if all confirmed it; tell whether it did."""
        if self.confirmed or not settled or self._in_grace(now):
            return False
        if not all(self._agrees(peer) for peer in self._peers.values()):
            return False
        self.confirmed = True
        self.owned = dict(self.candidate.owned)
        return True

    def pending_statements(
        self, *, settled: bool
    ) -> list[tuple[ids.VmId, frames.Frame]]:
        """Return the views to state now, and to whom."""
        statements: list[tuple[ids.VmId, frames.Frame]] = []
        for vm, peer in self._peers.items():
            heard = peer.received_epoch()
            epoch, sent_heard, sent_settled = peer.sent
            same = bool(
                peer.statement
                and peer.statement.digest == self.candidate.digest
            )
            if (
                epoch == self._epoch
                and sent_settled == settled
                and not (same and sent_heard != heard)
            ):
                continue
            peer.sent = (self._epoch, heard, settled)
            statements.append((vm, self._statement(heard, settled)))
        return statements

    def state(self, now: float) -> dict[str, object]:
        """Return the view for the state dump."""
        return {
            'members': [list(member) for member in self.candidate.members],
            'digest': self.candidate.digest,
            'epoch': self._epoch,
            'confirmed': self.confirmed,
            'agreeing': sorted(
                vm for vm, peer in self._peers.items() if self._agrees(peer)
            ),
            'absent_s': {
                vm: round(now - since, 3) for vm, since in self._absent.items()
            },
            'owned_endpoints': len(self.owned),
            'owned_slots': sum(self.owned.values()),
        }

    def absent_since(self) -> Mapping[ids.VmId, float]:
        """Return since when live processes of the zone are not connected."""
        return self._absent

    def _statement(self, heard: int, settled: bool) -> frames.View:
        return frames.View(
            members=self.candidate.members,
            digest=self.candidate.digest,
            epoch=self._epoch,
            heard=heard,
            settled=settled,
        )

    def _agrees(self, peer: _MemberPeer) -> bool:
        """Tell whether the peer stated this view after seeing it stated."""
        return peer.is_leaving or bool(
            peer.statement
            and peer.statement.digest == self.candidate.digest
            and peer.statement.heard == self._epoch
            and peer.statement.settled
        )

    def _in_grace(self, now: float) -> bool:
        return any(
            now - since < self._grace_s for since in self._absent.values()
        )

    def _update_absent(self, now: float) -> None:
        live = self._live
        self._departed.intersection_update(live)
        for vm in live:
            if vm != self._own_member[0] and vm not in self._peers:
                if vm not in self._departed:
                    self._absent.setdefault(vm, now)
        for vm, since in list(self._absent.items()):
            if vm not in live and now - since >= self._grace_s:
                self._absent.pop(vm)

    def _members(self) -> tuple[Member, ...]:
        live = self._live
        members = [
            (vm, peer.incarnation)
            for vm, peer in self._peers.items()
            if vm in live and not peer.is_leaving
        ]
        if self._own_member[0] in live and not self._leaving:
            members.append(self._own_member)
        return tuple(sorted(members))

    def _owner_of(
        self, endpoint: str, sizes: dict[ids.VmId, float]
    ) -> ids.VmId | None:
        """Return the endpoint's owner; most changes move few endpoints."""
        if self._owner_cache_sizes != sizes:
            self._owner_cache_sizes = sizes
            self._owner_cache = {}
        if endpoint not in self._owner_cache:
            self._owner_cache[endpoint] = rendezvous.winner(endpoint, sizes)
        return self._owner_cache[endpoint]

    def _build(self, members: tuple[Member, ...]) -> CandidateView:
        live = self._live
        sizes: dict[ids.VmId, float] = {vm: live[vm] for vm, _ in members}
        owned: dict[ids.EndpointId, int] = {}
        vm_slots = {vm: 0 for vm, _ in members}
        zone_slots: dict[ids.ZoneId, int] = {}
        digest = hashlib.sha256(repr((members, sizes)).encode())
        for endpoint in _endpoints(self._listing):
            zone_slots[endpoint.zone] = (
                zone_slots.get(endpoint.zone, 0) + endpoint.slots
            )
            if endpoint.zone != self._zone:
                continue
            digest.update(f'{endpoint.name} {endpoint.slots}\n'.encode())
            owner = self._owner_of(endpoint.name, sizes)
            if owner:
                vm_slots[owner] += endpoint.slots
            if owner == self._own_member[0]:
                owned[ids.EndpointId(endpoint.name)] = endpoint.slots
        digest.update(repr(sorted(zone_slots.items())).encode())
        return CandidateView(
            members=members,
            digest=digest.hexdigest(),
            owned=owned,
            division=LimitDivision(
                vm=self._own_member[0],
                zone=self._zone,
                zone_slots=zone_slots,
                vm_slots=vm_slots,
            ),
        )


def _endpoints(listing: platform.VmList) -> list[platform.Vm]:
    return sorted(
        (
            vm
            for vm in listing.vms
            if vm.role is platform.VmRole.ENDPOINT
            and vm.state is platform.VmState.LIVE
        ),
        key=lambda vm: vm.name,
    )
