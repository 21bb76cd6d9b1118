"""Records of requests, faults and observations during a run."""

import collections
import dataclasses
import math


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One request of a client; times are in seconds on the local clock."""

    job: str
    vm: str
    sent_at: float

    #: Timeout for the reply, or time until the client disconnects.
    wait_s: float
    ended_at: float = math.inf

    #: Status of the complete reply, None if there was none.
    status: int | None = None

    #: State of the job according to the reply.
    state: str = ''

    #: Reason why there was no reply.
    cause: str = ''


@dataclasses.dataclass(kw_only=True, slots=True)
class SubmittedJob:
    """A job as its client submitted it, and its state if it is stored."""

    payload: str
    tasks: int
    is_stored: bool = False
    is_cancelled: bool = False

    #: Last known state of a stored job.
    state: str = ''


@dataclasses.dataclass(kw_only=True, slots=True)
class Disturbance:
    """A fault at a VM, a worker, or the store."""

    target: str
    kind: str
    started_at: float
    ended_at: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionObservation:
    """Newest configuration version that was active at a VM."""

    vm: str

    #: Number of the VM's process, counted from 1.
    start: int
    requested_at: float
    replied_at: float
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DrainNotice:
    """Announcement of a worker that it will shut down."""

    worker: str
    zone: str
    announced_at: float


class Trace:
    """Everything that the checks evaluate."""

    def __init__(self) -> None:
        self.jobs: dict[str, SubmittedJob] = {}
        self.attempts: dict[str, list[Attempt]] = collections.defaultdict(list)
        self.disturbances: list[Disturbance] = []
        #: Local times of the publication of versions, in seconds.
        self.version_times: dict[int, float] = {}
        self.version_observations: list[VersionObservation] = []
        self.drain_notices: list[DrainNotice] = []

        #: Names of terminated VMs and local times of SIGTERM, in seconds.
        self.terminations: list[tuple[str, float]] = []

        #: Descriptions of processes that exited unexpectedly.
        self.unexpected_exits: list[str] = []

    def record_disturbance(
        self, target: str, kind: str, now: float
    ) -> Disturbance:
        """Record the start of a fault."""
        disturbance = Disturbance(target=target, kind=kind, started_at=now)
        self.disturbances.append(disturbance)
        return disturbance

    def record_drain_notice(self, name: str, zone: str, now: float) -> None:
        """Record that a worker has announced its shutdown."""
        self.drain_notices.append(
            DrainNotice(worker=name, zone=zone, announced_at=now)
        )

    def is_undisturbed(self, target: str, since: float, until: float) -> bool:
        """Return whether a target had no fault in a period."""
        return not any(
            disturbance.target == target
            and disturbance.started_at < until
            and disturbance.ended_at > since
            for disturbance in self.disturbances
        )
