"""Encodes typed messages as msgpack frames of bounded size.

A message is a frozen data class whose field metadata holds a check for each
field. The position of a class in the codec's arguments is its type number on
the wire.
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

#: Largest first frame of a stream, in bytes: a few ids and numbers, of up to
#: ``MAX_TEXT_CHARS`` characters each.
MAX_FIRST_FRAME_BYTES = 4096

#: Accepted streams whose first frame has not arrived; further ones are closed
#: at once. More than the 97 entry VMs in use, which may all connect at once.
MAX_UNIDENTIFIED = 128

#: Largest number of elements of a list inside a frame.
MAX_LIST_ITEMS = 100_000

#: Longest id or digest, in characters.
MAX_TEXT_CHARS = 256

#: Largest integer inside a frame.
MAX_NUMBER = 2**53

#: Error of a stream that was closed between two frames.
STREAM_CLOSED = 'closed'

_CHUNK_BYTES = 65_536

_LENGTH_PREFIX = struct.Struct('>I')

FieldCheck = Callable[[Any], bool]


def text(value: Any) -> bool:
    """Accept a string of up to ``MAX_TEXT_CHARS`` characters."""
    return isinstance(value, str) and len(value) <= MAX_TEXT_CHARS


def payload_text(value: Any) -> bool:
    """Accept a string of any length that fits into a frame."""
    return isinstance(value, str)


def count(value: Any) -> bool:
    """Accept an integer from 0 to ``MAX_NUMBER``."""
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 <= value <= MAX_NUMBER
    )


def positive_number(value: Any) -> bool:
    """Accept a positive finite float."""
    return isinstance(value, float) and 0 < value < math.inf


def finite_number(value: Any) -> bool:
    """Accept a finite float."""
    return isinstance(value, float) and -math.inf < value < math.inf


def flag(value: Any) -> bool:
    """Accept a boolean."""
    return isinstance(value, bool)


def blob(value: Any) -> bool:
    """Accept bytes."""
    return isinstance(value, bytes)


def blob_or_none(value: Any) -> bool:
    """Accept bytes or None."""
    return value is None or isinstance(value, bytes)


def texts(value: Any) -> bool:
    """Accept a tuple of short strings."""
    return isinstance(value, tuple) and all(map(text, value))


def counts(value: Any) -> bool:
    """Accept a tuple of counts."""
    return isinstance(value, tuple) and all(map(count, value))


def rows(*checks: FieldCheck) -> FieldCheck:
    """Return a check that accepts a tuple of rows with these columns."""

    def check_rows(value: Any) -> bool:  # noqa: WPS430
        return isinstance(value, tuple) and all(
            isinstance(row, tuple) and _matches(row, checks) for row in value
        )

    return check_rows


def fixed_row(*checks: FieldCheck) -> FieldCheck:
    """Return a check that accepts a tuple with these columns."""

    def check_row(value: Any) -> bool:  # noqa: WPS430
        return isinstance(value, tuple) and _matches(value, checks)

    return check_row


def checked_field(
    check: FieldCheck, *, default: Any = dataclasses.MISSING
) -> Any:
    """Return a data class field that is validated by ``check`` on decoding.

    Only the last fields of a class may have a default. It is used for frames
    of older processes, which end before these fields.
    """
    return dataclasses.field(default=default, metadata={'check': check})


def _matches(row: tuple[Any, ...], checks: tuple[FieldCheck, ...]) -> bool:
    if len(row) != len(checks):
        return False
    for check, value in zip(checks, row):
        if not check(value):
            return False
    return True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A message and the number in the header of its frame."""

    message: Any
    header: int


class Codec:
    """Encodes and decodes messages of a fixed tuple of classes."""

    def __init__(self, *kinds: type) -> None:
        """Use the position of a class as its type number; only append."""
        self._kinds = kinds
        self._type_numbers = {kind: number for number, kind in enumerate(kinds)}
        self._field_names = {
            kind: tuple(field.name for field in dataclasses.fields(kind))
            for kind in kinds
        }
        self._defaults = {
            kind: tuple(field.default for field in dataclasses.fields(kind))
            for kind in kinds
        }
        self._checks = {
            kind: tuple(
                field.metadata['check'] for field in dataclasses.fields(kind)
            )
            for kind in kinds
        }
        self._defaults = {
            kind: tuple(field.default for field in dataclasses.fields(kind))
            for kind in kinds
        }

    def encode(self, message: Any, *, header: int) -> result.Result[bytes, str]:
        """Return a frame with its length prefix, Err if it cannot be sent."""
        kind = type(message)
        fields = [getattr(message, name) for name in self._field_names[kind]]
        try:
            body = msgpack.packb([self._type_numbers[kind], header, *fields])
        except (ValueError, OverflowError) as exc:
            return result.Err(f'{kind.__name__} cannot be encoded: {exc}')
        if len(body) > MAX_FRAME_BYTES:
            return result.Err(
                f'{kind.__name__} frame of {len(body)} bytes is too large; '
                f'the limit is {MAX_FRAME_BYTES}'
            )
        return result.Ok(_LENGTH_PREFIX.pack(len(body)) + body)

    def decode(self, body: bytes) -> result.Result[Envelope, str]:
        """Decode and validate one frame without its length prefix.

        The field checks bound the nesting to four levels.
        """
        try:
            unpacked = msgpack.unpackb(
                body,
                use_list=False,
                max_array_len=MAX_LIST_ITEMS,
                max_map_len=0,
                max_ext_len=0,
            )
        except (ValueError, RecursionError) as exc:
            return result.Err(f'not msgpack: {type(exc).__name__}')
        if not isinstance(unpacked, tuple) or len(unpacked) < 2:
            return result.Err('not an array of type, header and fields')
        number, header = unpacked[:2]
        if not (count(number) and number < len(self._kinds) and count(header)):
            return result.Err('unknown frame type or malformed header')
        kind = self._kinds[number]
        # Fields without a default are missing, which no check accepts.
        fields = unpacked[2:] + self._defaults[kind][len(unpacked) - 2 :]
        if not _matches(fields, self._checks[kind]):
            return result.Err(f'malformed fields of {kind.__name__}')
        message = kind(**dict(zip(self._field_names[kind], fields)))
        return result.Ok(Envelope(message=message, header=header))


class FrameReader:
    """Reads frames from a stream; one chunk may hold several."""

    def __init__(self, *, codec: Codec, reader: asyncio.StreamReader) -> None:
        """Read from ``reader``, which is at the start of a frame."""
        self._codec = codec
        self._reader = reader
        self._buffer = bytearray()

        #: Largest frame that is accepted, in bytes. A stream begins with a
        #: small frame, before which nothing is known about the sender.
        self._max_frame_bytes = MAX_FIRST_FRAME_BYTES

    async def read(self) -> result.Result[Envelope, str]:
        """Wait for a message; Err if the stream ended or is malformed."""
        while True:
            size = self._next_frame_size()
            if size > self._max_frame_bytes:
                return result.Err(
                    f'frame of {size} bytes is too large; '
                    f'the limit is {self._max_frame_bytes}'
                )
            end = _LENGTH_PREFIX.size + size
            if len(self._buffer) >= end:
                body = bytes(self._buffer[_LENGTH_PREFIX.size : end])
                del self._buffer[:end]
                self._max_frame_bytes = MAX_FRAME_BYTES
                return self._codec.decode(body)
            try:
                chunk = await self._reader.read(_CHUNK_BYTES)
            except OSError as exc:
                return result.Err(f'stream failed: {exc.strerror}')
            if not chunk:
                return result.Err(
                    'truncated' if self._buffer else STREAM_CLOSED
                )
            self._buffer += chunk

    def _next_frame_size(self) -> int:
        """Return the size of the next frame, 0 before its length arrived."""
        if len(self._buffer) < _LENGTH_PREFIX.size:
            return 0
        return int(_LENGTH_PREFIX.unpack_from(self._buffer)[0])
