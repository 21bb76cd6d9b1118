"""Messages between the entry VMs that accept jobs and those that own cells."""

import dataclasses

from sardineproxy import ids
from sardineproxy.connection import codec


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Greeting:
    """First message each way: who is at this end."""

    vm: ids.VmId = codec.checked(codec.text)
    incarnation: ids.Incarnation = codec.checked(codec.text)
    zone: ids.ZoneId = codec.checked(codec.text)


#: Cell, its epoch, the rank of the claim, how many more average tasks the
#: cell could start now, and whether all its stored jobs are known.
Offer = tuple[ids.ShardId, int, int, int, bool]

#: Route, and how many of its stored jobs have not begun.
Pending = tuple[ids.RouteId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Beat:
    """Sign of life: newest configuration, and the cells that are owned."""

    version: int = codec.checked(codec.count)
    shards: tuple[Offer, ...] = codec.checked(
        codec.rows(
            codec.text, codec.count, codec.count, codec.count, codec.flag
        )
    )

    #: Stored jobs that wait, of the cells that are owned.
    pending: tuple[Pending, ...] = codec.checked(
        codec.rows(codec.text, codec.count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Submit:
    """Asks the owner of a cell to run tasks of one step of a job.

    Sent again to a new owner of the cell, it takes over what still runs.
    """

    shard: ids.ShardId = codec.checked(codec.text)
    job: ids.JobId = codec.checked(codec.text)
    step: int = codec.checked(codec.count)
    route: ids.RouteId = codec.checked(codec.text)
    service: ids.ServiceId = codec.checked(codec.text)
    priority: int = codec.checked(codec.count)
    payload: str = codec.checked(codec.payload_text)

    #: Index of each task, and the number of its next run.
    tasks: tuple[tuple[int, int], ...] = codec.checked(
        codec.rows(codec.count, codec.count)
    )
    millicores: int = codec.checked(codec.count)
    memory_mb: int = codec.checked(codec.count)
    gpus: int = codec.checked(codec.count)

    #: Label that a worker must have, empty for none.
    requires: str = codec.checked(codec.text)

    #: Rack that has the tasks' data, empty for none.
    rack: str = codec.checked(codec.text)

    #: Most tasks of the step on one worker, 0 for any number.
    per_worker: int = codec.checked(codec.count)

    #: The client's estimate of a task's run time, in seconds.
    estimate_s: float = codec.checked(codec.seconds)

    #: Time since the job arrived, in seconds.
    age_s: float = codec.checked(codec.seconds)

    #: Time until the client stops waiting, in seconds.
    left_s: float = codec.checked(codec.seconds)

    #: The job is on time within ``stretch`` times its longest task and
    #: ``slack_s`` seconds more.
    stretch: float = codec.checked(codec.seconds)
    slack_s: float = codec.checked(codec.seconds)

    #: True if runs of these tasks may exist in the cell.
    resumed: bool = codec.checked(codec.flag)

    #: True if other tasks of the job may have started.
    begun: bool = codec.checked(codec.flag)

    #: True if the tasks may not be sent on to another cell.
    firm: bool = codec.checked(codec.flag)

    #: True if the job is stored: its ends are acknowledged to workers only
    #: after ``EndsNoted``.
    stored: bool = codec.checked(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Withdraw:
    """The sender no longer wants anything of a job in a cell."""

    shard: ids.ShardId = codec.checked(codec.text)
    job: ids.JobId = codec.checked(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ended:
    """A run of a task ended, or can no longer exist."""

    shard: ids.ShardId = codec.checked(codec.text)
    job: ids.JobId = codec.checked(codec.text)
    step: int = codec.checked(codec.count)
    index: int = codec.checked(codec.count)
    run: int = codec.checked(codec.count)

    #: A ``TaskEnd`` value.
    how: str = codec.checked(codec.text)

    #: True if it is for the keeper of a stored job.
    stored: bool = codec.checked(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Declined:
    """Tasks that were not started and will not be."""

    shard: ids.ShardId = codec.checked(codec.text)
    job: ids.JobId = codec.checked(codec.text)
    step: int = codec.checked(codec.count)
    indices: tuple[int, ...] = codec.checked(codec.counts)

    #: Cell that may have room for them, empty for none.
    other: str = codec.checked(codec.text)

    #: Why, in a few words.
    cause: str = codec.checked(codec.text)

    #: Seconds after which there may be room again.
    retry_s: float = codec.checked(codec.seconds)

    #: True if it is for the keeper of a stored job.
    stored: bool = codec.checked(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Disowned:
    """The sender no longer owns the cell."""

    shard: ids.ShardId = codec.checked(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TakeOver:
    """Asks the receiver to claim a cell: its owner shuts down."""

    shard: ids.ShardId = codec.checked(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryAsk:
    """Asks for the directory of VMs and claims."""


#: Key, revision and body of a row of the directory.
DirectoryRow = tuple[str, int, bytes]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryGive:
    """The directory of VMs and claims."""

    rows: tuple[DirectoryRow, ...] = codec.checked(
        codec.rows(codec.text, codec.count, codec.blob)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionAsk:
    """Asks for the configuration version that the receiver has in force."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionGive:
    """The configuration version that the sender has in force."""

    number: int = codec.checked(codec.count)

    #: Its body, compressed by zlib.
    packed: bytes = codec.checked(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobBegun:
    """A task of a stored job was ordered."""

    shard: ids.ShardId = codec.checked(codec.text)
    job: ids.JobId = codec.checked(codec.text)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndsNoted:
    """Ends of a stored job's tasks are stored: workers may forget them."""

    shard: ids.ShardId = codec.checked(codec.text)
    job: ids.JobId = codec.checked(codec.text)
    step: int = codec.checked(codec.count)

    #: Index of each task, and the number of the run that ended.
    ends: tuple[tuple[int, int], ...] = codec.checked(
        codec.rows(codec.count, codec.count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeepJob:
    """Asks the owner of a job's home cell to store it."""

    shard: ids.ShardId = codec.checked(codec.text)

    #: Number by which the answer is told from others.
    token: int = codec.checked(codec.count)

    #: The job as it is stored.
    record: bytes = codec.checked(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AskJob:
    """Asks for the state of a stored job, or cancels it."""

    shard: ids.ShardId = codec.checked(codec.text)
    token: int = codec.checked(codec.count)
    job: ids.JobId = codec.checked(codec.text)
    cancel: bool = codec.checked(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TellJob:
    """Answers ``KeepJob`` and ``AskJob``."""

    token: int = codec.checked(codec.count)

    #: A ``KeeperAnswer`` value.
    answer: str = codec.checked(codec.text)


Message = (
    Greeting
    | Beat
    | Submit
    | Withdraw
    | Ended
    | Declined
    | Disowned
    | TakeOver
    | DirectoryAsk
    | DirectoryGive
    | VersionAsk
    | VersionGive
    | JobBegun
    | EndsNoted
    | KeepJob
    | AskJob
    | TellJob
)

#: The position is the type number on the wire; append only.
KINDS: tuple[type, ...] = (
    Greeting,
    Beat,
    Submit,
    Withdraw,
    Ended,
    Declined,
    Disowned,
    TakeOver,
    DirectoryAsk,
    DirectoryGive,
    VersionAsk,
    VersionGive,
    JobBegun,
    EndsNoted,
    KeepJob,
    AskJob,
    TellJob,
)

CODEC = codec.Codec(*KINDS)
