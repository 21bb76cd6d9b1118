"""Commands that query entry VMs."""

import asyncio
import dataclasses
import json
from typing import Any

import aiohttp
import result
import yarl

from sardineproxy import exit_status, json_text
from sardineproxy.operator import environment, options

#: Largest state dump, in bytes.
MAX_STATE_BYTES = 8_388_608

_Status = exit_status.ExitStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _ActiveVersion:
    vm: str
    number: int
    digest: str


async def versions(
    env: environment.Environment, opts: options.Options
) -> _Status:
    """Show the active version of each entry VM."""
    async with aiohttp.ClientSession() as session:
        responses = await asyncio.gather(
            *(
                _read_state(session, address, opts.timeout_s)
                for address in opts.admin
            )
        )
    active: list[_ActiveVersion] = []
    for address, response in zip(opts.admin, responses):
        version = response.and_then(_to_active_version)
        if isinstance(version, result.Err):
            env.print_error(f'{address}: {version.err_value}')
            continue
        active.append(version.ok_value)
        env.print_result(_format_active_version(version.ok_value))
    if len(active) < len(opts.admin):
        return _Status.UNAVAILABLE
    return _compare(env, active)


async def state(env: environment.Environment, opts: options.Options) -> _Status:
    """Show the state dump of one entry VM."""
    async with aiohttp.ClientSession() as session:
        response = await _read_state(session, opts.admin[0], opts.timeout_s)
    if isinstance(response, result.Err):
        env.print_error(f'{opts.admin[0]}: {response.err_value}')
        return _Status.UNAVAILABLE
    env.print_result(json.dumps(response.ok_value, indent=2, sort_keys=True))
    return _Status.SUCCESS


async def _read_state(
    session: aiohttp.ClientSession, address: options.HostPort, timeout_s: float
) -> result.Result[dict[str, Any], str]:
    url = yarl.URL.build(
        scheme='http', host=address.host, port=address.port, path='/state'
    )
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.get(
            url, timeout=timeout, allow_redirects=False
        ) as response:
            body = await _read_bounded(response)
            status = response.status
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        return result.Err(f'no response: {exc or type(exc).__name__}')
    if status != 200:
        return result.Err(f'response has status {status}')
    return json_text.parse_object(
        body.decode(errors='replace'), max_bytes=MAX_STATE_BYTES, comments=False
    )


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Return the response body, truncated one byte after the limit."""
    body = bytearray()
    async for chunk in response.content.iter_chunked(65_536):
        body += chunk
        if len(body) > MAX_STATE_BYTES:
            break
    return bytes(body[: MAX_STATE_BYTES + 1])


def _to_active_version(
    document: dict[str, Any],
) -> result.Result[_ActiveVersion, str]:
    config = document.get('config')
    if not isinstance(config, dict):
        return result.Err('state dump has no "config"')
    number, digest = config.get('number'), config.get('digest')
    return result.Ok(
        _ActiveVersion(
            vm=str(document.get('vm')),
            number=number if isinstance(number, int) else 0,
            digest=digest if isinstance(digest, str) else '',
        )
    )


def _format_active_version(version: _ActiveVersion) -> str:
    if not version.number:
        return f'{version.vm}  no version yet'
    return f'{version.vm}  {version.number}  {version.digest}'


def _compare(
    env: environment.Environment, active: list[_ActiveVersion]
) -> _Status:
    numbers = sorted({version.number for version in active})
    identities = {(version.number, version.digest) for version in active}
    if len(identities) > len(numbers):
        env.print_error(
            'VMs have different contracts under the same version number.'
        )
        return _Status.ERROR
    if len(numbers) > 1:
        joined = ', '.join(str(number) for number in numbers)
        env.print_result(f'Active versions: {joined}.')
    return _Status.SUCCESS
