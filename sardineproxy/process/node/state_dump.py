"""State dump of a node."""

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineproxy.process.node import node


def build_state_dump(described: 'node.Node', now: float) -> dict[str, object]:
    """Return the state of a process as a JSON-serializable document."""
    return {
        'vm': described.cfg.vm,
        'incarnation': described.identity.incarnation,
        'config': {
            'number': described.versions.number,
            'digest': described.versions.digest,
        },
        'ready': described.is_ready(),
        'draining': described.draining,
        'owners': dict(described.leaders.by_shard),
        'rooms': described.capacities.state(now),
        'links': {
            vm: len(vm_links)
            for vm, vm_links in described.links.open_links.items()
        },
        'members': sorted(described.registry.members),
        'claims': {
            shard: dataclasses.asdict(claim)
            for shard, claim in described.registry.claims.items()
        },
        'jobs': described.active_jobs.state(),
        'kept': [
            manager.state(now)
            for manager in described.job_service.managers.values()
        ],
        'cells': [
            leader.state(now) for leader in described.led_shards.shards.values()
        ],
    }
