"""Settings of the entry process, validated before a port opens."""

import ipaddress
import pathlib
from typing import Annotated, Any, Mapping, Self

import pydantic
import result

from sardineproxy import json_text

#: Maximum size of a settings file, in bytes.
MAX_SETTINGS_BYTES = 65_536

SECONDS_PER_DAY = 86_400
MAX_PORT = 65_535

#: Part of the shutdown limit reserved for closing connections, in seconds.
CLOSE_TIMEOUT_S = 2

#: Minimum time between the notice and the limit of a shutdown, in seconds.
MIN_SHUTDOWN_S = 3


def _check_ip_address(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError as exc:
        raise ValueError('expected an IP address, not a host name') from exc
    return text


IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip_address)]
Port = Annotated[int, pydantic.Field(ge=0, le=MAX_PORT)]
Seconds = Annotated[
    float, pydantic.Field(gt=0, le=SECONDS_PER_DAY, allow_inf_nan=False)
]
Name = Annotated[str, pydantic.Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class Section(pydantic.BaseModel):
    """Section of the settings; unknown keys and wrong types are rejected."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True, frozen=True)


class Address(Section):
    """An IP address and a port; port 0 lets the kernel choose."""

    host: IpAddress
    port: Port


class Seed(Section):
    """An entry VM to contact while the platform's list is unavailable."""

    vm: Name
    zone: Name
    region: Name

    #: Address of its peer listener.
    address: Address


class Shutdown(Section):
    """Timing of a graceful shutdown."""

    #: Seconds between the failing readiness check and the refusal of new work.
    #: The load balancer has to see the check fail within this time.
    notice_s: Seconds = 5

    #: Seconds after which the process exits even if work is in progress.
    limit_s: Seconds = 150

    @pydantic.model_validator(mode='after')
    def check_order(self) -> Self:
        """Reject a limit that is too short to finish work and to close."""
        if self.limit_s < self.notice_s + MIN_SHUTDOWN_S:
            raise ValueError(
                f'limit_s must exceed notice_s by at least {MIN_SHUTDOWN_S} s'
            )
        return self


class Peering(Section):
    """Streams between entry processes."""

    heartbeat_s: Seconds = 4
    silent_s: Seconds = 10
    takeover_grace_s: Seconds = 5

    #: Number of streams to every other availability zone.
    cross_zone_peers: Annotated[int, pydantic.Field(ge=0, le=64)] = 2

    @pydantic.model_validator(mode='after')
    def check_order(self) -> Self:
        """Reject a timeout that a single late heartbeat would exceed."""
        if self.silent_s < 2 * self.heartbeat_s:
            raise ValueError('silent_s must be at least twice heartbeat_s')
        return self


class Retention(Section):
    """Retention of keys and records."""

    key_ttl_s: Seconds = 900
    record_ttl_s: Seconds = 900
    max_records: Annotated[int, pydantic.Field(ge=1, le=10_000_000)] = 200_000

    @pydantic.model_validator(mode='after')
    def check_order(self) -> Self:
        """Reject records that expire before their keys.

        A request repeated with the same key could then run twice.
        """
        if self.record_ttl_s < self.key_ttl_s:
            raise ValueError('record_ttl_s must be at least key_ttl_s')
        return self


class Limits(Section):
    """Resources of the machine that the process may use."""

    #: Memory, in units of 1,000,000 bytes; None for an unknown size.
    memory_mb: Annotated[int, pydantic.Field(ge=64)] | None = None

    #: Number of open file descriptors; None for an unknown number.
    max_fds: Annotated[int, pydantic.Field(ge=256)] | None = None


class Settings(Section):
    """Settings of one entry process."""

    vm: Name
    zone: Name
    region: Name

    #: HTTP listener for callers.
    callers: Address

    #: HTTP listener for liveness, readiness, metrics and state dump.
    admin: Address

    #: Listener for streams of other entry processes.
    peers: Address

    #: Address of the platform's HTTP server.
    platform: Address

    #: Relative size of this VM among the zone's entry VMs.
    size: Annotated[int, pydantic.Field(ge=1, le=1024)] = 1

    #: Other entry VMs to contact at start while the platform is unavailable.
    seeds: Annotated[tuple[Seed, ...], pydantic.Field(max_length=64)] = ()

    shutdown: Shutdown = Shutdown()
    peering: Peering = Peering()
    retention: Retention = Retention()
    limits: Limits = Limits()

    @pydantic.field_validator('seeds', mode='before')
    @classmethod
    def accept_list(cls, seeds: object) -> object:
        """Accept a JSON array as the tuple of seeds."""
        return tuple(seeds) if isinstance(seeds, list) else seeds

    @pydantic.model_validator(mode='after')
    def check_ports(self) -> Self:
        """Reject two listeners on the same port."""
        listeners = [self.callers, self.admin, self.peers]
        fixed_addresses = [
            (address.host, address.port)
            for address in listeners
            if address.port
        ]
        if len(set(fixed_addresses)) < len(fixed_addresses):
            raise ValueError('callers, admin and peers must differ in port')
        return self


def parse(text: str) -> result.Result[Settings, tuple[str, ...]]:
    """Parse and validate the text of a settings file.

    Every error is one sentence.
    """
    parsed = json_text.parse_object(text, max_bytes=MAX_SETTINGS_BYTES)
    if isinstance(parsed, result.Err):
        return result.Err((parsed.err_value,))
    try:
        return result.Ok(Settings.model_validate(parsed.ok_value))
    except pydantic.ValidationError as exc:
        return result.Err(describe_errors(exc))


def describe_errors(exc: pydantic.ValidationError) -> tuple[str, ...]:
    """Return one sentence per error: location, expectation, actual value."""
    return tuple(
        _describe_error('.'.join(map(str, error['loc'])), error)
        for error in exc.errors()
    )


def _describe_error(location: str, error: Mapping[str, Any]) -> str:
    if error['type'] == 'missing':
        return f'{location}: this key is required.'
    message = _simplify_message(error['msg'])
    received_value = error['input']
    return f'{location or "settings"}: {message}, found {received_value!r}.'


def _simplify_message(message: str) -> str:
    if message == 'Extra inputs are not permitted':
        return 'unknown key'
    return message.removeprefix('Value error, ')


def load(path: pathlib.Path) -> result.Result[Settings, tuple[str, ...]]:
    """Read and validate a settings file; every error is one sentence."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return result.Err((f'cannot read settings {path}: {exc}',))
    return parse(text)
