"""Slopes of polls of the platform, through the real client."""

import base64
import functools
import json
import time
from typing import Awaitable, Callable

import aiohttp

from sardineproxy.bench import slopes_fit, slopes_net, slopes_samples
from sardineproxy.process import listing, platform_http
from sardineproxy.version import codec, fetching, versions

POLLS = (50, 200)
_ROWS = b'/v1/rows'
_VMS = b'/v1/vms'
Poll = Callable[[platform_http.HttpPlatform], Awaitable[object]]


def measure(out: slopes_fit.Report) -> None:
    """Print processor time and bytes of each kind of poll."""
    polls: dict[str, Poll] = {
        'head': lambda client: client.read_rows(fetching.HEAD_KEY),
        'unchanged_list': lambda client: client.list_vms(),
    }
    with slopes_net.FixedServer({_ROWS: _render_head(), _VMS: b''}) as server:
        for name, poll in polls.items():
            out.add(
                slopes_fit.measure_async(
                    f'poll.{name}.cpu',
                    'us/poll',
                    functools.partial(_time_polls, server, poll),
                    POLLS,
                )
            )
            out.add(
                slopes_fit.measure_async(
                    f'poll.{name}.bytes',
                    'B/poll',
                    functools.partial(_weigh_polls, server, poll),
                    POLLS,
                    repeats=1,
                )
            )


async def _time_polls(
    server: slopes_net.FixedServer, poll: Poll, count: int
) -> float:
    async with aiohttp.ClientSession() as session:
        client = await _make_client(session, server)
        began_s = time.thread_time()
        for _ in range(count):
            await poll(client)
        return (time.thread_time() - began_s) * slopes_fit.US_PER_S


async def _weigh_polls(
    server: slopes_net.FixedServer, poll: Poll, count: int
) -> float:
    """Return the bytes of HTTP both ways."""
    before = server.received + server.sent
    await _time_polls(server, poll, count)
    return server.received + server.sent - before


async def _make_client(
    session: aiohttp.ClientSession, server: slopes_net.FixedServer
) -> platform_http.HttpPlatform:
    """Return a client that has read the list; no list is newer."""
    client = platform_http.HttpPlatform(
        session=session, host=slopes_net.HOST, port=server.port
    )
    document = listing.to_document(
        slopes_samples.listing(*slopes_samples.endpoints(1))
    )
    server.answers[_VMS] = slopes_net.render(json.dumps(document).encode())
    (await client.list_vms()).unwrap()
    server.answers[_VMS] = slopes_net.render(b'', status='304 Not Modified')
    return client


def _render_head() -> bytes:
    change = slopes_samples.change(
        versions.EMPTY, slopes_samples.documents(1)
    ).changes[0]
    body = base64.b64encode(codec.encode_head(change.head)).decode()
    row = {'key': fetching.HEAD_KEY, 'revision': 1, 'body_base64': body}
    page = {'rows': [row], 'more': False}
    return slopes_net.render(json.dumps(page).encode())
