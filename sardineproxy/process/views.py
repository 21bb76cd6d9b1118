"""Membership views of a zone, and slot ownership in a view.

A view assigns all slots of the zone to its members. Processes with different
views may assign a slot to different members. Two rules prevent two processes
from using the same slot:

- Before a process announces a new view, it stops starting tasks on slots that
  it does not own in that view. It announces the view as settled once these
  slots are no longer in use or lent, or after a timeout.
- A process uses newly owned slots only after the view is confirmed: every
  connected process of the zone has announced the same view as settled, after
  it received this process's announcement.
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
    """Division of the customers' concurrency limits in one view.

    A limit is divided among zones, and within a zone among its entry VMs, in
    proportion to their slots.
    """

    vm: ids.VmId
    zone: ids.ZoneId
    zone_slots: Mapping[ids.ZoneId, int]
    vm_slots: Mapping[ids.VmId, int]

    def limit_share(self, customer: ids.CustomerId, limit: int) -> int:
        """Return this VM's share of the limit."""
        zone_shares = rendezvous.divide(limit, self.zone_slots, customer)
        vm_shares = rendezvous.divide(
            zone_shares.get(self.zone, 0), self.vm_slots, customer
        )
        return vm_shares.get(self.vm, 0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CandidateView:
    """A view, with the slots and limits that it assigns to this process."""

    members: tuple[Member, ...]
    digest: str
    owned: OwnedSlots
    division: LimitDivision


@dataclasses.dataclass(kw_only=True, slots=True)
class _MemberPeer:
    """A connected process of the zone."""

    incarnation: ids.Incarnation
    last_view: frames.View | None = None
    is_leaving: bool = False

    #: Fields ``epoch``, ``acknowledged_epoch`` and ``settled`` of the view that
    #: was last sent to the peer.
    last_sent: tuple[int, int, bool] = (0, 0, False)

    def announced_epoch(self) -> int:
        return self.last_view.epoch if self.last_view else 0


class MembershipViews:
    """The membership view of this process, and its agreement with peers.

    ``candidate`` is the newest view, and ``owned`` are the slots that the
    process may use now.
    """

    def __init__(
        self,
        *,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        zone: ids.ZoneId,
        grace_s: float,
    ) -> None:
        """Create a view without peers and without owned slots.

        A process that has been absent for less than ``grace_s`` may still use
        its slots, so no view is confirmed during this time.
        """
        self._own_member = (vm, incarnation)
        self._zone = zone
        self._grace_s = grace_s
        self._listing = platform.VmList(revision=0, vms=())
        self._peers: dict[ids.VmId, _MemberPeer] = {}

        #: Times since which processes of the zone have been absent, that is,
        #: without a stream. Processes that are no longer listed as live are
        #: removed after the grace period.
        self._absent_since: dict[ids.VmId, float] = {}

        #: Processes without a stream that had sent Goodbye. They do not count
        #: as absent.
        self._departed_vms: set[ids.VmId] = set()
        self._owner_cache: dict[str, ids.VmId | None] = {}
        self._owner_cache_sizes: dict[ids.VmId, float] = {}

        #: Sizes of the live entry VMs of the zone.
        self._live_sizes: dict[ids.VmId, int] = {}
        self._is_outdated = True
        self._is_leaving = False
        self._epoch = 0
        self.candidate = self._build_candidate(())
        self.confirmed = False
        self.owned: dict[ids.EndpointId, int] = {}

    def set_listing(self, listing: platform.VmList) -> None:
        """Replace the list of VMs by a newer one."""
        self._listing = listing
        self._live_sizes = {
            ids.VmId(vm.name): max(1, vm.slots)
            for vm in listing.vms
            if vm.role is platform.VmRole.ENTRY
            and vm.zone == self._zone
            and vm.state is platform.VmState.LIVE
        }
        self._is_outdated = True

    def add_peer(self, vm: ids.VmId, incarnation: ids.Incarnation) -> None:
        """Add a process of the zone to which a stream was opened."""
        self._peers[vm] = _MemberPeer(incarnation=incarnation)
        self._is_outdated = True
        self._absent_since.pop(vm, None)
        self._departed_vms.discard(vm)

    def remove_peer(self, vm: ids.VmId, now: float) -> None:
        """Remove a process whose stream was closed."""
        peer = self._peers.pop(vm, None)
        self._is_outdated = True
        if peer and peer.is_leaving:
            self._departed_vms.add(vm)
        elif peer:
            self._absent_since[vm] = now

    def handle_frame(
        self, vm: ids.VmId, frame: frames.View | frames.Goodbye
    ) -> None:
        """Process a view that a peer announces, or its Goodbye."""
        peer = self._peers.get(vm)
        if peer is None:
            return
        match frame:
            case frames.View():
                peer.last_view = frame
            case frames.Goodbye():
                peer.is_leaving = True
                self._is_outdated = True

    def leave(self) -> None:
        """Leave the zone permanently: own no slots in any later view."""
        self._is_leaving = True
        self._is_outdated = True

    def drop_owned(self) -> None:
        """Drop the ownership of all slots until a view is confirmed again."""
        self.owned = {}
        self._epoch += 1
        self.confirmed = False

    def update_candidate(self, now: float) -> bool:
        """Compute the candidate view; return whether it has changed.

        The ownership of slots that the new candidate does not assign to this
        process is dropped.
        """
        self._update_absent(now)
        if not self._is_outdated:
            return False
        self._is_outdated = False
        candidate = self._build_candidate(self._current_members())
        if candidate.digest == self.candidate.digest and self._epoch:
            return False
        self.candidate = candidate
        self.confirmed = False
        self._epoch += 1
        self.owned = {
            endpoint: min(slots, candidate.owned[endpoint])
            for endpoint, slots in self.owned.items()
            if endpoint in candidate.owned
        }
        return True

    def confirm_candidate(self, now: float, *, settled: bool) -> bool:
        """Confirm the candidate, and own its slots, if all peers agree.

        ``settled`` is True if this process uses no slots beyond the candidate.
        Returns whether the candidate was confirmed by this call.
        """
        if self.confirmed or not settled or self._is_in_grace_period(now):
            return False
        if not all(self._has_confirmed(peer) for peer in self._peers.values()):
            return False
        self.confirmed = True
        self.owned = dict(self.candidate.owned)
        return True

    def pending_announcements(
        self, *, settled: bool
    ) -> list[tuple[ids.VmId, frames.Frame]]:
        """Return the views to announce now, with the peers to send them to."""
        announcements: list[tuple[ids.VmId, frames.Frame]] = []
        for vm, peer in self._peers.items():
            peer_epoch = peer.announced_epoch()
            sent_epoch, sent_peer_epoch, sent_settled = peer.last_sent
            same_view = bool(
                peer.last_view
                and peer.last_view.digest == self.candidate.digest
            )
            if (
                sent_epoch == self._epoch
                and sent_settled == settled
                and not (same_view and sent_peer_epoch != peer_epoch)
            ):
                continue
            peer.last_sent = (self._epoch, peer_epoch, settled)
            announcements.append(
                (vm, self._build_announcement(peer_epoch, settled))
            )
        return announcements

    def state(self, now: float) -> dict[str, object]:
        """Return the view for the state dump."""
        return {
            'members': [list(member) for member in self.candidate.members],
            'digest': self.candidate.digest,
            'epoch': self._epoch,
            'confirmed': self.confirmed,
            'agreeing': sorted(
                vm
                for vm, peer in self._peers.items()
                if self._has_confirmed(peer)
            ),
            'absent_s': {
                vm: round(now - since, 3)
                for vm, since in self._absent_since.items()
            },
            'owned_endpoints': len(self.owned),
            'owned_slots': sum(self.owned.values()),
        }

    def absent_since(self) -> Mapping[ids.VmId, float]:
        """Return the times since which processes of the zone have been absent.

        Processes that sent Goodbye are not included.
        """
        return self._absent_since

    def _build_announcement(
        self, peer_epoch: int, settled: bool
    ) -> frames.View:
        return frames.View(
            members=self.candidate.members,
            digest=self.candidate.digest,
            epoch=self._epoch,
            acknowledged_epoch=peer_epoch,
            settled=settled,
        )

    def _has_confirmed(self, peer: _MemberPeer) -> bool:
        """Return whether the peer has confirmed the candidate view.

        A peer confirms it by announcing the same view as settled, in reply to
        this process's announcement. A leaving peer need not confirm it.
        """
        return peer.is_leaving or bool(
            peer.last_view
            and peer.last_view.digest == self.candidate.digest
            and peer.last_view.acknowledged_epoch == self._epoch
            and peer.last_view.settled
        )

    def _is_in_grace_period(self, now: float) -> bool:
        return any(
            now - since < self._grace_s for since in self._absent_since.values()
        )

    def _update_absent(self, now: float) -> None:
        """Add live processes without a stream.

        Processes that are no longer listed as live are removed after the grace
        period.
        """
        live_sizes = self._live_sizes
        self._departed_vms.intersection_update(live_sizes)
        for vm in live_sizes:
            if vm != self._own_member[0] and vm not in self._peers:
                if vm not in self._departed_vms:
                    self._absent_since.setdefault(vm, now)
        for vm, since in list(self._absent_since.items()):
            if vm not in live_sizes and now - since >= self._grace_s:
                self._absent_since.pop(vm)

    def _current_members(self) -> tuple[Member, ...]:
        live_sizes = self._live_sizes
        members = [
            (vm, peer.incarnation)
            for vm, peer in self._peers.items()
            if vm in live_sizes and not peer.is_leaving
        ]
        if self._own_member[0] in live_sizes and not self._is_leaving:
            members.append(self._own_member)
        return tuple(sorted(members))

    def _owner_of(
        self, endpoint: str, sizes: dict[ids.VmId, float]
    ) -> ids.VmId | None:
        """Return the VM that owns the endpoint; cached for equal sizes."""
        if self._owner_cache_sizes != sizes:
            self._owner_cache_sizes = sizes
            self._owner_cache = {}
        if endpoint not in self._owner_cache:
            self._owner_cache[endpoint] = rendezvous.winner(endpoint, sizes)
        return self._owner_cache[endpoint]

    def _build_candidate(self, members: tuple[Member, ...]) -> CandidateView:
        live_sizes = self._live_sizes
        sizes: dict[ids.VmId, float] = {vm: live_sizes[vm] for vm, _ in members}
        owned: dict[ids.EndpointId, int] = {}
        vm_slots = {vm: 0 for vm, _ in members}
        zone_slots: dict[ids.ZoneId, int] = {}
        # The digest covers all inputs of the assignment, so that processes
        # with equal digests assign all slots alike.
        digest = hashlib.sha256(repr((members, sizes)).encode())
        for endpoint in _live_endpoints(self._listing):
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


def _live_endpoints(listing: platform.VmList) -> list[platform.Vm]:
    return sorted(
        (
            vm
            for vm in listing.vms
            if vm.role is platform.VmRole.ENDPOINT
            and vm.state is platform.VmState.LIVE
        ),
        key=lambda vm: vm.name,
    )
