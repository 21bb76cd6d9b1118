"""The state dump of a node."""

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineproxy.process.node import node


def describe(own: 'node.Node', now: float) -> dict[str, object]:
    """Return what a process believes."""
    return {
        'vm': own.cfg.vm,
        'incarnation': own.me.incarnation,
        'config': {
            'number': own.versions.number,
            'digest': own.versions.digest,
        },
        'ready': own.is_ready(),
        'draining': own.draining,
        'owners': dict(own.leaders.by_shard),
        'rooms': own.rooms.state(now),
        'links': {vm: len(of_vm) for vm, of_vm in own.links.open_links.items()},
        'members': sorted(own.directory.members),
        'claims': {
            shard: dataclasses.asdict(claim)
            for shard, claim in own.directory.claims.items()
        },
        'jobs': own.active_jobs.state(),
        'kept': [kept.state(now) for kept in own.job_service.managers.values()],
        'cells': [owned.state(now) for owned in own.led_shards.shards.values()],
    }
