"""Settings of the entry process, checked whole before a port opens."""

import ipaddress
import pathlib
from typing import Annotated

import pydantic
import result

from sardineproxy import json_text

#: Largest settings file, in bytes.
MAX_SETTINGS_BYTES = 65_536


def _check_ip_number(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError as exc:
        raise ValueError('expected an IP number, not a host name') from exc
    return text


IpNumber = Annotated[str, pydantic.AfterValidator(_check_ip_number)]
Port = Annotated[int, pydantic.Field(ge=0, le=65_535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400, allow_inf_nan=False)]
Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')]


class Address(pydantic.BaseModel):
    """An IP number and a port; port 0 lets the kernel choose."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True, frozen=True)

    host: IpNumber
    port: Port


class Settings(pydantic.BaseModel):
    """Settings of one entry process."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True, frozen=True)

    vm: Name
    zone: Name
    region: Name

    #: Callers' HTTP listener.
    callers: Address

    #: Health, metrics and state dump.
    admin: Address

    #: Streams from other entry processes.
    peers: Address

    #: The platform's HTTP address.
    platform: Address

    #: Relative size of this VM among the zone's entry VMs.
    size: Annotated[int, pydantic.Field(ge=1, le=1024)] = 1


def parse(text: str) -> result.Result[Settings, tuple[str, ...]]:
    """Check the text of a settings file; the errors are one sentence each."""
    parsed = json_text.parse_object(text, max_bytes=MAX_SETTINGS_BYTES)
    if isinstance(parsed, result.Err):
        return result.Err((parsed.err_value,))
    try:
        return result.Ok(Settings.model_validate(parsed.ok_value))
    except pydantic.ValidationError as exc:
        return result.Err(describe_errors(exc))


def describe_errors(exc: pydantic.ValidationError) -> tuple[str, ...]:
    """Return one sentence for each error: place, what was found, accepted."""
    return tuple(
        '{place}: {message} (found {found!r})'.format(
            place='.'.join(str(part) for part in error['loc']),
            message=error['msg'],
            found=error['input'],
        )
        for error in exc.errors()
    )


def load(path: pathlib.Path) -> result.Result[Settings, tuple[str, ...]]:
    """Read and check a settings file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return result.Err((f'cannot read settings {path}: {exc}',))
    return parse(text)
