"""Directory of live and leaving VMs."""

from typing import Mapping

import reactivex
from reactivex import subject

from sardineproxy import ids
from sardineproxy.process import platform


class VmDirectory:
    """Holds the newest VM list; older revisions are ignored."""

    def __init__(self, *, seeds: tuple[platform.Vm, ...] = ()) -> None:
        """Create a directory with a list of ``seeds`` at revision 0."""
        self._listing = subject.BehaviorSubject(
            platform.VmList(revision=0, vms=seeds)
        )
        self._entry_vms = seeds
        self._endpoints: Mapping[ids.EndpointId, platform.Vm] = {}

    @property
    def listing(self) -> reactivex.Observable[platform.VmList]:
        """Return an observable of the newest list and all later ones."""
        return self._listing

    @property
    def newest(self) -> platform.VmList:
        """Return the newest list."""
        return self._listing.value

    def offer(self, vm_list: platform.VmList) -> bool:
        """Apply a list if it is newer; return whether it was applied."""
        if vm_list.revision <= self.newest.revision:
            return False
        self._entry_vms = tuple(
            vm for vm in vm_list.vms if vm.role is platform.VmRole.ENTRY
        )
        self._endpoints = {
            ids.EndpointId(vm.name): vm
            for vm in vm_list.vms
            if vm.role is platform.VmRole.ENDPOINT
        }
        self._listing.on_next(vm_list)
        return True

    def endpoint(self, endpoint: ids.EndpointId) -> platform.Vm | None:
        """Return the endpoint in the newest list, None if not listed."""
        return self._endpoints.get(endpoint)

    def endpoints(self) -> tuple[platform.Vm, ...]:
        """Return all live and leaving endpoints."""
        return tuple(self._endpoints.values())

    def entry_vms(self) -> tuple[platform.Vm, ...]:
        """Return all live and leaving entry VMs."""
        return self._entry_vms
