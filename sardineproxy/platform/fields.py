"""Checked access to the fields of decoded documents."""

from typing import Any, Mapping

from sardineproxy import deployment

MAX_PORT = 65_535


class FormatError(ValueError):
    """A document of the platform is not of the expected form."""


def get_string(
    document: Mapping[str, Any], name: str, default: str | None = None
) -> str:
    """Return a field that must be a text."""
    found = document.get(name, default)
    if not isinstance(found, str):
        raise FormatError(f'{name}: expected a text, found {found!r:.60}')
    return found


def get_number(
    document: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    """Return a field that must be a number of at least 0."""
    found = document.get(name, default)
    is_number = isinstance(found, (int, float)) and not isinstance(found, bool)
    if not is_number or not 0 <= found < float('inf'):
        raise FormatError(f'{name}: expected a number, found {found!r:.60}')
    return found


def get_integer(
    document: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    """Return a field that must be a whole number of at least 0."""
    found = get_number(document, name, default)
    if not isinstance(found, int):
        raise FormatError(f'{name}: expected a whole number, found {found}')
    return found


def get_boolean(document: Mapping[str, Any], name: str) -> bool:
    """Return a field that must be true or false; false if it is missing."""
    found = document.get(name, False)
    if not isinstance(found, bool):
        raise FormatError(f'{name}: expected a boolean, found {found!r:.60}')
    return found


def get_object(document: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    """Return a field that must be a table."""
    found = document.get(name)
    if not isinstance(found, dict):
        raise FormatError(f'{name}: expected a table, found {found!r:.60}')
    return found


def get_list(document: Mapping[str, Any], name: str) -> list[Any]:
    """Return a field that must be a list."""
    found = document.get(name)
    if not isinstance(found, list):
        raise FormatError(f'{name}: expected a list, found {found!r:.60}')
    return found


def parse_address(found: str) -> deployment.Address:
    """Decode ``host:port``."""
    host, colon, port = found.rpartition(':')
    if not colon or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise FormatError(f'expected host:port, found {found!r:.60}')
    return deployment.Address(host=host, port=int(port))
