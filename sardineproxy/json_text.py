"""Bounded decoders of JSON, for documents from outside and for files."""

import json
import re
from typing import Any

import jsonc
import orjson
import result

#: Deepest nesting of arrays and objects that is accepted.
MAX_DEPTH = 16

_STRING = r'("(?:\\.|[^"\\])*")'
_COMMENT = re.compile(rf'{_STRING}|//[^\r\n]*|/\*.*?\*/', re.DOTALL)
_TRAILING_COMMA = re.compile(rf'{_STRING}|,(?=\s*[\]}}])', re.DOTALL)

Document = dict[str, Any]


def decode_object(
    body: bytes, *, max_bytes: int
) -> result.Result[Document, str]:
    """Decode one JSON object of another system; never raises.

    Rejects bodies of more than ``max_bytes``, deep nesting, NaN, infinities and
    text that cannot be encoded again. Integers of more than 64 bits become
    floats. The error is one sentence.
    """
    if len(body) > max_bytes:
        return result.Err(
            f'document has {len(body)} bytes, at most {max_bytes} allowed'
        )
    try:
        document = orjson.loads(body)
    except ValueError as exc:
        return result.Err(f'not valid JSON: {exc}')
    if not isinstance(document, dict):
        return result.Err(
            f'expected a JSON object, found {type(document).__name__}'
        )
    # Few brackets cannot nest deeply, which saves most documents the check.
    bracket_count = body.count(b'[') + body.count(b'{')
    if bracket_count > MAX_DEPTH and _is_too_deep(document):
        return result.Err(f'nesting is deeper than {MAX_DEPTH} levels')
    return result.Ok(document)


def encode(document: Any) -> bytes:
    """Encode a document for another system."""
    return orjson.dumps(document)


def parse_object(
    text: str, *, max_bytes: int, comments: bool = True
) -> result.Result[Document, str]:
    """Parse one JSON object, with comments unless ``comments`` is False.

    Rejects duplicate keys, NaN, infinities, deep nesting and texts of more
    than ``max_bytes``. The error is one sentence; that of invalid syntax states
    the line and column.
    """
    size = len(text.encode())
    if size > max_bytes:
        return result.Err(f'text has {size} bytes, at most {max_bytes} allowed')
    load = jsonc.loads if comments else json.loads
    try:
        parsed = load(
            blank_comments(text) if comments else text,
            object_pairs_hook=_reject_duplicates,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as exc:
        return result.Err(f'not valid JSON: {exc}')
    if not isinstance(parsed, dict):
        return result.Err(
            f'expected a JSON object, found {type(parsed).__name__}'
        )
    if _is_too_deep(parsed):
        return result.Err(f'nesting is deeper than {MAX_DEPTH} levels')
    return result.Ok(parsed)


def blank_comments(text: str) -> str:
    """Replace comments and trailing commas by spaces.

    ``jsonc`` removes comments with their line ends, so its errors would state
    other line numbers than those of the file.
    """
    without_comments = _COMMENT.sub(_blank, text)
    return _TRAILING_COMMA.sub(_blank, without_comments)


def _blank(match: re.Match[str]) -> str:
    return match.group(1) or re.sub(r'[^\r\n]', ' ', match.group())


def _is_too_deep(document: Any) -> bool:
    """Return whether arrays and objects nest deeper than ``MAX_DEPTH``."""
    level = [document]
    for _ in range(MAX_DEPTH):
        level = [inner for outer in level for inner in _list_elements(outer)]
    return any(isinstance(element, (dict, list)) for element in level)


def _list_elements(outer: Any) -> list[Any]:
    if isinstance(outer, dict):
        return list(outer.values())
    return outer if isinstance(outer, list) else []


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> Document:
    document: Document = {}
    for key, element in pairs:
        if key in document:
            raise ValueError(f'key "{key}" occurs twice')
        document[key] = element
    return document


def _reject_constant(name: str) -> None:
    raise ValueError(f'{name} is not a JSON number')
