"""HTTP client that submits requests and jobs to an entry process."""

import dataclasses
import json
from typing import Any, Mapping

import aiohttp

REQUESTS_PATH = '/v1/requests'
JOBS_PATH = '/v1/jobs'

#: Client timeout; entry processes reply to every request before that.
REPLY_TIMEOUT_S = 150
_TIMEOUT = aiohttp.ClientTimeout(total=REPLY_TIMEOUT_S)


class CallerError(Exception):
    """The entry process did not create the requested keys."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Reply of an entry process."""

    status: int

    #: Body of the reply; empty unless it is a JSON object.
    document: dict[str, Any]


class Caller:
    """Client of one entry process with the credential of one customer."""

    def __init__(
        self, *, session: aiohttp.ClientSession, base: str, credential: str
    ) -> None:
        """Send requests to the URL ``base``, which has no path."""
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
                f'{len(keys)} of {count} requested keys were created: '
                f'HTTP {reply.status} {reply.document}'
            )
        return list(keys)

    async def submit(
        self, path: str, document: Mapping[str, Any], *, key: str = ''
    ) -> Reply:
        """Post a JSON document and return the reply.

        Raise ``aiohttp.ClientError`` or ``TimeoutError`` if none arrives.
        """
        status, body = await self.post(
            path, json.dumps(document).encode(), key=key
        )
        return Reply(status=status, document=parse_object(body))

    async def post(
        self, path: str, body: bytes, *, key: str = ''
    ) -> tuple[int, bytes]:
        """Post an encoded document and return the status and the body."""
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


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``, or an empty dict."""
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
