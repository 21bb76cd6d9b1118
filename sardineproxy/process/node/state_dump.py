"""State dump of a node."""

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardineproxy.process.node import node


def build_state_dump(process: 'node.Node', now: float) -> dict[str, object]:
    """Return the state of a process as a JSON-serializable document."""
    return {
        'vm': process.cfg.vm,
        'incarnation': process.identity.incarnation,
        'config': {
            'number': process.versions.number,
            'digest': process.versions.digest,
        },
        'ready': process.is_ready(),
        'draining': process.draining,
        'owners': dict(process.leaders.by_shard),
        'evacuated': dict(process.zone_evacuations.zones),
        'rooms': process.capacities.state(now),
        'links': {
            vm: len(vm_links)
            for vm, vm_links in process.links.open_links.items()
        },
        'members': sorted(process.registry.members),
        'claims': {
            shard: dataclasses.asdict(claim)
            for shard, claim in process.registry.claims.items()
        },
        'confined_errors': dict(process.failures),
        'malformed_workers': process.workers.malformed_entries(),
        'jobs': process.active_jobs.state(),
        'kept': [
            manager.state(now)
            for manager in process.job_service.managers.values()
        ],
        'cells': [
            leader.state(now) for leader in process.led_shards.shards.values()
        ],
    }
