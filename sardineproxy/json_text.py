"""Bounded parser of JSON with comments, for files and requests."""

import json
import re
from typing import Any

import jsonc
import result

#: Deepest nesting of arrays and objects that is accepted.
MAX_DEPTH = 16

_STRING = r'("(?:\\.|[^"\\])*")'
_COMMENT = re.compile(rf'{_STRING}|//[^\r\n]*|/\*.*?\*/', re.DOTALL)
_TRAILING_COMMA = re.compile(rf'{_STRING}|,(?=\s*[\]}}])', re.DOTALL)

Document = dict[str, Any]


def parse_object(
    text: str, *, max_bytes: int, comments: bool = True
) -> result.Result[Document, str]:
    """Parse one JSON object, with comments unless ``comments`` is False.

    Refuses duplicate keys, NaN, infinities, deep nesting and texts of more
    than ``max_bytes``. The error is one sentence that names the place.
    """
    size = len(text.encode())
    if size > max_bytes:
        return result.Err(f'text has {size} bytes, at most {max_bytes} allowed')
    load = jsonc.loads if comments else json.loads
    try:
        parsed = load(
            blank_comments(text) if comments else text,
            object_pairs_hook=_without_duplicates,
            parse_constant=_refuse_constant,
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
    """Replace comments by spaces.

    ``jsonc`` removes them with their line ends, so its errors would name
    another line than the one in the file.
    """
    without = _COMMENT.sub(_blank, text)
    return _TRAILING_COMMA.sub(_blank, without)


def _blank(match: re.Match[str]) -> str:
    return match.group(1) or re.sub(r'[^\r\n]', ' ', match.group())


def _is_too_deep(document: Any) -> bool:
    """Tell whether arrays and objects nest deeper than ``MAX_DEPTH``."""
    level = [document]
    for _ in range(MAX_DEPTH):
        level = [inner for outer in level for inner in _members(outer)]
    return any(isinstance(member, (dict, list)) for member in level)


def _members(outer: Any) -> list[Any]:
    if isinstance(outer, dict):
        return list(outer.values())
    return outer if isinstance(outer, list) else []


def _without_duplicates(pairs: list[tuple[str, Any]]) -> Document:
    document: Document = {}
    for key, member in pairs:
        if key in document:
            raise ValueError(f'key "{key}" occurs twice')
        document[key] = member
    return document


def _refuse_constant(name: str) -> None:
    raise ValueError(f'{name} is not a JSON number')
