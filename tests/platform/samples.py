"""Sample documents in the platform's formats."""

import json
from typing import Any

SETTINGS = """
node = "edge-1"
zone = "z1"
seeds = ["127.0.0.1:8166"]
heartbeat_ms = 1500
port_range = [7720, 7735]
unknown_field = "ignored"
[zones]
z1 = "region"
z2 = "region"
[listen_addrs]
front = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
control = "127.0.0.1:8166"
[limits]
cpu_share = 0.5
cores = 2
[bounds]
max_hold_ms = 1000
remote_factor = 2
stop_timeout_ms = 50
grace_s = 6
config_apply_ms = 2000
retransmit_ms = 1300
[platform]
address = "127.0.0.1:8169"
writes_per_s = 600
reads_per_s = 2000
"""


def worker_entry(**changes: Any) -> dict[str, Any]:
    """Return the entry of a worker in the platform's list."""
    return {
        'service': 's',
        'address': '127.0.0.1:80',
        'zone': 'z1',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'capacity': {'cpu': 32000, 'mem_mb': 65536},
        'labels': ['a', 'r1-1'],
        'born': 1_700_000_000_000,
        'seq': 4,
        **changes,
    }


def route(**changes: Any) -> dict[str, Any]:
    """Return a route of a configuration version."""
    return {
        'name': 'r-1',
        'host': 'a.example',
        'path_prefix': '/jobs/',
        'type': 'non_idempotent',
        'timeout_ms': 1500,
        'target_latency_ms': 60,
        'priority': 2,
        'service': 's',
        'max_attempts': 4,
        'stretch': 1.6,
        **changes,
    }


def configuration(number: int, *routes: dict[str, Any]) -> bytes:
    """Return a configuration version."""
    document = {
        'version': number,
        'routes': list(routes or (route(),)),
        'services': [{'name': 's', 'rejects_overload': False}],
        'limits': {'max_body_bytes': 262144},
    }
    return json.dumps(document).encode()


def job(**changes: Any) -> dict[str, Any]:
    """Return a job that is not stored."""
    return {
        'spec': 'text',
        'burstable': True,
        'steps': [{'count': 2, 'cpu': 14000, 'mem_mb': 64, 'estimate_ms': 200}],
        **changes,
    }
