"""Codec of typed messages as bounded msgpack frames.

A message is a frozen data class whose fields carry their checks. Its
position in the codec's tuple of classes is its type number on the wire.
"""

import asyncio
import dataclasses
import math
import struct
from typing import Any, Callable

import msgpack
import result

#: Largest frame without its length prefix, in bytes.
MAX_FRAME_BYTES = 8_388_608

#: Longest list inside a frame.
MAX_ITEMS = 100_000

#: Longest id or digest, in characters.
MAX_TEXT = 256

#: Largest count or number.
MAX_NUMBER = 2**53

#: Error of a stream that ended between two frames.
STREAM_CLOSED = 'closed'

_CHUNK_BYTES = 65_536

_LENGTH = struct.Struct('>I')

FieldCheck = Callable[[Any], bool]


def text(found: Any) -> bool:
    """Accept a short text."""
    return isinstance(found, str) and len(found) <= MAX_TEXT


def payload_text(found: Any) -> bool:
    """Accept a text of any length that fits into a frame."""
    return isinstance(found, str)


def count(found: Any) -> bool:
    """Accept a whole number of at least 0."""
    return (
        isinstance(found, int)
        and not isinstance(found, bool)
        and 0 <= found <= MAX_NUMBER
    )


def weight(found: Any) -> bool:
    """Accept a positive finite number."""
    return isinstance(found, float) and 0 < found < math.inf


def seconds(found: Any) -> bool:
    """Accept a finite number."""
    return isinstance(found, float) and -math.inf < found < math.inf


def flag(found: Any) -> bool:
    """Accept true or false."""
    return isinstance(found, bool)


def blob(found: Any) -> bool:
    """Accept bytes."""
    return isinstance(found, bytes)


def blob_or_none(found: Any) -> bool:
    """Accept bytes or None."""
    return found is None or isinstance(found, bytes)


def texts(found: Any) -> bool:
    """Accept a list of short texts."""
    return isinstance(found, tuple) and all(map(text, found))


def counts(found: Any) -> bool:
    """Accept a list of whole numbers."""
    return isinstance(found, tuple) and all(map(count, found))


def rows(*checks: FieldCheck) -> FieldCheck:
    """Return the check of a list of tuples with these columns."""

    def check_rows(found: Any) -> bool:  # noqa: WPS430
        return isinstance(found, tuple) and all(
            isinstance(row, tuple) and _matches(row, checks) for row in found
        )

    return check_rows


def checked_field(check: FieldCheck) -> Any:
    """Return a data class field with a check."""
    return dataclasses.field(metadata={'check': check})


def _matches(row: tuple[Any, ...], checks: tuple[FieldCheck, ...]) -> bool:
    return len(row) == len(checks) and all(
        check(cell) for check, cell in zip(checks, row)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A message and the number that rode on its frame."""

    message: Any
    header: int


class Codec:
    """Encodes and decodes messages of a fixed tuple of classes."""

    def __init__(self, *kinds: type) -> None:
        """Use the position of a class as its type number; append only."""
        self._kinds = kinds
        self._numbers = {kind: number for number, kind in enumerate(kinds)}
        self._names = {
            kind: tuple(field.name for field in dataclasses.fields(kind))
            for kind in kinds
        }
        self._checks = {
            kind: tuple(
                field.metadata['check'] for field in dataclasses.fields(kind)
            )
            for kind in kinds
        }

    def encode(self, message: Any, *, header: int) -> result.Result[bytes, str]:
        """Return a frame with its length prefix, or why it is too large."""
        kind = type(message)
        fields = [getattr(message, name) for name in self._names[kind]]
        body = msgpack.packb([self._numbers[kind], header, *fields])
        if len(body) > MAX_FRAME_BYTES:
            return result.Err(f'{kind.__name__} has {len(body)} bytes')
        return result.Ok(_LENGTH.pack(len(body)) + body)

    def decode(self, body: bytes) -> result.Result[Envelope, str]:
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
            return result.Err('not an array of type, header and fields')
        number, header = parts[:2]
        if not (count(number) and number < len(self._kinds) and count(header)):
            return result.Err('unknown frame type')
        kind = self._kinds[number]
        fields = parts[2:]
        if not _matches(fields, self._checks[kind]):
            return result.Err(f'malformed fields of {kind.__name__}')
        message = kind(**dict(zip(self._names[kind], fields)))
        return result.Ok(Envelope(message=message, header=header))


class FrameReader:
    """Reads the frames of one stream, as many as one chunk holds."""

    def __init__(self, *, codec: Codec, reader: asyncio.StreamReader) -> None:
        """Read from the start of a stream."""
        self._codec = codec
        self._reader = reader
        self._pending = bytearray()

    async def read(self) -> result.Result[Envelope, str]:
        """Wait for a message; Err if the stream ended or broke the rules."""
        while True:
            size = self._size()
            if size > MAX_FRAME_BYTES:
                return result.Err(f'frame of {size} bytes is too large')
            end = _LENGTH.size + size
            if len(self._pending) >= end:
                body = bytes(self._pending[_LENGTH.size : end])
                del self._pending[:end]
                return self._codec.decode(body)
            try:
                chunk = await self._reader.read(_CHUNK_BYTES)
            except OSError as exc:
                return result.Err(f'stream failed: {exc.strerror}')
            if not chunk:
                return result.Err(
                    'truncated' if self._pending else STREAM_CLOSED
                )
            self._pending += chunk

    def _size(self) -> int:
        """Return the size of the next frame, 0 if it is not known yet."""
        if len(self._pending) < _LENGTH.size:
            return 0
        return int(_LENGTH.unpack_from(self._pending)[0])
