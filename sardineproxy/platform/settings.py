"""Decodes the settings file that the platform writes (TOML)."""

import pathlib
import tomllib
from typing import Any, Mapping

import result

from sardineproxy import deployment, fields, ids

#: Environment variable with the path of the settings file.
PATH_ENV_VARIABLE = 'SARDINEPROXY_CONFIG'

MAX_SETTINGS_BYTES = 262_144

#: Default of ``bounds.status_s``, in seconds.
DEFAULT_STATUS_RETENTION_S = 120

#: Defaults of ``limits.memory_mb`` and ``limits.max_fds``: the smallest values
#: in use (docs/design/hard-load.md).
DEFAULT_MEMORY_MB = 160
DEFAULT_MAX_FDS = 1638

#: Default of ``bounds.drain_ms``: the smallest bound that a platform sets.
DEFAULT_DRAIN_MS = 2000

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


def load(path: pathlib.Path) -> result.Result[deployment.Deployment, str]:
    """Read and decode the settings file; the error is one sentence."""
    body = read(path)
    return body if isinstance(body, result.Err) else decode(body.ok_value)


def read(path: pathlib.Path) -> result.Result[bytes, str]:
    """Read the settings file; the error is one sentence."""
    try:
        body = path.read_bytes()
    except OSError as exc:
        return result.Err(f'cannot read settings file {path}: {exc.strerror}')
    if len(body) > MAX_SETTINGS_BYTES:
        return result.Err(
            f'settings file {path} has {len(body)} bytes, at most '
            f'{MAX_SETTINGS_BYTES} are accepted'
        )
    return result.Ok(body)


def decode(body: bytes) -> result.Result[deployment.Deployment, str]:
    """Decode the contents of a settings file; unknown fields are ignored."""
    try:
        document = tomllib.loads(body.decode())
    except (ValueError, RecursionError) as exc:
        return result.Err(f'settings file is not valid TOML: {exc}')
    try:
        return result.Ok(_to_deployment(document))
    except fields.FormatError as exc:
        return result.Err(f'settings: {exc}')


def _to_deployment(document: Mapping[str, Any]) -> deployment.Deployment:
    listeners = fields.get_object(document, 'listen_addrs')
    limits = fields.get_object(document, 'limits')
    store = fields.get_object(document, 'platform')
    ready = fields.parse_address(fields.get_string(listeners, 'ready'))
    return deployment.Deployment(
        vm=ids.VmId(fields.get_string(document, 'node')),
        zone=ids.ZoneId(fields.get_string(document, 'zone')),
        zones=tuple(map(ids.ZoneId, fields.get_object(document, 'zones'))),
        front=fields.parse_address(fields.get_string(listeners, 'front')),
        ready=ready,
        peers=_decode_peer_listener(document, listeners, ready.host),
        seeds=_decode_seeds(document),
        store=fields.parse_address(fields.get_string(store, 'address')),
        bounds=_decode_bounds(fields.get_object(document, 'bounds')),
        # ``cpu_share`` is a share of one core, which is ``cores`` times as
        # fast as a standard core.
        cores=fields.get_number(limits, 'cpu_share')
        * fields.get_number(limits, 'cores'),
        memory_bytes=fields.get_integer(limits, 'memory_mb', DEFAULT_MEMORY_MB)
        * _BYTES_PER_MB,
        max_fds=fields.get_integer(limits, 'max_fds', DEFAULT_MAX_FDS),
    )


def _decode_peer_listener(
    document: Mapping[str, Any], listeners: Mapping[str, Any], host: str
) -> deployment.Address:
    """Return the address of the listener for other entry VMs.

    The control listener if this VM has one: the seeds are control listeners.
    """
    if 'control' in listeners:
        return fields.parse_address(fields.get_string(listeners, 'control'))
    ports = fields.get_list(document, 'port_range')
    if not ports or not isinstance(ports[0], int):
        raise fields.FormatError(
            f'port_range: expected two ports, found {fields.describe(ports)}'
        )
    return fields.make_address(host, ports[0], f'port_range {ports}')


def _decode_seeds(
    document: Mapping[str, Any],
) -> tuple[deployment.Address, ...]:
    seeds = document.get('seeds', [])
    if not isinstance(seeds, list):
        raise fields.FormatError(
            f'seeds: expected a list, found {fields.describe(seeds)}'
        )
    return tuple(fields.parse_address(str(seed)) for seed in seeds)


def _decode_bounds(document: Mapping[str, Any]) -> deployment.Bounds:
    return deployment.Bounds(
        lease_s=fields.get_number(document, 'max_hold_ms') / _MS_PER_S,
        stop_timeout_s=fields.get_number(document, 'stop_timeout_ms')
        / _MS_PER_S,
        shutdown_grace_s=fields.get_number(document, 'grace_s'),
        config_apply_s=fields.get_number(document, 'config_apply_ms')
        / _MS_PER_S,
        status_retention_s=fields.get_number(
            document, 'status_s', DEFAULT_STATUS_RETENTION_S
        ),
        distance_factor=fields.get_number(document, 'remote_factor', 1),
        drain_s=fields.get_number(document, 'drain_ms', DEFAULT_DRAIN_MS)
        / _MS_PER_S,
        evacuate_s=_get_seconds(document, 'evacuate_ms'),
        cold_overage=max(1, fields.get_number(document, 'cold_overage', 1)),
    )


def _get_seconds(document: Mapping[str, Any], name: str) -> float | None:
    """Return a time that the file gives in ms, None if it is absent."""
    if name not in document:
        return None
    return fields.get_number(document, name) / _MS_PER_S
