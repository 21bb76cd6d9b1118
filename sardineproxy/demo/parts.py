"""Components of a deployment with their VM list records and settings."""

import dataclasses
import types
from typing import Any, Iterable

from sardineproxy.demo import child

HOST = '127.0.0.1'

Document = dict[str, Any]

#: Shorter than the defaults, as no load balancer has to notice the shutdown.
SHUTDOWN = types.MappingProxyType({'notice_s': 0.2, 'limit_s': 10})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointSpec:
    """Stand-in endpoint to start."""

    name: str
    zone: str
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntrySpec:
    """Entry process to start."""

    name: str
    zone: str
    size: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """Running stand-in endpoint."""

    name: str
    zone: str
    speed: float
    slots: int
    connections: int
    port: int

    #: Base URL of the endpoint's control interface.
    control: str

    def render_vm(self) -> Document:
        """Return this endpoint's record in the platform's VM list."""
        return {
            'name': self.name,
            'role': 'endpoint',
            'zone': self.zone,
            'port': self.port,
            'slots': self.slots,
            'connections': self.connections,
        }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """Running entry process."""

    name: str
    zone: str
    size: int
    process: child.Child

    def url(self, path: str) -> str:
        """Return the URL of ``path`` for callers."""
        return f'http://{HOST}:{self.process.ports["callers"]}{path}'

    def admin_url(self, path: str) -> str:
        """Return the URL of ``path`` on the admin port."""
        return f'http://{HOST}:{self.process.ports["admin"]}{path}'

    def render_vm(self) -> Document:
        """Return this entry VM's record in the platform's VM list."""
        return {
            'name': self.name,
            'role': 'entry',
            'zone': self.zone,
            'port': self.process.ports['peers'],
            'slots': self.size,
            'connections': 0,
        }


def render_settings(
    spec: EntrySpec,
    *,
    region: str,
    platform_port: int,
    seeds: Iterable[Entry] = (),
) -> Document:
    """Return the settings of an entry process that uses ephemeral ports."""
    ephemeral_port = {'host': HOST, 'port': 0}
    return {
        'vm': spec.name,
        'zone': spec.zone,
        'region': region,
        'callers': ephemeral_port,
        'admin': ephemeral_port,
        'peers': ephemeral_port,
        'platform': {'host': HOST, 'port': platform_port},
        'size': spec.size,
        'shutdown': dict(SHUTDOWN),
        'seeds': [_render_seed(seed, region) for seed in seeds],
    }


def _render_seed(seed: Entry, region: str) -> Document:
    return {
        'vm': seed.name,
        'zone': seed.zone,
        'region': region,
        'address': {'host': HOST, 'port': seed.process.ports['peers']},
    }
