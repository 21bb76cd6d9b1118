"""Requests to the control ports of stand-ins and admin ports of entries."""

from typing import Any, Mapping

import aiohttp


class ControlError(Exception):
    """The request failed, or its response has an error status."""


async def request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: Mapping[str, Any] | None = None,
) -> str:
    """Send a request with a JSON body and return the response body."""
    try:
        async with session.request(method, url, json=body) as response:
            status, text = response.status, await response.text()
    except (aiohttp.ClientError, TimeoutError) as exc:
        raise ControlError(f'{method} {url}: {exc!r}') from exc
    if status >= 400:
        raise ControlError(f'{method} {url}: {status} {text}')
    return text
