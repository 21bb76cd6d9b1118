"""What clients, workers and the operator saw during a run."""

import collections
import dataclasses
import math


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One request of a client; times are in seconds of the loop's clock."""

    job: str
    vm: str
    sent_at: float

    #: How long the client waits for the answer.
    wait_s: float
    ended_at: float = math.inf

    #: Status of the whole answer, None if there was none.
    status: int | None = None

    #: State of the job that the answer gives.
    state: str = ''

    #: Why there was no answer.
    cause: str = ''


@dataclasses.dataclass(kw_only=True, slots=True)
class SentJob:
    """A job as its client sent it, and what a client of stored ones saw."""

    payload: str
    tasks: int
    is_stored: bool = False
    is_cancelled: bool = False

    #: Newest state of a stored job.
    state: str = ''


@dataclasses.dataclass(kw_only=True, slots=True)
class Disturbance:
    """A fault at a VM, a worker, or the store."""

    target: str
    kind: str
    begin: float
    end: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sighting:
    """Newest version that a VM's answers showed."""

    vm: str
    start: int
    asked_at: float
    at: float
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Draining:
    """A worker that said that it leaves."""

    worker: str
    zone: str
    at: float


class Trace:
    """Everything that the checks need."""

    def __init__(self) -> None:
        self.jobs: dict[str, SentJob] = {}
        self.attempts: dict[str, list[Attempt]] = collections.defaultdict(list)
        self.disturbances: list[Disturbance] = []
        self.versions: dict[int, float] = {}
        self.sightings: list[Sighting] = []
        self.drainings: list[Draining] = []
        self.terms: list[tuple[str, float]] = []

        #: Sentences about processes that ended by themselves.
        self.exits: list[str] = []

    def disturb(self, target: str, kind: str, now: float) -> Disturbance:
        """Note the beginning of a fault."""
        noted = Disturbance(target=target, kind=kind, begin=now)
        self.disturbances.append(noted)
        return noted

    def note_draining(self, name: str, zone: str, now: float) -> None:
        """Note that a worker has said that it leaves."""
        self.drainings.append(Draining(worker=name, zone=zone, at=now))

    def is_calm(self, target: str, since: float, until: float) -> bool:
        """Tell whether nothing disturbed a target in a time."""
        return not any(
            each.target == target and each.begin < until and each.end > since
            for each in self.disturbances
        )
