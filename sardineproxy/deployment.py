"""Where a dispatch process runs: its addresses, limits and time bounds."""

import dataclasses

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Times that the platform grants, in seconds."""

    #: Longest lease that a worker accepts for what runs on it.
    lease_s: float

    #: Longest time that a worker takes to stop a run.
    stop_timeout_s: float

    #: Time from SIGTERM to SIGKILL.
    shutdown_grace_s: float

    #: Time within which a configuration version must be in force.
    config_apply_s: float

    #: Time for which the state of a stored job is asked for after its end.
    status_retention_s: float

    #: A task takes this many times as long on racks without its data; no
    #: time.
    distance_factor: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """What the settings say about this entry VM and its surroundings."""

    vm: ids.VmId
    zone: ids.ZoneId

    #: All availability zones of the deployment, in a fixed order.
    zones: tuple[ids.ZoneId, ...]

    #: Listener for clients.
    client_listener: Address

    #: Listener for the balancer's readiness checks.
    readiness_listener: Address

    #: Listener for other entry VMs.
    peer_listener: Address

    #: Peer listeners that may answer while the store cannot be read.
    seeds: tuple[Address, ...]

    store: Address
    bounds: Bounds

    #: Processor share of this VM, in cores.
    cores: float
