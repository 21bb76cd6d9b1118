"""Run the stand-in platform in a thread, for synchronous callers."""

import asyncio
import contextlib
import json
import threading
from concurrent import futures
from http import client
from typing import Any, Coroutine, Iterator

from sardineproxy import clock
from sardineproxy.standin import platform_control, platform_server

HOST = '127.0.0.1'

#: Longest wait for the thread or a response.
TIMEOUT_S = 60


class RunningPlatform:
    """Address and control client of a platform that runs in a thread."""

    def __init__(self, *, port: int) -> None:
        """Control the platform at ``port``."""
        self.host = HOST
        self.port = port

    def control(self, name: str, document: dict[str, Any]) -> dict[str, Any]:
        """POST to ``/control/NAME`` and return the response."""
        return self._request('POST', f'/control/{name}', json.dumps(document))

    def state(self) -> dict[str, Any]:
        """Return the response of ``/control/state``."""
        return self._request('GET', '/control/state', None)

    def _request(
        self, method: str, path: str, body: str | None
    ) -> dict[str, Any]:
        conn = client.HTTPConnection(self.host, self.port, timeout=TIMEOUT_S)
        with contextlib.closing(conn):
            conn.request(method, path, body=body)
            response = conn.getresponse()
            text = response.read().decode()
        if response.status != 200:
            raise ValueError(f'{path} returned {response.status}: {text}')
        return json.loads(text)


@contextlib.contextmanager
def running(
    *, limits: platform_server.Limits | None = None
) -> Iterator[RunningPlatform]:
    """Run a platform within the context."""
    port_opened: futures.Future[int] = futures.Future()
    stop = asyncio.Event()
    loop = asyncio.new_event_loop()
    serving = _serve(limits or platform_server.Limits(), port_opened, stop)
    thread = threading.Thread(
        target=_run_loop, args=(loop, serving), daemon=True
    )
    thread.start()
    try:
        yield RunningPlatform(port=port_opened.result(TIMEOUT_S))
    finally:
        loop.call_soon_threadsafe(stop.set)
        thread.join(TIMEOUT_S)


def _run_loop(
    loop: asyncio.AbstractEventLoop, serving: Coroutine[Any, Any, None]
) -> None:
    with contextlib.closing(loop):
        loop.run_until_complete(serving)


async def _serve(
    limits: platform_server.Limits,
    port_opened: 'futures.Future[int]',
    stop: asyncio.Event,
) -> None:
    server = platform_server.PlatformServer(
        clock=clock.SystemClock(), limits=limits
    )
    app = server.application()
    platform_control.Control(server=server).add_routes(app)
    async with platform_server.serving(app, host=HOST, port=0) as port:
        port_opened.set_result(port)
        await stop.wait()
