"""Selects the entry VMs that a node maintains links to."""

from typing import Iterable

from sardineproxy import deployment
from sardineproxy.process.membership import links, registry
from sardineproxy.process.node import claiming

#: Delay before the VM with the higher name dials, in seconds. The VM with the
#: lower name dials immediately, so that usually only one link is opened.
DIAL_DELAY_S = 0.5


def update_link_targets(
    peer_links: links.Links,
    *,
    members: Iterable[registry.Member],
    claimer: claiming.ShardClaimer,
    cfg: deployment.Deployment,
) -> None:
    """Set the link targets: the members that need a link to this VM.

    Without such members, the seeds are the targets.
    """
    linked_members = [
        member
        for member in members
        if member.vm != cfg.vm and claimer.needs_link(cfg.vm, member.vm)
    ]
    if not linked_members:
        peer_links.set_targets(
            {seed: 0 for seed in cfg.seeds if seed != cfg.peers}
        )
        return
    peer_links.set_targets(
        {
            member.address: 0 if cfg.vm < member.vm else DIAL_DELAY_S
            for member in linked_members
        }
    )
    peer_links.set_needed_vms({member.vm for member in linked_members})
    for linked in linked_members:
        peer_links.set_peer_vm(linked.address, linked.vm)
