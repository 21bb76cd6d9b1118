"""Slopes of platform polls through the real HTTP client."""

import base64
import functools
import json
import time
from typing import Awaitable, Callable

import aiohttp

from sardineproxy.bench import slopes_fit, slopes_net, slopes_samples
from sardineproxy.process import listing, platform_http
from sardineproxy.version import codec, fetching, versions

POLL_COUNTS = (50, 200)
_ROWS_PATH = b'/v1/rows'
_VMS_PATH = b'/v1/vms'
PollFunction = Callable[[platform_http.HttpPlatform], Awaitable[object]]


def measure(out: slopes_fit.Report) -> None:
    """Print the CPU time and bytes of each kind of poll."""
    polls: dict[str, PollFunction] = {
        'head': lambda client: client.read_rows(fetching.HEAD_KEY),
        'unchanged_list': lambda client: client.list_vms(),
    }
    with slopes_net.FixedServer(
        {_ROWS_PATH: _render_head(), _VMS_PATH: b''}
    ) as server:
        for name, poll in polls.items():
            out.add(
                slopes_fit.measure_slope_async(
                    f'poll.{name}.cpu',
                    'us/poll',
                    functools.partial(_time_polls, server, poll),
                    POLL_COUNTS,
                )
            )
            out.add(
                slopes_fit.measure_slope_async(
                    f'poll.{name}.bytes',
                    'B/poll',
                    functools.partial(_measure_poll_bytes, server, poll),
                    POLL_COUNTS,
                    repeats=1,
                )
            )


async def _time_polls(
    server: slopes_net.FixedServer, poll: PollFunction, count: int
) -> float:
    async with aiohttp.ClientSession() as session:
        client = await _make_client(session, server)
        started_s = time.thread_time()
        for _ in range(count):
            await poll(client)
        return (time.thread_time() - started_s) * slopes_fit.US_PER_S


async def _measure_poll_bytes(
    server: slopes_net.FixedServer, poll: PollFunction, count: int
) -> float:
    """Return the HTTP bytes of requests and responses."""
    bytes_before = server.received_bytes + server.sent_bytes
    await _time_polls(server, poll, count)
    return server.received_bytes + server.sent_bytes - bytes_before


async def _make_client(
    session: aiohttp.ClientSession, server: slopes_net.FixedServer
) -> platform_http.HttpPlatform:
    """Return a client with the VM list; later polls find it unchanged."""
    client = platform_http.HttpPlatform(
        session=session, host=slopes_net.HOST, port=server.port
    )
    document = listing.to_document(
        slopes_samples.make_vm_list(*slopes_samples.make_endpoints(1))
    )
    server.responses[_VMS_PATH] = slopes_net.render_response(
        json.dumps(document).encode()
    )
    (await client.list_vms()).unwrap()
    server.responses[_VMS_PATH] = slopes_net.render_response(
        b'', status='304 Not Modified'
    )
    return client


def _render_head() -> bytes:
    change = slopes_samples.make_payload(
        versions.EMPTY, slopes_samples.make_documents(1)
    ).changes[0]
    body = base64.b64encode(codec.encode_head(change.head)).decode()
    row = {'key': fetching.HEAD_KEY, 'revision': 1, 'body_base64': body}
    page = {'rows': [row], 'more': False}
    return slopes_net.render_response(json.dumps(page).encode())
