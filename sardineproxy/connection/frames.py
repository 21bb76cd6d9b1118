"""Frames that entry processes send each other, encoded by ``codec``."""

import asyncio
import dataclasses

import result

from sardineproxy import ids
from sardineproxy.connection import codec

#: Largest frame without its length prefix, in bytes.
MAX_FRAME_BYTES = codec.MAX_FRAME_BYTES

#: Largest payload of a forward or its reply, in bytes; leaves space for the
#: other fields of the frame.
MAX_PAYLOAD_BYTES = MAX_FRAME_BYTES - 64

#: Error of a stream that was closed between two frames.
STREAM_CLOSED = codec.STREAM_CLOSED


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First frame in each direction: identifies the sender."""

    vm: ids.VmId = codec.checked_field(codec.text)
    incarnation: ids.Incarnation = codec.checked_field(codec.text)
    zone: ids.ZoneId = codec.checked_field(codec.text)

    #: Number of the active configuration version, 0 for none.
    version: int = codec.checked_field(codec.count)

    #: Revision of the list of VMs.
    revision: int = codec.checked_field(codec.count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Keeps an otherwise idle stream alive."""

    version: int = codec.checked_field(codec.count)
    revision: int = codec.checked_field(codec.count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """The sender's current membership view of its zone."""

    members: tuple[tuple[ids.VmId, ids.Incarnation], ...] = codec.checked_field(
        codec.rows(codec.text, codec.text)
    )

    #: Digest of the members, their sizes, and the endpoints of the listing.
    digest: str = codec.checked_field(codec.text)

    #: Number of the sender's view; incremented with each change.
    epoch: int = codec.checked_field(codec.count)

    #: The receiver's newest epoch that the sender received, 0 for none.
    acknowledged_epoch: int = codec.checked_field(codec.count)

    #: True if the sender uses no slots beyond those that this view assigns it.
    settled: bool = codec.checked_field(codec.flag)


#: Customer, contract weight, and number of slots requested.
SlotDemand = tuple[ids.CustomerId, float, int]

#: Customer, endpoint, and number of slots.
SlotAllocation = tuple[ids.CustomerId, ids.EndpointId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """Requests loans of slots, or the return of lent slots."""

    number: int = codec.checked_field(codec.count)
    demands: tuple[SlotDemand, ...] = codec.checked_field(
        codec.rows(codec.text, codec.positive_number, codec.count)
    )

    #: Endpoints whose borrowed slots the receiver should return.
    recall: tuple[ids.EndpointId, ...] = codec.checked_field(codec.texts)

    #: True if the receiver should return all idle slots that it borrowed from
    #: the sender.
    reclaim: bool = codec.checked_field(codec.flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotGrant:
    """Lends slots for request ``number``; may be sent some time after it."""

    number: int = codec.checked_field(codec.count)
    allocations: tuple[SlotAllocation, ...] = codec.checked_field(
        codec.rows(codec.text, codec.text, codec.count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotReturn:
    """Returns borrowed slots to their lender."""

    allocations: tuple[SlotAllocation, ...] = codec.checked_field(
        codec.rows(codec.text, codec.text, codec.count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """A submission or query, for the entry process that issued its key."""

    number: int = codec.checked_field(codec.count)
    payload: bytes = codec.checked_field(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardReply:
    """The reply to the ``Forward`` with the same number."""

    number: int = codec.checked_field(codec.count)
    payload: bytes = codec.checked_field(codec.blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigAnnounce:
    """Announces that the sender has a newer version or listing."""

    version: int = codec.checked_field(codec.count)
    revision: int = codec.checked_field(codec.count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigFetch:
    """Requests what is newer than this version and this listing."""

    version: int = codec.checked_field(codec.count)
    revision: int = codec.checked_field(codec.count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigChanges:
    """Newer changes and the newer listing, None if there are none."""

    changes: bytes | None = codec.checked_field(codec.blob_or_none)
    listing: bytes | None = codec.checked_field(codec.blob_or_none)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Goodbye:
    """The sender shuts down; its slots may be reassigned at once."""


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
    """A frame and the number of slots that its sender could lend."""

    frame: Frame
    free_slots: int


#: The position is the type number on the wire; only append.
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
    """Return the frame with its length prefix, Err if it is too large."""
    return _CODEC.encode(frame, header=free_slots)


def decode(body: bytes) -> result.Result[Envelope, str]:
    """Decode one frame without its length prefix."""
    return _CODEC.decode(body).map(_to_envelope)


class Reader:
    """Reads the frames of one stream."""

    def __init__(self, *, reader: asyncio.StreamReader) -> None:
        """Read from ``reader``, which is at the start of a frame."""
        self._frame_reader = codec.FrameReader(codec=_CODEC, reader=reader)

    async def read(self) -> result.Result[Envelope, str]:
        """Wait for a frame; Err if the stream ended or is malformed."""
        received = await self._frame_reader.read()
        return received.map(_to_envelope)


def _to_envelope(received: codec.Envelope) -> Envelope:
    return Envelope(frame=received.message, free_slots=received.header)
