"""Settings of an entry VM: addresses, time bounds and CPU share."""

import dataclasses

from sardineproxy import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Time bounds that the platform sets, in seconds, and a ratio."""

    #: Longest lease that a worker accepts for its runs.
    lease_s: float

    #: Longest time that a worker takes to stop a run.
    stop_timeout_s: float

    #: Time from SIGTERM to SIGKILL.
    shutdown_grace_s: float

    #: Time within which a new configuration version must be applied.
    config_apply_s: float

    #: Time for which clients may query the state of a finished stored job.
    status_retention_s: float

    #: Ratio of a task's run time on racks without its data to that on the rack
    #: with its data.
    distance_factor: float

    #: Time after which a draining worker must get no more runs.
    drain_s: float = 2.0

    #: Time from the request to evacuate a zone after which no task is started
    #: there, None if the platform sets no such bound.
    evacuate_s: float | None = None

    #: Ratio of a task's run time on a cold worker to that on a warm one.
    cold_overage: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """Settings of this entry VM and of the deployment it is part of."""

    vm: ids.VmId
    zone: ids.ZoneId

    #: All availability zones of the deployment, in a fixed order.
    zones: tuple[ids.ZoneId, ...]

    #: Listener for clients.
    front: Address

    #: Listener for the load balancer's readiness checks.
    ready: Address

    #: Listener for other entry VMs.
    peers: Address

    #: Peer listeners to connect to while no members are known, for example
    #: because the store cannot be read.
    seeds: tuple[Address, ...]

    #: Address of the platform's metadata store.
    store: Address
    bounds: Bounds

    #: CPU share of this VM, in cores.
    cores: float

    #: Memory of this VM, in bytes.
    memory_bytes: int

    #: Number of file descriptors that the process may have open.
    max_fds: int
