"""Which other entry VMs a node keeps links to."""

from typing import Iterable

from sardineproxy import deployment
from sardineproxy.process.membership import links, registry
from sardineproxy.process.node import claiming

#: Of two VMs the one with the lower name opens their link; the other one
#: does so after this time, in seconds.
DIAL_DELAY_S = 0.5


def update_link_targets(
    own: links.Links,
    *,
    members: Iterable[registry.Member],
    claims: claiming.ShardClaimer,
    cfg: deployment.Deployment,
) -> None:
    """Keep links to the members that need one, to the seeds if none does."""
    others = [
        member
        for member in members
        if member.vm != cfg.vm and claims.needs_link(cfg.vm, member.vm)
    ]
    if not others:
        own.set_targets({seed: 0 for seed in cfg.seeds if seed != cfg.peers})
        return
    own.set_targets(
        {
            member.address: 0 if cfg.vm < member.vm else DIAL_DELAY_S
            for member in others
        }
    )
    own.set_needed({member.vm for member in others})
    for known in others:
        own.set_peer_vm(known.address, known.vm)
