"""Commands that ask entry VMs."""

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
class _InForce:
    vm: str
    number: int
    digest: str


async def versions(
    env: environment.Environment, opts: options.Options
) -> _Status:
    """Show which version is in force on each entry VM."""
    async with aiohttp.ClientSession() as session:
        answers = await asyncio.gather(
            *(
                _read_state(session, address, opts.timeout_s)
                for address in opts.admin
            )
        )
    found: list[_InForce] = []
    for address, answer in zip(opts.admin, answers):
        in_force = answer.and_then(_to_in_force)
        if isinstance(in_force, result.Err):
            env.complain(f'{address}: {in_force.err_value}')
            continue
        found.append(in_force.ok_value)
        env.say(_in_force_line(in_force.ok_value))
    if len(found) < len(opts.admin):
        return _Status.UNAVAILABLE
    return _compare(env, found)


async def state(env: environment.Environment, opts: options.Options) -> _Status:
    """Show the state dump of one entry VM."""
    async with aiohttp.ClientSession() as session:
        answer = await _read_state(session, opts.admin[0], opts.timeout_s)
    if isinstance(answer, result.Err):
        env.complain(f'{opts.admin[0]}: {answer.err_value}')
        return _Status.UNAVAILABLE
    env.say(json.dumps(answer.ok_value, indent=2, sort_keys=True))
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
        ) as reply:
            body = await _read_bounded(reply)
            status = reply.status
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        return result.Err(f'no answer: {exc or type(exc).__name__}')
    if status != 200:
        return result.Err(f'answered with status {status}')
    return json_text.parse_object(
        body.decode(errors='replace'), max_bytes=MAX_STATE_BYTES, comments=False
    )


async def _read_bounded(reply: aiohttp.ClientResponse) -> bytes:
    """Return the answer, cut one byte over the bound."""
    body = bytearray()
    async for chunk in reply.content.iter_chunked(65_536):
        body += chunk
        if len(body) > MAX_STATE_BYTES:
            break
    return bytes(body[: MAX_STATE_BYTES + 1])


def _to_in_force(document: dict[str, Any]) -> result.Result[_InForce, str]:
    config = document.get('config')
    if not isinstance(config, dict):
        return result.Err('answered without "config"')
    number, digest = config.get('number'), config.get('digest')
    return result.Ok(
        _InForce(
            vm=str(document.get('vm')),
            number=number if isinstance(number, int) else 0,
            digest=digest if isinstance(digest, str) else '',
        )
    )


def _in_force_line(in_force: _InForce) -> str:
    if not in_force.number:
        return f'{in_force.vm}  no version yet'
    return f'{in_force.vm}  {in_force.number}  {in_force.digest}'


def _compare(env: environment.Environment, found: list[_InForce]) -> _Status:
    numbers = sorted({member.number for member in found})
    identities = {(member.number, member.digest) for member in found}
    if len(identities) > len(numbers):
        env.complain('VMs have the same version number with other contracts.')
        return _Status.ERROR
    if len(numbers) > 1:
        listed = ', '.join(str(number) for number in numbers)
        env.say(f'Versions in force: {listed}.')
    return _Status.SUCCESS
