"""VM list: validation, encoding for peers, and polling of the platform."""

import asyncio
import json
import random
import socket
import zlib
from typing import Annotated, Any

import pydantic
import result

from sardineproxy import clock, ids, json_text, logs
from sardineproxy.process import directory, platform, settings, store
from sardineproxy.version import polling

#: Maximum number of VMs in a list.
MAX_VMS = 32_768

#: Maximum size of a list in bytes of JSON. 9,700 VMs take about 1.8 MB.
MAX_LIST_BYTES = 8_388_608

#: Maximum size of a compressed list from a peer in bytes, half a peer frame.
MAX_PAYLOAD_BYTES = 4_194_304

#: Compresses a list to about a tenth of its size; higher levels gain little.
_COMPRESSION_LEVEL = 6

#: Length of the longest text of an IPv6 address.
_MAX_HOST_CHARS = 45

_LOG = logs.get_logger('listing')


#: The list is polled as often as the configuration, because a leaving endpoint
#: must get no new work after a few seconds.
Config = polling.Config


def _check_ip_address(text: str) -> str:
    """Validate an IP address.

    The module ``ipaddress`` would take ten times as long.
    """
    family = socket.AF_INET6 if ':' in text else socket.AF_INET
    try:
        socket.inet_pton(family, text)
    except OSError as exc:
        raise ValueError('expected an IP address, not a host name') from exc
    return text


_Host = Annotated[
    str,
    pydantic.Field(max_length=_MAX_HOST_CHARS),
    pydantic.AfterValidator(_check_ip_address),
]


class _VmModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    name: settings.Name
    role: platform.VmRole
    state: platform.VmState
    zone: settings.Name
    region: settings.Name
    host: _Host
    port: Annotated[int, pydantic.Field(strict=True, ge=1, le=65_535)]
    slots: Annotated[int, pydantic.Field(strict=True, ge=0, le=65_536)]
    connections: Annotated[
        int, pydantic.Field(strict=True, ge=0, le=65_536)
    ] = 0


class _VmListModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    revision: Annotated[int, pydantic.Field(strict=True, ge=0, lt=2**63)]
    vms: Annotated[list[_VmModel], pydantic.Field(max_length=MAX_VMS)]


def to_document(vm_list: platform.VmList) -> dict[str, Any]:
    """Return the list as a JSON object."""
    return {
        'revision': vm_list.revision,
        'vms': [_vm_fields(vm) for vm in vm_list.vms],
    }


def from_document(document: Any) -> result.Result[platform.VmList, str]:
    """Validate a parsed JSON object; the error is one sentence."""
    try:
        model = _VmListModel.model_validate(document)
    except pydantic.ValidationError as exc:
        return result.Err(settings.describe_errors(exc)[0])
    vms = tuple(_to_vm(vm) for vm in model.vms)
    if len({(vm.role, vm.name) for vm in vms}) < len(vms):
        return result.Err('two VMs of one role have the same name')
    return result.Ok(platform.VmList(revision=model.revision, vms=vms))


def encode(vm_list: platform.VmList) -> bytes:
    """Return the list as compressed JSON."""
    text = json.dumps(to_document(vm_list), separators=(',', ':'))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decode(payload: bytes) -> result.Result[platform.VmList, str]:
    """Decode an encoded list within the size limits."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        return result.Err(
            f'payload of {len(payload)} bytes exceeds {MAX_PAYLOAD_BYTES} bytes'
        )
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(payload, MAX_LIST_BYTES).decode()
    except (zlib.error, UnicodeDecodeError) as exc:
        return result.Err(f'payload is not compressed text: {exc}')
    if not decompressor.eof:
        return result.Err(
            'payload is truncated, or too large when decompressed '
            f'(over {MAX_LIST_BYTES} bytes)'
        )
    return json_text.parse_object(
        text, max_bytes=MAX_LIST_BYTES, comments=False
    ).and_then(from_document)


class ListFollower:
    """Updates the VM list from the platform and from peers."""

    def __init__(
        self,
        *,
        platform: platform.Platform,
        directory: directory.VmDirectory,
        clock: clock.Clock,
        rng: random.Random,
        cfg: Config,
    ) -> None:
        """Create a follower that updates ``directory``."""
        self._platform = platform
        self._directory = directory
        self._clock = clock
        self._schedule = polling.PollSchedule(rng=rng, cfg=cfg)
        self._last_read_at: float | None = None
        self._last_error: str | None = None
        self._encoded: tuple[int, bytes] | None = None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_once()
            await asyncio.sleep(self._schedule.next_wait_s())

    async def poll_once(self) -> None:
        """Read the platform's list once and update the directory."""
        failures_before = self._schedule.failures
        error = await self._schedule.run_with_timeout(self._poll())
        self._last_error = None if error is None else error.detail
        if error is None:
            self._last_read_at = self._clock.now()
        elif not failures_before:
            _LOG.warning(
                'Polling the VM list from the platform failed: %s.',
                error.detail,
            )

    def revision(self) -> int:
        """Return the revision of the newest list."""
        return self._directory.newest.revision

    def encode(self) -> bytes:
        """Return the newest list, encoded for a peer."""
        newest = self._directory.newest
        if self._encoded is None or self._encoded[0] != newest.revision:
            self._encoded = (newest.revision, encode(newest))
        return self._encoded[1]

    def offer(self, payload: bytes) -> None:
        """Apply a peer's list if it is well-formed and newer."""
        decoded = decode(payload)
        if isinstance(decoded, result.Err):
            _LOG.warning(
                'Ignored a malformed VM list from a peer: %s.',
                decoded.err_value,
            )
            return
        self._directory.offer(decoded.ok_value)

    def state(self, *, now: float) -> dict[str, Any]:
        """Return revision, size, age and last error for the state dump."""
        return {
            'revision': self.revision(),
            'vms': len(self._directory.newest.vms),
            'age_s': None
            if self._last_read_at is None
            else now - self._last_read_at,
            'platform_error': self._last_error,
        }

    async def _poll(self) -> result.Result[None, store.StoreError]:
        listed = await self._platform.list_vms()
        if isinstance(listed, result.Err):
            return listed
        self._directory.offer(listed.ok_value)
        return result.Ok(None)


def _vm_fields(vm: platform.Vm) -> dict[str, Any]:
    return {
        'name': vm.name,
        'role': vm.role.value,
        'state': vm.state.value,
        'zone': vm.zone,
        'region': vm.region,
        'host': vm.host,
        'port': vm.port,
        'slots': vm.slots,
        'connections': vm.connections,
    }


def _to_vm(vm: _VmModel) -> platform.Vm:
    return platform.Vm(
        name=vm.name,
        role=vm.role,
        state=vm.state,
        zone=ids.ZoneId(vm.zone),
        region=ids.RegionId(vm.region),
        host=vm.host,
        port=vm.port,
        slots=vm.slots,
        connections=vm.connections,
    )
