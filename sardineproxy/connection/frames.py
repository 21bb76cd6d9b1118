"""Messages between entry processes, as bounded msgpack frames."""

import asyncio
import dataclasses
import math
import struct
import types
from typing import Any, Callable

import msgpack
import result

from sardineproxy import ids

#: Largest frame without its length prefix, in bytes.
MAX_FRAME_BYTES = 8_388_608

#: Largest payload of a forward or its reply, in bytes.
MAX_PAYLOAD_BYTES = MAX_FRAME_BYTES - 64

#: Longest list inside a frame.
MAX_ITEMS = 100_000

#: Longest id or digest, in characters.
MAX_TEXT = 256

#: Largest count or number.
MAX_NUMBER = 2**53

#: Error of a stream that ended between two frames.
CLOSED = 'closed'

_LENGTH = struct.Struct('>I')

_Check = Callable[[Any], bool]


def _text(found: Any) -> bool:
    return isinstance(found, str) and len(found) <= MAX_TEXT


def _count(found: Any) -> bool:
    return (
        isinstance(found, int)
        and not isinstance(found, bool)
        and 0 <= found <= MAX_NUMBER
    )


def _weight(found: Any) -> bool:
    return isinstance(found, float) and 0 < found < math.inf


def _flag(found: Any) -> bool:
    return isinstance(found, bool)


def _blob(found: Any) -> bool:
    return isinstance(found, bytes)


def _blob_or_none(found: Any) -> bool:
    return found is None or isinstance(found, bytes)


def _rows(*checks: _Check) -> _Check:
    """Return the check of a list of tuples with these columns."""

    def check_rows(found: Any) -> bool:  # noqa: WPS430
        return isinstance(found, tuple) and all(
            isinstance(row, tuple) and _matches(row, checks) for row in found
        )

    return check_rows


def _texts(found: Any) -> bool:
    return isinstance(found, tuple) and all(map(_text, found))


def _matches(row: tuple[Any, ...], checks: tuple[_Check, ...]) -> bool:
    return len(row) == len(checks) and all(
        check(cell) for check, cell in zip(checks, row)
    )


def _checked(check: _Check) -> Any:
    return dataclasses.field(metadata={'check': check})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First frame each way: who is at this end."""

    vm: ids.VmId = _checked(_text)
    incarnation: ids.Incarnation = _checked(_text)
    zone: ids.ZoneId = _checked(_text)

    #: Number of the configuration version, 0 for none.
    version: int = _checked(_count)

    #: Revision of the list of VMs.
    revision: int = _checked(_count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Sign of life on an otherwise idle stream."""

    version: int = _checked(_count)
    revision: int = _checked(_count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """The sender's present membership view of its zone."""

    members: tuple[tuple[ids.VmId, ids.Incarnation], ...] = _checked(
        _rows(_text, _text)
    )

    #: Digest over members, their sizes, and the endpoints of the listing.
    digest: str = _checked(_text)

    #: Number of the sender's view; rises with each change.
    epoch: int = _checked(_count)

    #: The receiver's newest epoch that the sender has seen, 0 for none.
    heard: int = _checked(_count)

    #: True if the sender uses no more than this view gives it.
    settled: bool = _checked(_flag)


#: Customer, contract weight, and slots wanted.
Want = tuple[ids.CustomerId, float, int]

#: Customer, endpoint, and number of slots.
Lot = tuple[ids.CustomerId, ids.EndpointId, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """Asks for loans, or for lent slots."""

    number: int = _checked(_count)
    wants: tuple[Want, ...] = _checked(_rows(_text, _weight, _count))

    #: Endpoints whose borrowed slots the sender wants back.
    recall: tuple[ids.EndpointId, ...] = _checked(_texts)

    #: True if the sender wants all its borrowed slots that are idle.
    reclaim: bool = _checked(_flag)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotGrant:
    """Lends slots in answer to the request ``number``, at once or later."""

    number: int = _checked(_count)
    lots: tuple[Lot, ...] = _checked(_rows(_text, _text, _count))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotReturn:
    """Gives borrowed slots back."""

    lots: tuple[Lot, ...] = _checked(_rows(_text, _text, _count))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """A submission, or a question about one, for the minter of its key."""

    number: int = _checked(_count)
    payload: bytes = _checked(_blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardReply:
    """The reply to the forward with this number."""

    number: int = _checked(_count)
    payload: bytes = _checked(_blob)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigAnnounce:
    """Tells that the sender has a newer version or listing."""

    version: int = _checked(_count)
    revision: int = _checked(_count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigFetch:
    """Asks for what is newer than this version and this listing."""

    version: int = _checked(_count)
    revision: int = _checked(_count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigChanges:
    """Newer changes and the newer listing, None where there are none."""

    changes: bytes | None = _checked(_blob_or_none)
    listing: bytes | None = _checked(_blob_or_none)


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
    free: int


#: The position is the type number on the wire; append only.
_TYPES: tuple[type, ...] = (
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
_NUMBERS = types.MappingProxyType(
    {kind: number for number, kind in enumerate(_TYPES)}
)
_FIELDS = types.MappingProxyType(
    {
        kind: tuple(
            (field.name, field.metadata['check'])
            for field in dataclasses.fields(kind)
        )
        for kind in _TYPES
    }
)


def encode(frame: Frame, *, free: int = 0) -> result.Result[bytes, str]:
    """Return the frame with its length prefix, or why it is too large."""
    kind = type(frame)
    fields = [getattr(frame, name) for name, _ in _FIELDS[kind]]
    body = msgpack.packb([_NUMBERS[kind], free, *fields])
    if len(body) > MAX_FRAME_BYTES:
        return result.Err(f'{kind.__name__} has {len(body)} bytes')
    return result.Ok(_LENGTH.pack(len(body)) + body)


def decode(body: bytes) -> result.Result[Envelope, str]:
    """Read one frame without its length prefix.

    Nesting is bounded by the field types, which allow three levels.
    """
    try:
        parts = msgpack.unpackb(
            body,
            use_list=False,
            max_array_len=MAX_ITEMS,
            max_map_len=0,
            max_ext_len=0,
        )
    except (ValueError, RecursionError) as exc:
        return result.Err(f'not msgpack: {type(exc).__name__}')
    if not isinstance(parts, tuple) or len(parts) < 2:
        return result.Err('not an array of type, free slots and fields')
    number, free, *fields = parts
    if not (_count(number) and number < len(_TYPES) and _count(free)):
        return result.Err('unknown frame type')
    return _build(_TYPES[number], free, tuple(fields))


def _build(
    kind: type, free: int, fields: tuple[Any, ...]
) -> result.Result[Envelope, str]:
    names = tuple(name for name, _ in _FIELDS[kind])
    checks = tuple(check for _, check in _FIELDS[kind])
    if not _matches(fields, checks):
        return result.Err(f'malformed fields of {kind.__name__}')
    return result.Ok(
        Envelope(frame=kind(**dict(zip(names, fields))), free=free)
    )


async def read(reader: asyncio.StreamReader) -> result.Result[Envelope, str]:
    """Wait for the next frame; Err if the stream ended or broke the rules."""
    try:
        prefix = await reader.readexactly(_LENGTH.size)
        size = _LENGTH.unpack(prefix)[0]
        if size > MAX_FRAME_BYTES:
            return result.Err(f'frame of {size} bytes is too large')
        return decode(await reader.readexactly(size))
    except asyncio.IncompleteReadError as exc:
        return result.Err('truncated' if exc.partial else CLOSED)
    except OSError as exc:
        return result.Err(f'stream failed: {exc.strerror}')
