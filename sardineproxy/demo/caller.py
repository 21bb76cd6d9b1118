"""A caller: mints keys and submits requests and jobs to an entry VM."""

import dataclasses
import json
from typing import Any, Mapping

import aiohttp

REQUESTS_PATH = '/v1/requests'
JOBS_PATH = '/v1/jobs'

#: Longest wait for an answer; entry processes end requests before that.
REPLY_TIMEOUT_S = 150
_TIMEOUT = aiohttp.ClientTimeout(total=REPLY_TIMEOUT_S)


class CallerError(Exception):
    """The entry process refused to mint keys."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """An entry process's answer; ``document`` is empty if it has no JSON."""

    status: int
    document: dict[str, Any]


class Caller:
    """Speaks the caller protocol with one entry process as one customer."""

    def __init__(
        self, *, session: aiohttp.ClientSession, base: str, credential: str
    ) -> None:
        """Submit to the URL ``base``, which has no path."""
        self._session = session
        self._base = base
        self._headers = {
            'Authorization': f'Bearer {credential}',
            'Content-Type': 'application/json',
        }

    async def create_keys(self, count: int) -> list[str]:
        """Return ``count`` new idempotency keys."""
        reply = await self.submit('/v1/keys', {'count': count})
        keys = reply.document.get('keys', [])
        if len(keys) != count:
            raise CallerError(
                f'{len(keys)} of {count} keys: {reply.status} {reply.document}'
            )
        return list(keys)

    async def submit(
        self, path: str, document: Mapping[str, Any], *, key: str = ''
    ) -> Reply:
        """Post a document; raise ``aiohttp.ClientError`` if no answer came."""
        status, body = await self.post(
            path, json.dumps(document).encode(), key=key
        )
        return Reply(status=status, document=parse(body))

    async def post(
        self, path: str, body: bytes, *, key: str = ''
    ) -> tuple[int, bytes]:
        """Post a rendered document and return the status and the body."""
        headers = self._headers
        if key:
            headers = {**headers, 'Idempotency-Key': key}
        async with self._session.post(
            f'{self._base}{path}',
            data=body,
            headers=headers,
            timeout=_TIMEOUT,
        ) as reply:
            return reply.status, await reply.read()


def parse(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``, or an empty one."""
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
