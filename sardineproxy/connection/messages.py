"""Messages between the entry VMs that accept jobs and those that own cells."""

import dataclasses

from sardineproxy import ids
from sardineproxy.connection import codec


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Greeting:
    """First message each way: who is at this end."""

    vm: ids.VmId = codec.checked_field(codec.text)
    incarnation: ids.Incarnation = codec.checked_field(codec.text)
    zone: ids.ZoneId = codec.checked_field(codec.text)


#: Cell, its epoch, the rank of the claim, how many more average tasks the
#: cell could start now, and whether all its stored jobs are known.
ShardStatus = tuple[ids.ShardId, int, int, int, bool]

#: Route, and how many of its stored jobs have not begun.
PendingJobs = tuple[ids.RouteId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Sign of life: newest configuration, and the cells that are owned."""

    version: int = codec.checked_field(codec.count)
    shards: tuple[ShardStatus, ...] = codec.checked_field(
        codec.rows(
            codec.text, codec.count, codec.count, codec.count, codec.flag
        )
    )

    #: Stored jobs that wait, of the cells that are owned.
    pending: tuple[PendingJobs, ...] = codec.checked_field(
        codec.rows(codec.text, codec.count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Submit:
    """Asks the owner of a cell to run tasks of one step of a job.

    Sent again to a new owner of the cell, it takes over what still runs.
    """

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)
    step: int = codec.checked_field(codec.count)
    route: ids.RouteId = codec.checked_field(codec.text)
    service: ids.ServiceId = codec.checked_field(codec.text)
    priority: int = codec.checked_field(codec.count)
    payload: str = codec.checked_field(codec.payload_text)

    #: Index of each task, and the number of its next run.
    tasks: tuple[tuple[int, int], ...] = codec.checked_field(
        codec.rows(codec.count, codec.count)
    )
    millicores: int = codec.checked_field(codec.count)
    memory_mb: int = codec.checked_field(codec.count)
    gpus: int = codec.checked_field(codec.count)

    #: Label that a worker must have, empty for none.
    requires: str = codec.checked_field(codec.text)

    #: Rack that has the tasks' data, empty for none.
    rack: str = codec.checked_field(codec.text)

    #: Most tasks of the step on one worker, 0 for any number.
    per_worker: int = codec.checked_field(codec.count)

    #: The client's estimate of a task's run time, in seconds.
    estimate_s: float = codec.checked_field(codec.seconds)

    #: Time since the job arrived, in seconds.
    age_s: float = codec.checked_field(codec.seconds)

    #: Time until the client stops waiting, in seconds.
    timeout_s: float = codec.checked_field(codec.seconds)

    #: The job is on time within ``stretch`` times its longest task and
    #: ``slack_s`` seconds more.
    stretch: float = codec.checked_field(codec.seconds)
    slack_s: float = codec.checked_field(codec.seconds)

    #: True if runs of these tasks may exist in the cell.
    resumed: bool = codec.checked_field(codec.flag)

    #: True if other tasks of the job may have started.
    job_started: bool = codec.checked_field(codec.flag)

    #: True if the tasks may not be sent on to another cell.
    pinned: bool = codec.checked_field(codec.flag)

    #: True if the job is stored: its ends are acknowledged to workers only
    #: after ``ResultsStored``.
    stored: bool = codec.checked_field(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Withdraw:
    """The sender no longer wants anything of a job in a cell."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunEnded:
    """A run of a task ended, or can no longer exist."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)
    step: int = codec.checked_field(codec.count)
    index: int = codec.checked_field(codec.count)
    run: int = codec.checked_field(codec.count)

    #: A ``TaskEnd`` value.
    result: str = codec.checked_field(codec.text)

    #: True if it is for the keeper of a stored job.
    stored: bool = codec.checked_field(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Declined:
    """Tasks that were not started and will not be."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)
    step: int = codec.checked_field(codec.count)
    indices: tuple[int, ...] = codec.checked_field(codec.counts)

    #: Cell that may have room for them, empty for none.
    suggested_shard: str = codec.checked_field(codec.text)

    #: Why, in a few words.
    cause: str = codec.checked_field(codec.text)

    #: Seconds after which there may be room again.
    retry_after_s: float = codec.checked_field(codec.seconds)

    #: True if it is for the keeper of a stored job.
    stored: bool = codec.checked_field(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardReleased:
    """The sender no longer owns the cell."""

    shard: ids.ShardId = codec.checked_field(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TakeOver:
    """Asks the receiver to claim a cell: its owner shuts down."""

    shard: ids.ShardId = codec.checked_field(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegistryRequest:
    """Asks for the rows of the registry."""


#: Key, revision and body of a row of the registry.
RegistryRow = tuple[str, int, bytes]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegistryResponse:
    """The rows of the registry: VMs and claims."""

    rows: tuple[RegistryRow, ...] = codec.checked_field(
        codec.rows(codec.text, codec.count, codec.blob)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionRequest:
    """Asks for the configuration version that the receiver has in force."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionResponse:
    """The configuration version that the sender has in force."""

    number: int = codec.checked_field(codec.count)

    #: Its body, compressed by zlib.
    packed: bytes = codec.checked_field(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobStarted:
    """A task of a stored job was ordered."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResultsStored:
    """Ends of a stored job's tasks are stored: workers may forget them."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)
    step: int = codec.checked_field(codec.count)

    #: Index of each task, and the number of the run that ended.
    runs: tuple[tuple[int, int], ...] = codec.checked_field(
        codec.rows(codec.count, codec.count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreJob:
    """Asks the owner of a job's home cell to store it."""

    shard: ids.ShardId = codec.checked_field(codec.text)

    #: Number by which the answer is told from others.
    request_id: int = codec.checked_field(codec.count)

    #: The job as it is stored.
    record: bytes = codec.checked_field(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueryJob:
    """Asks for the state of a stored job, or cancels it."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    request_id: int = codec.checked_field(codec.count)
    job: ids.JobId = codec.checked_field(codec.text)
    cancel: bool = codec.checked_field(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobResponse:
    """Answers ``StoreJob`` and ``QueryJob``."""

    request_id: int = codec.checked_field(codec.count)

    #: A ``KeeperAnswer`` value.
    answer: str = codec.checked_field(codec.text)


Message = (
    Greeting
    | Heartbeat
    | Submit
    | Withdraw
    | RunEnded
    | Declined
    | ShardReleased
    | TakeOver
    | RegistryRequest
    | RegistryResponse
    | VersionRequest
    | VersionResponse
    | JobStarted
    | ResultsStored
    | StoreJob
    | QueryJob
    | JobResponse
)

#: The position is the type number on the wire; append only.
MESSAGE_TYPES: tuple[type, ...] = (
    Greeting,
    Heartbeat,
    Submit,
    Withdraw,
    RunEnded,
    Declined,
    ShardReleased,
    TakeOver,
    RegistryRequest,
    RegistryResponse,
    VersionRequest,
    VersionResponse,
    JobStarted,
    ResultsStored,
    StoreJob,
    QueryJob,
    JobResponse,
)

CODEC = codec.Codec(*MESSAGE_TYPES)
