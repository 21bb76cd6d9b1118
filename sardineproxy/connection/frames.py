"""Messages between entry processes, as bounded msgpack frames."""

import asyncio
import dataclasses

import result

from sardineproxy import ids
from sardineproxy.connection import codec

#: Largest frame without its length prefix, in bytes.
MAX_FRAME_BYTES = codec.MAX_FRAME_BYTES

#: Largest payload of a forward or its reply, in bytes.
MAX_PAYLOAD_BYTES = MAX_FRAME_BYTES - 64

#: Error of a stream that ended between two frames.
STREAM_CLOSED = codec.STREAM_CLOSED


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First frame each way: who is at this end."""

    vm: ids.VmId = codec.checked_field(codec.text)
    incarnation: ids.Incarnation = codec.checked_field(codec.text)
    zone: ids.ZoneId = codec.checked_field(codec.text)

    #: Number of the configuration version, 0 for none.
    version: int = codec.checked_field(codec.count)

    #: Revision of the list of VMs.
    revision: int = codec.checked_field(codec.count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Sign of life on an otherwise idle stream."""

    version: int = codec.checked_field(codec.count)
    revision: int = codec.checked_field(codec.count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """The sender's present membership view of its zone."""

    members: tuple[tuple[ids.VmId, ids.Incarnation], ...] = codec.checked_field(
        codec.rows(codec.text, codec.text)
    )

    #: Digest over members, their sizes, and the endpoints of the listing.
    digest: str = codec.checked_field(codec.text)

    #: Number of the sender's view; rises with each change.
    epoch: int = codec.checked_field(codec.count)

    #: The receiver's newest epoch that the sender has seen, 0 for none.
    acknowledged_epoch: int = codec.checked_field(codec.count)

    #: True if the sender uses no more than this view gives it.
    settled: bool = codec.checked_field(codec.flag)


#: Customer, contract weight, and slots wanted.
SlotDemand = tuple[ids.CustomerId, float, int]

#: Customer, endpoint, and number of slots.
SlotAllocation = tuple[ids.CustomerId, ids.EndpointId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """Asks for loans, or for lent slots."""

    number: int = codec.checked_field(codec.count)
    demands: tuple[SlotDemand, ...] = codec.checked_field(
        codec.rows(codec.text, codec.weight, codec.count)
    )

    #: Endpoints whose borrowed slots the sender wants back.
    recall: tuple[ids.EndpointId, ...] = codec.checked_field(codec.texts)

    #: True if the sender wants all its borrowed slots that are idle.
    reclaim: bool = codec.checked_field(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotGrant:
    """Lends slots in answer to the request ``number``, at once or later."""

    number: int = codec.checked_field(codec.count)
    allocations: tuple[SlotAllocation, ...] = codec.checked_field(
        codec.rows(codec.text, codec.text, codec.count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotReturn:
    """Gives borrowed slots back."""

    allocations: tuple[SlotAllocation, ...] = codec.checked_field(
        codec.rows(codec.text, codec.text, codec.count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """A submission, or a question about one, for the minter of its key."""

    number: int = codec.checked_field(codec.count)
    payload: bytes = codec.checked_field(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardReply:
    """The reply to the forward with this number."""

    number: int = codec.checked_field(codec.count)
    payload: bytes = codec.checked_field(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigAnnounce:
    """Tells that the sender has a newer version or listing."""

    version: int = codec.checked_field(codec.count)
    revision: int = codec.checked_field(codec.count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigFetch:
    """Asks for what is newer than this version and this listing."""

    version: int = codec.checked_field(codec.count)
    revision: int = codec.checked_field(codec.count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigChanges:
    """Newer changes and the newer listing, None where there are none."""

    changes: bytes | None = codec.checked_field(codec.blob_or_none)
    listing: bytes | None = codec.checked_field(codec.blob_or_none)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Goodbye:
    """The sender ends; its slots may be taken over at once."""


Frame = (
    Hello
    | Heartbeat
    | View
    | SlotRequest
    | SlotGrant
    | SlotReturn
    | Forward
    | ForwardReply
    | ConfigAnnounce
    | ConfigFetch
    | ConfigChanges
    | Goodbye
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A frame, and how many slots its sender could lend."""

    frame: Frame
    free_slots: int


#: The position is the type number on the wire; append only.
FRAME_TYPES: tuple[type, ...] = (
    Hello,
    Heartbeat,
    View,
    SlotRequest,
    SlotGrant,
    SlotReturn,
    Forward,
    ForwardReply,
    ConfigAnnounce,
    ConfigFetch,
    ConfigChanges,
    Goodbye,
)
_CODEC = codec.Codec(*FRAME_TYPES)


def encode(frame: Frame, *, free_slots: int = 0) -> result.Result[bytes, str]:
    """Return the frame with its length prefix, or why it is too large."""
    return _CODEC.encode(frame, header=free_slots)


def decode(body: bytes) -> result.Result[Envelope, str]:
    """Read one frame without its length prefix."""
    return _CODEC.decode(body).map(_to_envelope)


class Reader:
    """Reads the frames of one stream."""

    def __init__(self, *, reader: asyncio.StreamReader) -> None:
        """Read from the start of a stream."""
        self._frames = codec.FrameReader(codec=_CODEC, reader=reader)

    async def read(self) -> result.Result[Envelope, str]:
        """Wait for a frame; Err if the stream ended or broke the rules."""
        received = await self._frames.read()
        return received.map(_to_envelope)


def _to_envelope(received: codec.Envelope) -> Envelope:
    return Envelope(frame=received.message, free_slots=received.header)
