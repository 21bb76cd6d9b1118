"""Type-checked access to the fields of decoded JSON and TOML documents."""

from typing import Any, Mapping

from sardineproxy import deployment

MAX_PORT = 65_535


class FormatError(ValueError):
    """A document does not have the expected format."""


def get_string(
    document: Mapping[str, Any], name: str, default: str | None = None
) -> str:
    """Return a field that must be a string."""
    found = document.get(name, default)
    if not isinstance(found, str):
        raise FormatError(f'{name}: expected a string, found {found!r:.60}')
    return found


def get_number(
    document: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    """Return a field that must be a finite number of at least 0."""
    found = document.get(name, default)
    is_number = isinstance(found, (int, float)) and not isinstance(found, bool)
    if not is_number or not 0 <= found < float('inf'):
        raise FormatError(f'{name}: expected a number, found {found!r:.60}')
    return found


def get_integer(
    document: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    """Return a field that must be an integer of at least 0."""
    found = get_number(document, name, default)
    if not isinstance(found, int):
        raise FormatError(f'{name}: expected an integer, found {found}')
    return found


def get_boolean(document: Mapping[str, Any], name: str) -> bool:
    """Return a field that must be a boolean; false if it is missing."""
    found = document.get(name, False)
    if not isinstance(found, bool):
        raise FormatError(f'{name}: expected a boolean, found {found!r:.60}')
    return found


def get_object(document: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    """Return a field that must be a JSON object or a TOML table."""
    found = document.get(name)
    if not isinstance(found, dict):
        raise FormatError(f'{name}: expected an object, found {found!r:.60}')
    return found


def get_list(document: Mapping[str, Any], name: str) -> list[Any]:
    """Return a field that must be a list."""
    found = document.get(name)
    if not isinstance(found, list):
        raise FormatError(f'{name}: expected a list, found {found!r:.60}')
    return found


def parse_address(text: str) -> deployment.Address:
    """Decode ``host:port``."""
    host, colon, port = text.rpartition(':')
    if not colon or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise FormatError(f'expected host:port, found {text!r:.60}')
    return deployment.Address(host=host, port=int(port))
