"""One run of the entry process on the users' platform."""

import asyncio
import os
import pathlib
import signal
import sys

import result

from sardineproxy import clock, deployment, exit_status, logs
from sardineproxy.platform import (
    configuration,
    front_http,
    http_calls,
    roster,
    settings,
    store_http,
    worker_http,
)
from sardineproxy.process import metrics
from sardineproxy.process.node import node
from sardineproxy.request import jobs
from sardineproxy.version import routes

#: Least time from SIGTERM until the listeners close, in seconds. The
#: balancer takes two failed checks, one each second, to notice.
NOTICE_S = 2.6

#: Time of the grace that is kept for closing, in seconds.
CLOSE_S = 0.5

#: Time between two looks at whether all requests are answered, in seconds.
DRAIN_STEP_S = 0.05

_STATUS = exit_status.ExitStatus
_LOG = logs.get_logger('node')


class _Acceptor:
    """Joins the front to the node."""

    def __init__(self, *, own: node.Node) -> None:
        self._own = own

    @property
    def table(self) -> routes.RoutingTable | None:
        """Return the routes in force."""
        return self._own.versions.table

    @property
    def draining(self) -> bool:
        """Tell whether the process shuts down."""
        return self._own.draining

    def is_ready(self) -> bool:
        """Tell whether the balancer may send new connections."""
        return self._own.is_ready()

    def is_recovering(self) -> bool:
        """Tell whether requests must be refused for the moment."""
        return self._own.is_recovering()

    async def run_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> jobs.Outcome:
        """Run a job for a client that waits ``wait_s`` seconds."""
        return await self._own.run_job(job, route, wait_s)

    def waiting_for(self, route: routes.Route) -> int:
        """Return how many jobs of a route wait for their first start."""
        return self._own.board.waiting_for(route.route)


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Read the settings, then serve until SIGTERM."""
    path = os.environ.get(settings.PATH_VARIABLE)
    if path is None:
        return _fail(f'{settings.PATH_VARIABLE} is not set', _STATUS.USAGE)
    loaded = settings.load(pathlib.Path(path))
    if isinstance(loaded, result.Err):
        return _fail(loaded.err_value, _STATUS.INVALID_INPUT)
    logs.configure(stream=sys.stdout)
    return asyncio.run(_serve(loaded.ok_value))


async def _serve(cfg: deployment.Deployment) -> exit_status.ExitStatus:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    session = http_calls.new_session()
    own = node.Node(
        cfg=cfg,
        outside=node.Outside(
            clock=clock.BootClock(),
            rng=clock.new_random(),
            store=store_http.HttpStore(session=session, address=cfg.store),
            workers=worker_http.HttpWorkerApi(session=session),
            formats=node.Formats(
                configuration_table=configuration.TABLE,
                configuration_row=configuration.ROW,
                roster_table=roster.TABLE,
                decode_configuration=configuration.decode,
                worker_id=roster.worker_id,
                decode_worker=roster.decode,
            ),
            registry=metrics.Metrics(),
        ),
    )
    front = front_http.Front(acceptor=_Acceptor(own=own))
    await own.start()
    await front.start(cfg.front, cfg.ready)
    _LOG.info(
        'Started.', extra={'vm': cfg.vm, 'incarnation': own.me.incarnation}
    )
    await stop.wait()
    await _drain(own, front, cfg)
    await front.close()
    await own.close()
    await session.close()
    _LOG.info('Stopped.', extra={'vm': cfg.vm})
    return _STATUS.SUCCESS


async def _drain(
    own: node.Node, front: front_http.Front, cfg: deployment.Deployment
) -> None:
    """Answer what is in progress before the grace ends."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    _LOG.info('Stopping.', extra={'busy': front.busy})
    own.hand_over()
    while loop.time() - started < cfg.bounds.grace_s - CLOSE_S:
        await asyncio.sleep(DRAIN_STEP_S)
        if loop.time() - started > NOTICE_S and not front.busy:
            return
    _LOG.warning('Grace ends with work.', extra={'busy': front.busy})


def _fail(
    sentence: str, status: exit_status.ExitStatus
) -> exit_status.ExitStatus:
    sys.stderr.write(f'sardineproxy-node: {sentence}.\n')
    return status
