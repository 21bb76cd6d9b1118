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
CLOSED = 'closed'

_LENGTH = struct.Struct('>I')

Check = Callable[[Any], bool]


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


def rows(*checks: Check) -> Check:
    """Return the check of a list of tuples with these columns."""

    def check_rows(found: Any) -> bool:  # noqa: WPS430
        return isinstance(found, tuple) and all(
            isinstance(row, tuple) and _matches(row, checks) for row in found
        )

    return check_rows


def checked(check: Check) -> Any:
    """Return a data class field with a check."""
    return dataclasses.field(metadata={'check': check})


def _matches(row: tuple[Any, ...], checks: tuple[Check, ...]) -> bool:
    return len(row) == len(checks) and all(
        check(cell) for check, cell in zip(checks, row)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A message and the number that rode on its frame."""

    message: Any
    note: int


class Codec:
    """Encodes and decodes messages of a fixed tuple of classes."""

    def __init__(self, *kinds: type) -> None:
        """Use the position of a class as its type number; append only."""
        self._kinds = kinds
        self._numbers = {kind: number for number, kind in enumerate(kinds)}
        self._fields = {
            kind: tuple(
                (field.name, field.metadata['check'])
                for field in dataclasses.fields(kind)
            )
            for kind in kinds
        }

    def encode(self, message: Any, *, note: int) -> result.Result[bytes, str]:
        """Return a frame with its length prefix, or why it is too large."""
        kind = type(message)
        fields = [getattr(message, name) for name, _ in self._fields[kind]]
        body = msgpack.packb([self._numbers[kind], note, *fields])
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
            return result.Err('not an array of type, note and fields')
        number, note, *fields = parts
        if not (count(number) and number < len(self._kinds) and count(note)):
            return result.Err('unknown frame type')
        return self._build(self._kinds[number], note, tuple(fields))

    async def read(
        self, reader: asyncio.StreamReader
    ) -> result.Result[Envelope, str]:
        """Wait for a message; Err if the stream ended or broke the rules."""
        try:
            prefix = await reader.readexactly(_LENGTH.size)
            size = _LENGTH.unpack(prefix)[0]
            if size > MAX_FRAME_BYTES:
                return result.Err(f'frame of {size} bytes is too large')
            return self.decode(await reader.readexactly(size))
        except asyncio.IncompleteReadError as exc:
            return result.Err('truncated' if exc.partial else CLOSED)
        except OSError as exc:
            return result.Err(f'stream failed: {exc.strerror}')

    def _build(
        self, kind: type, note: int, fields: tuple[Any, ...]
    ) -> result.Result[Envelope, str]:
        names = tuple(name for name, _ in self._fields[kind])
        checks = tuple(check for _, check in self._fields[kind])
        if not _matches(fields, checks):
            return result.Err(f'malformed fields of {kind.__name__}')
        return result.Ok(
            Envelope(message=kind(**dict(zip(names, fields))), note=note)
        )
