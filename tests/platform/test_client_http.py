"""Tests of the HTTP server for clients and readiness checks."""

import asyncio
import json
from typing import Any, Callable, Coroutine

import aiohttp
import testtools

from sardineproxy import deployment, ids
from sardineproxy.connection import client_guard, client_limits
from sardineproxy.platform import configuration, client_http
from sardineproxy.process import metrics
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.request import jobs
from sardineproxy.version import routes
from tests.platform import samples
from tests.soak import vm

JOB = '/jobs/5c0e7a21d94b36f8'
HOST = 'a.example'


class Rig:
    """A request handler with settable outcomes, and a client of its server."""

    def __init__(self) -> None:
        body = samples.configuration(7)
        self.routing_table: routes.RoutingTable | None = configuration.decode(
            body
        ).unwrap()
        self.draining = False
        self.ready = True
        self.recovering = False
        self.outcome: jobs.Outcome = jobs.Completed()
        self.job_reply = job_manager.JobReply.ABSENT

        #: Job and ``cancel`` flag of each query.
        self.queries: list[tuple[ids.JobId, bool]] = []

        #: Response timeouts of the jobs that were run, in seconds.
        self.waits: list[float] = []
        self.cancelled = 0

        #: Jobs end when this event is set.
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.port = 0
        self.ready_port = 0
        self.session: aiohttp.ClientSession

    def is_ready(self) -> bool:
        return self.ready

    def is_recovering(self) -> bool:
        return self.recovering

    async def run_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> jobs.Outcome:
        self.waits.append(wait_s)
        try:
            await self.may_finish.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.outcome

    async def store_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> job_manager.JobReply:
        return self.job_reply

    async def query_job(
        self, job: ids.JobId, wait_s: float, *, cancel: bool
    ) -> job_manager.JobReply:
        self.queries.append((job, cancel))
        return self.job_reply

    def count_unstarted(self, route: routes.Route) -> int:
        return 3

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, str, Any]:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with self.session.request(
            method,
            f'http://127.0.0.1:{self.port}{path}',
            data=None if body is None else data,
            headers={'Host': HOST, **(headers or {})},
        ) as reply:
            text = await reply.text()
            return reply.status, text, reply.headers


def with_rig(scenario: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        rig = Rig()
        ports = vm.free_ports('127.0.0.1')
        rig.port = ports[0]
        rig.ready_port = ports[1]
        server = client_http.ClientServer(
            request_handler=rig,
            guard=client_guard.ClientGuard(
                limits=client_limits.derive_limits(
                    memory_bytes=160_000_000, max_fds=1638
                ),
                metrics=metrics.Metrics(),
            ),
        )
        await server.start(
            deployment.Address(host='127.0.0.1', port=rig.port),
            deployment.Address(host='127.0.0.1', port=rig.ready_port),
        )
        try:
            async with aiohttp.ClientSession() as session:
                rig.session = session
                await scenario(rig)
        finally:
            await server.close()

    asyncio.run(main())


class TestSubmit(testtools.TestCase):
    def test_response_contains_state_of_completed_job(self) -> None:
        """Guards against a response body that clients cannot parse."""

        async def scenario(rig: Rig) -> None:
            status, text, _ = await rig.call(
                'POST', JOB, samples.job(), {'Deadline-Ms': '1500'}
            )
            self.assertEqual((200, '{"state":"completed"}'), (status, text))
            self.assertEqual([1.5], rig.waits)

        with_rig(scenario)

    def test_refusal_has_retry_after_header(self) -> None:
        """Guards against clients that retry immediately after a refusal.

        Such retries add load while jobs are refused for lack of capacity.
        """

        async def scenario(rig: Rig) -> None:
            rig.outcome = jobs.NotRun(detail='', retry_after_s=1.5)
            status, _, headers = await rig.call('POST', JOB, samples.job())
            self.assertEqual((503, '2'), (status, headers['Retry-After']))

        with_rig(scenario)

    def test_invalid_requests_are_refused(self) -> None:
        """Guards against running requests that are not valid jobs.

        They have an unknown route, an invalid id, a malformed or too large
        body, or an unsupported feature.
        """

        async def scenario(rig: Rig) -> None:
            for path, body, expected in (
                ('/other/5c0e7a21d94b36f8', samples.job(), 404),
                (JOB, b'{', 400),
                (JOB, b'x' * 300_000, 400),
                (JOB, samples.job(daemon=True), 503),
                ('/jobs/no-id', samples.job(), 400),
            ):
                status, _, _ = await rig.call('POST', path, body)
                self.assertEqual(expected, status, path)
            self.assertEqual([], rig.waits)

        with_rig(scenario)

    def test_requests_are_refused_without_a_configuration_or_after_a_stall(
        self,
    ) -> None:
        """Guards against running requests whose clients may have timed out.

        After a stall, requests are read that arrived while the process did
        not run.
        """

        async def scenario(rig: Rig) -> None:
            rig.recovering = True
            self.assertEqual(
                503, (await rig.call('POST', JOB, samples.job()))[0]
            )
            rig.routing_table = None
            self.assertEqual(503, (await rig.call('GET', '/jobs/'))[0])
            self.assertEqual([], rig.waits)

        with_rig(scenario)

    def test_disconnect_of_the_client_cancels_its_request(self) -> None:
        """Guards against running jobs whose clients have disconnected."""

        async def scenario(rig: Rig) -> None:
            rig.may_finish.clear()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await rig.call('POST', JOB, samples.job())
            async with asyncio.timeout(20):
                while not rig.cancelled:
                    await asyncio.sleep(0.01)

        with_rig(scenario)


class TestQueries(testtools.TestCase):
    def test_pending_jobs_are_counted(self) -> None:
        """Guards against a count that clients cannot find in the response."""

        async def scenario(rig: Rig) -> None:
            status, text, _ = await rig.call('GET', '/jobs/')
            self.assertEqual((200, {'pending': 3}), (status, json.loads(text)))

        with_rig(scenario)

    def test_query_of_unknown_job_has_status_410(self) -> None:
        """Guards against reporting a state for a job that is not stored."""

        async def scenario(rig: Rig) -> None:
            self.assertEqual(410, (await rig.call('GET', JOB))[0])
            self.assertEqual(410, (await rig.call('DELETE', JOB))[0])
            job = ids.JobId('5c0e7a21d94b36f8')
            self.assertEqual([(job, False), (job, True)], rig.queries)

        with_rig(scenario)

    def test_replies_of_job_managers_map_to_status_codes(self) -> None:
        """Guards against reporting a job as refused that may be stored.

        If the store's response is lost, the job manager replies UNKNOWN.
        """

        async def scenario(rig: Rig) -> None:
            replies = job_manager.JobReply
            for job_reply, post_status, get_status in (
                (replies.REFUSED, 503, 503),
                (replies.UNAVAILABLE, 504, 503),
                (replies.UNKNOWN, 504, 504),
                (replies.ACCEPTED, 200, None),
                (replies.RUNNING, None, 200),
                (replies.CANCELLED, None, 200),
            ):
                rig.job_reply = job_reply
                if post_status:
                    body = samples.job(burstable=False)
                    response = await rig.call('POST', JOB, body)
                    self.assertEqual(post_status, response[0], job_reply)
                if get_status:
                    status, text, _ = await rig.call('GET', JOB)
                    self.assertEqual(get_status, status, job_reply)
                if get_status == 200:
                    self.assertEqual(
                        {'state': job_reply.value}, json.loads(text)
                    )

        with_rig(scenario)

    def test_readiness_is_reported_on_its_own_listener(self) -> None:
        """Guards against a load balancer that sends clients to a draining VM."""

        async def scenario(rig: Rig) -> None:
            rig.port = rig.ready_port
            self.assertEqual(200, (await rig.call('GET', '/v1/ready'))[0])
            rig.ready = False
            self.assertEqual(503, (await rig.call('GET', '/v1/ready'))[0])

        with_rig(scenario)

    def test_draining_process_closes_connections(self) -> None:
        """Guards against clients that keep connections to a VM being drained.

        Their connections would break when the process exits.
        """

        async def scenario(rig: Rig) -> None:
            rig.draining = True
            _, _, headers = await rig.call('POST', JOB, samples.job())
            self.assertEqual('close', headers['Connection'])

        with_rig(scenario)
