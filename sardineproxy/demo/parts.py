"""Parts of a deployment, and how the platform and settings list them."""

import dataclasses
import types
from typing import Any, Iterable

from sardineproxy.demo import child

HOST = '127.0.0.1'

Document = dict[str, Any]

#: No balancer has to notice, so entry processes end soon.
SHUTDOWN = types.MappingProxyType({'notice_s': 0.2, 'limit_s': 10})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointSpec:
    """One stand-in endpoint."""

    name: str
    zone: str
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntrySpec:
    """One entry process."""

    name: str
    zone: str
    size: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A running stand-in endpoint."""

    name: str
    zone: str
    speed: float
    slots: int
    connections: int
    port: int

    #: URL of the endpoint's control requests.
    control: str

    def render_vm(self) -> Document:
        """Return this endpoint's part of the platform's list."""
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
    """A running entry process."""

    name: str
    zone: str
    size: int
    process: child.Child

    def url(self, path: str) -> str:
        """Return the callers' URL of ``path``."""
        return f'http://{HOST}:{self.process.ports["callers"]}{path}'

    def admin_url(self, path: str) -> str:
        """Return the admin URL of ``path``."""
        return f'http://{HOST}:{self.process.ports["admin"]}{path}'

    def render_vm(self) -> Document:
        """Return this entry VM's part of the platform's list."""
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
    """Return the settings of an entry process with ports of any number."""
    any_port = {'host': HOST, 'port': 0}
    return {
        'vm': spec.name,
        'zone': spec.zone,
        'region': region,
        'callers': any_port,
        'admin': any_port,
        'peers': any_port,
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
