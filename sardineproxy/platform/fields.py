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
    value = document.get(name, default)
    if not isinstance(value, str):
        raise FormatError(f'{name}: expected a string, found {value!r:.60}')
    return value


def get_number(
    document: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    """Return a field that must be a finite number of at least 0."""
    value = document.get(name, default)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not 0 <= value < float('inf'):
        raise FormatError(
            f'{name}: expected a number >= 0, found {value!r:.60}'
        )
    return value


def get_integer(
    document: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    """Return a field that must be an integer of at least 0."""
    value = get_number(document, name, default)
    if not isinstance(value, int):
        raise FormatError(f'{name}: expected an integer, found {value}')
    return value


def get_boolean(document: Mapping[str, Any], name: str) -> bool:
    """Return a field that must be a boolean; false if it is missing."""
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise FormatError(f'{name}: expected a boolean, found {value!r:.60}')
    return value


def get_object(document: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    """Return a field that must be a JSON object or a TOML table."""
    value = document.get(name)
    if not isinstance(value, dict):
        raise FormatError(f'{name}: expected an object, found {value!r:.60}')
    return value


def get_list(document: Mapping[str, Any], name: str) -> list[Any]:
    """Return a field that must be a list."""
    value = document.get(name)
    if not isinstance(value, list):
        raise FormatError(f'{name}: expected a list, found {value!r:.60}')
    return value


def parse_address(text: str) -> deployment.Address:
    """Decode ``host:port``."""
    host, colon, port = text.rpartition(':')
    if not colon or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise FormatError(f'expected host:port, found {text!r:.60}')
    return deployment.Address(host=host, port=int(port))
