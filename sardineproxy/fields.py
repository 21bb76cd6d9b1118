"""Checked access to the fields of decoded JSON and TOML documents.

Each field has a range, so that whatever passes can be calculated with, sent in
a message between entry VMs, logged and written into a URL.
"""

import ipaddress
import reprlib
from typing import Any, Mapping

from sardineproxy import deployment

MAX_PORT = 65_535

#: Longest string of a field, in characters, unless its reader permits more.
#: Messages between entry VMs carry text up to this length.
MAX_TEXT_CHARS = 256

#: Largest number of a field, unless its reader permits less. Messages between
#: entry VMs carry integers up to this one, and a float represents them all.
MAX_NUMBER = 2**53

_MAX_PORT_DIGITS = 5


class FormatError(ValueError):
    """A document does not have the expected format."""


def get_string(
    document: Mapping[str, Any],
    name: str,
    default: str | None = None,
    *,
    max_chars: int = MAX_TEXT_CHARS,
) -> str:
    """Return a field that must be a string of at most ``max_chars``."""
    value = document.get(name, default)
    if not isinstance(value, str) or len(value) > max_chars:
        raise FormatError(
            f'{name}: expected a string of at most {max_chars} characters, '
            f'found {describe(value)}'
        )
    return value


def get_number(
    document: Mapping[str, Any],
    name: str,
    default: float | None = None,
    *,
    maximum: float = MAX_NUMBER,
) -> float:
    """Return a field that must be a number from 0 to ``maximum``."""
    value = document.get(name, default)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= maximum:
        raise FormatError(
            f'{name}: expected a number from 0 to {maximum}, '
            f'found {describe(value)}'
        )
    return value


def get_integer(
    document: Mapping[str, Any],
    name: str,
    default: int | None = None,
    *,
    maximum: int = MAX_NUMBER,
) -> int:
    """Return a field that must be an integer from 0 to ``maximum``."""
    value = document.get(name, default)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 <= value <= maximum:
        raise FormatError(
            f'{name}: expected an integer from 0 to {maximum}, '
            f'found {describe(value)}'
        )
    return value


def get_boolean(document: Mapping[str, Any], name: str) -> bool:
    """Return a field that must be a boolean; false if it is missing."""
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise FormatError(
            f'{name}: expected a boolean, found {describe(value)}'
        )
    return value


def get_object(document: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    """Return a field that must be a JSON object or a TOML table."""
    value = document.get(name)
    if not isinstance(value, dict):
        raise FormatError(
            f'{name}: expected an object, found {describe(value)}'
        )
    return value


def get_list(
    document: Mapping[str, Any], name: str, *, max_items: int | None = None
) -> list[Any]:
    """Return a field that must be a list of at most ``max_items``.

    Without ``max_items`` only the size of the document limits the list.
    """
    value = document.get(name)
    if not isinstance(value, list):
        raise FormatError(f'{name}: expected a list, found {describe(value)}')
    if max_items is not None and len(value) > max_items:
        raise FormatError(
            f'{name}: expected at most {max_items} items, found {len(value)}'
        )
    return value


def get_choice(
    document: Mapping[str, Any], name: str, choices: Mapping[str, Any]
) -> Any:
    """Return the entry of ``choices`` that a string field names."""
    value = document.get(name)
    if not isinstance(value, str) or value not in choices:
        raise FormatError(
            f'{name}: expected one of {", ".join(choices)}, '
            f'found {describe(value)}'
        )
    return choices[value]


def parse_address(text: str) -> deployment.Address:
    """Decode ``host:port`` with an IPv4 address that can be connected to."""
    host, _, port = text.rpartition(':')
    return make_address(host, _parse_port(port), text)


def make_address(host: str, port: int, text: str) -> deployment.Address:
    """Return a checked address; ``text`` describes it in the error."""
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        ip = None
    is_host = ip is not None and not (ip.is_unspecified or ip.is_multicast)
    if not is_host or not 0 < port <= MAX_PORT:
        raise FormatError(
            f'expected an IPv4 address and a port from 1 to {MAX_PORT}, '
            f'found {describe(text)}'
        )
    return deployment.Address(host=host, port=port)


def describe(value: object) -> str:
    """Return a short representation of any value, for error texts."""
    return reprlib.repr(value)


def _parse_port(text: str) -> int:
    """Return the number, 0 if the text is not a number of a port's length."""
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > _MAX_PORT_DIGITS:
        return 0
    return int(text)
