"""Messages between the entry VMs that accept jobs and the shard leaders."""

import dataclasses

from sardineproxy import ids
from sardineproxy.connection import codec


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Greeting:
    """First message in each direction: identifies the sender."""

    vm: ids.VmId = codec.checked_field(codec.text)
    incarnation: ids.Incarnation = codec.checked_field(codec.text)
    zone: ids.ZoneId = codec.checked_field(codec.text)


#: Shard, its epoch, the rank of the claim, how many more average tasks the
#: shard could start now, and whether all its stored jobs are loaded.
ShardStatus = tuple[ids.ShardId, int, int, int, bool]

#: Home shard of a stored job, and epoch and rank of the fencing token under
#: which the sender writes the rows of that shard's jobs.
Authority = tuple[ids.ShardId, int, int]

#: Authority in messages about jobs that are not stored, and in those of older
#: processes.
NO_AUTHORITY: Authority = (ids.ShardId(''), 0, 0)

_is_authority = codec.fixed_row(codec.text, codec.count, codec.count)

#: Position of the shard in ``Heartbeat.shards``, service and labels of similar
#: workers, their least speed in hundredths, the millicores, megabytes of memory
#: and GPUs that are free on each of them at least, and their number.
FreeCapacity = tuple[
    int, ids.ServiceId, tuple[str, ...], int, int, int, int, int
]

#: Position of the shard in ``Heartbeat.shards``, revision of the list of workers
#: that its leader uses, and whether the leader knows all workers on which runs
#: of the shard may exist.
WorkerListStatus = tuple[int, int, bool]

#: Position of the shard in ``Heartbeat.shards``, and a worker without a valid
#: entry in the list: its id, host, port and start in Unix milliseconds.
UnlistedWorker = tuple[int, ids.WorkerId, str, int, int]

#: Route, and how many of its stored jobs have not started.
PendingJobs = tuple[ids.RouteId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Liveness, active configuration version and led shards of the sender."""

    version: int = codec.checked_field(codec.count)
    shards: tuple[ShardStatus, ...] = codec.checked_field(
        codec.rows(
            codec.text, codec.count, codec.count, codec.count, codec.flag
        )
    )

    #: Stored jobs that have not started, of the shards that the sender leads.
    pending: tuple[PendingJobs, ...] = codec.checked_field(
        codec.rows(codec.text, codec.count)
    )

    #: Free capacity of the shards that accept tasks. A shard without a row
    #: accepts none from other shards. Older processes send no rows.
    free_capacity: tuple[FreeCapacity, ...] = codec.checked_field(
        codec.rows(
            codec.count,
            codec.text,
            codec.texts,
            codec.count,
            codec.count,
            codec.count,
            codec.count,
            codec.count,
        ),
        default=(),
    )

    #: What a new leader of a shard must know of its workers. Older processes
    #: send no rows.
    worker_lists: tuple[WorkerListStatus, ...] = codec.checked_field(
        codec.rows(codec.count, codec.count, codec.flag), default=()
    )

    #: Workers without a valid entry that a led shard uses.
    unlisted: tuple[UnlistedWorker, ...] = codec.checked_field(
        codec.rows(
            codec.count, codec.text, codec.text, codec.count, codec.count
        ),
        default=(),
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Submit:
    """Submits tasks of one step of a job to the leader of a shard.

    It is sent again to a new leader of the shard, which takes over the tasks
    that still run.
    """

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)
    step: int = codec.checked_field(codec.count)
    route: ids.RouteId = codec.checked_field(codec.text)
    service: ids.ServiceId = codec.checked_field(codec.text)
    priority: int = codec.checked_field(codec.count)
    payload: str = codec.checked_field(codec.payload_text)

    #: Index of each task and the number of its next run.
    tasks: tuple[tuple[int, int], ...] = codec.checked_field(
        codec.rows(codec.count, codec.count)
    )
    millicores: int = codec.checked_field(codec.count)
    memory_mb: int = codec.checked_field(codec.count)
    gpus: int = codec.checked_field(codec.count)

    #: Label that a worker must have, empty for none.
    requires: str = codec.checked_field(codec.text)

    #: Rack that holds the tasks' data, empty for none.
    rack: str = codec.checked_field(codec.text)

    #: Largest number of tasks of the step on one worker, 0 for no limit.
    per_worker: int = codec.checked_field(codec.count)

    #: The client's estimate of a task's run time, in seconds.
    estimate_s: float = codec.checked_field(codec.finite_number)

    #: Time since the job arrived, in seconds.
    age_s: float = codec.checked_field(codec.finite_number)

    #: Time until the client stops waiting, in seconds.
    timeout_s: float = codec.checked_field(codec.finite_number)

    #: The job is on time if it takes at most ``stretch`` times the run time of
    #: its longest task, plus ``slack_s`` seconds.
    stretch: float = codec.checked_field(codec.finite_number)
    slack_s: float = codec.checked_field(codec.finite_number)

    #: True if runs of these tasks may exist in the shard.
    resumed: bool = codec.checked_field(codec.flag)

    #: True if other tasks of the job may have started.
    job_started: bool = codec.checked_field(codec.flag)

    #: True if the tasks may not be redirected to another shard.
    pinned: bool = codec.checked_field(codec.flag)

    #: True if the job is stored: its results are acknowledged to workers only
    #: after ``ResultsStored``.
    stored: bool = codec.checked_field(codec.flag)

    #: Authority of the job manager that sends it.
    authority: Authority = codec.checked_field(
        _is_authority, default=NO_AUTHORITY
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Withdraw:
    """Withdraws all tasks of a job from a shard."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)

    #: Authority of the job manager that sends it.
    authority: Authority = codec.checked_field(
        _is_authority, default=NO_AUTHORITY
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunEnded:
    """A run of a task has finished, or can no longer exist."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)
    step: int = codec.checked_field(codec.count)
    index: int = codec.checked_field(codec.count)
    run: int = codec.checked_field(codec.count)

    #: A ``TaskResult`` value.
    result: str = codec.checked_field(codec.text)

    #: True if it is for the manager of a stored job.
    stored: bool = codec.checked_field(codec.flag)

    #: If the result is REPLACED: authority of the manager that has the task now.
    authority: Authority = codec.checked_field(
        _is_authority, default=NO_AUTHORITY
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Declined:
    """Tasks that have no run, and that the leader will not start."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)
    step: int = codec.checked_field(codec.count)
    indices: tuple[int, ...] = codec.checked_field(codec.counts)

    #: Shard that may have capacity for them, empty for none.
    suggested_shard: str = codec.checked_field(codec.text)

    #: Short text of the cause; a client may receive it.
    cause: str = codec.checked_field(codec.text)

    #: Time after which there may be capacity again, in seconds.
    retry_after_s: float = codec.checked_field(codec.finite_number)

    #: True if it is for the manager of a stored job.
    stored: bool = codec.checked_field(codec.flag)

    #: True if a run of the job may have started since it was submitted. Older
    #: processes do not report it.
    started: bool = codec.checked_field(codec.flag, default=True)

    #: True if the job may have run for an earlier request of its client.
    ran_before: bool = codec.checked_field(codec.flag, default=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardReleased:
    """The sender no longer leads the shard."""

    shard: ids.ShardId = codec.checked_field(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TakeOver:
    """Requests that the receiver claim a shard whose leader shuts down."""

    shard: ids.ShardId = codec.checked_field(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegistryRequest:
    """Requests the rows of the registry."""


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
    """Requests the receiver's active configuration version."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionResponse:
    """The sender's active configuration version."""

    number: int = codec.checked_field(codec.count)

    #: Body of the version, compressed by zlib.
    compressed_body: bytes = codec.checked_field(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobStarted:
    """A start order for a task of a stored job was sent."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResultsStored:
    """Results of a stored job's tasks are stored; workers may drop them."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)
    step: int = codec.checked_field(codec.count)

    #: Index of each task and the number of the run that finished.
    runs: tuple[tuple[int, int], ...] = codec.checked_field(
        codec.rows(codec.count, codec.count)
    )

    #: Authority of the job manager that sends it.
    authority: Authority = codec.checked_field(
        _is_authority, default=NO_AUTHORITY
    )

    #: True if the tasks may have been started after these results. The lease
    #: of the worker must expire before they are acknowledged.
    after_lapse: bool = codec.checked_field(codec.flag, default=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreJob:
    """Submits a job to the leader of its home shard, which stores the job."""

    shard: ids.ShardId = codec.checked_field(codec.text)

    #: Number that the response repeats.
    request_id: int = codec.checked_field(codec.count)

    #: The encoded job.
    record: bytes = codec.checked_field(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueryJob:
    """Queries the state of a stored job, or cancels it."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    request_id: int = codec.checked_field(codec.count)
    job: ids.JobId = codec.checked_field(codec.text)
    cancel: bool = codec.checked_field(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobResponse:
    """Response to ``StoreJob`` and ``QueryJob``."""

    request_id: int = codec.checked_field(codec.count)

    #: A ``JobReply`` value.
    reply: str = codec.checked_field(codec.text)


#: Zone, and the revision of the row that evacuates it.
EvacuatedZone = tuple[ids.ZoneId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuatedZones:
    """The evacuated zones as of a revision of the store."""

    revision: int = codec.checked_field(codec.count)
    zones: tuple[EvacuatedZone, ...] = codec.checked_field(
        codec.rows(codec.text, codec.count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutdatedAuthority:
    """Refuses a message of a job manager whose fencing token is outdated."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)

    #: Highest authority that the sender has seen for the job's home shard.
    authority: Authority = codec.checked_field(_is_authority)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawTasks:
    """Withdraws tasks of a stored job that have ended in another shard."""

    shard: ids.ShardId = codec.checked_field(codec.text)
    job: ids.JobId = codec.checked_field(codec.text)
    step: int = codec.checked_field(codec.count)
    indices: tuple[int, ...] = codec.checked_field(codec.counts)

    #: Authority of the job manager that sends it.
    authority: Authority = codec.checked_field(
        _is_authority, default=NO_AUTHORITY
    )


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
    | EvacuatedZones
    | OutdatedAuthority
    | WithdrawTasks
)

#: The position is the type number on the wire; only append.
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
    EvacuatedZones,
    OutdatedAuthority,
    WithdrawTasks,
)

CODEC = codec.Codec(*MESSAGE_TYPES)
