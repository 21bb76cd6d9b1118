"""The clients' listener, over HTTP."""

import asyncio
import json
from typing import Any, Callable, Coroutine

import aiohttp
import testtools

from sardineproxy import deployment, ids
from sardineproxy.platform import configuration, client_http
from sardineproxy.process.stored_jobs import job_manager
from sardineproxy.request import jobs
from sardineproxy.version import routes
from tests.platform import samples
from tests.soak import vm

JOB = '/jobs/5c0e7a21d94b36f8'
HOST = 'a.example'


class Rig:
    """A front whose node a test plays."""

    def __init__(self) -> None:
        body = samples.configuration(7)
        self.routing_table: routes.RoutingTable | None = configuration.decode(
            body
        ).unwrap()
        self.draining = False
        self.ready = True
        self.recovering = False
        self.outcome: jobs.Outcome = jobs.Completed()
        self.answer = job_manager.JobReply.ABSENT
        self.asked: list[tuple[ids.JobId, bool]] = []
        self.waits: list[float] = []
        self.cancelled = 0
        self.holds = asyncio.Event()
        self.holds.set()
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
            await self.holds.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.outcome

    async def store_job(
        self, job: jobs.Job, route: routes.Route, wait_s: float
    ) -> job_manager.JobReply:
        return self.answer

    async def query_job(
        self, job: ids.JobId, wait_s: float, *, cancel: bool
    ) -> job_manager.JobReply:
        self.asked.append((job, cancel))
        return self.answer

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
        front = client_http.ClientServer(request_handler=rig)
        await front.start(
            deployment.Address(host='127.0.0.1', port=rig.port),
            deployment.Address(host='127.0.0.1', port=rig.ready_port),
        )
        try:
            async with aiohttp.ClientSession() as session:
                rig.session = session
                await scenario(rig)
        finally:
            await front.close()

    asyncio.run(main())


class TestSubmit(testtools.TestCase):
    def test_completed_job_is_answered_with_its_state(self) -> None:
        """Guards against an answer that clients cannot read."""

        async def scenario(rig: Rig) -> None:
            status, text, _ = await rig.call(
                'POST', JOB, samples.job(), {'Deadline-Ms': '1500'}
            )
            self.assertEqual((200, '{"state":"completed"}'), (status, text))
            self.assertEqual([1.5], rig.waits)

        with_rig(scenario)

    def test_refusal_says_when_to_come_back(self) -> None:
        """Guards against clients that come back at once."""

        async def scenario(rig: Rig) -> None:
            rig.outcome = jobs.NotRun(detail='', retry_after_s=1.5)
            status, _, headers = await rig.call('POST', JOB, samples.job())
            self.assertEqual((503, '2'), (status, headers['Retry-After']))

        with_rig(scenario)

    def test_requests_that_cannot_run_are_refused(self) -> None:
        """Guards against jobs that begin by mistake."""

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

    def test_nothing_begins_without_a_configuration_or_after_a_stall(
        self,
    ) -> None:
        """Guards against work for requests that may be given up already."""

        async def scenario(rig: Rig) -> None:
            rig.recovering = True
            self.assertEqual(
                503, (await rig.call('POST', JOB, samples.job()))[0]
            )
            rig.routing_table = None
            self.assertEqual(503, (await rig.call('GET', '/jobs/'))[0])
            self.assertEqual([], rig.waits)

        with_rig(scenario)

    def test_client_that_leaves_ends_its_request(self) -> None:
        """Guards against work on for clients that are gone."""

        async def scenario(rig: Rig) -> None:
            rig.holds.clear()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await rig.call('POST', JOB, samples.job())
            async with asyncio.timeout(20):
                while not rig.cancelled:
                    await asyncio.sleep(0.01)

        with_rig(scenario)


class TestQuestions(testtools.TestCase):
    def test_pending_jobs_are_counted(self) -> None:
        """Guards against an answer under another name."""

        async def scenario(rig: Rig) -> None:
            status, text, _ = await rig.call('GET', '/jobs/')
            self.assertEqual((200, {'pending': 3}), (status, json.loads(text)))

        with_rig(scenario)

    def test_jobs_that_are_not_stored_are_unknown(self) -> None:
        """Guards against states that were never kept."""

        async def scenario(rig: Rig) -> None:
            self.assertEqual(410, (await rig.call('GET', JOB))[0])
            self.assertEqual(410, (await rig.call('DELETE', JOB))[0])
            job = ids.JobId('5c0e7a21d94b36f8')
            self.assertEqual([(job, False), (job, True)], rig.asked)

        with_rig(scenario)

    def test_answers_of_keepers_have_their_status(self) -> None:
        """Guards against refusals of jobs that may be stored."""

        async def scenario(rig: Rig) -> None:
            answers = job_manager.JobReply
            for answer, accepted, asked in (
                (answers.REFUSED, 503, 503),
                (answers.UNAVAILABLE, 503, 503),
                (answers.UNKNOWN, 504, 504),
                (answers.ACCEPTED, 200, None),
                (answers.RUNNING, None, 200),
                (answers.CANCELLED, None, 200),
            ):
                rig.answer = answer
                if accepted:
                    body = samples.job(burstable=False)
                    reply = await rig.call('POST', JOB, body)
                    self.assertEqual(accepted, reply[0], answer)
                if asked:
                    status, text, _ = await rig.call('GET', JOB)
                    self.assertEqual(asked, status, answer)
                if asked == 200:
                    self.assertEqual({'state': answer.value}, json.loads(text))

        with_rig(scenario)

    def test_readiness_has_an_address_of_its_own(self) -> None:
        """Guards against a balancer that sends clients to a draining VM."""

        async def scenario(rig: Rig) -> None:
            rig.port = rig.ready_port
            self.assertEqual(200, (await rig.call('GET', '/v1/ready'))[0])
            rig.ready = False
            self.assertEqual(503, (await rig.call('GET', '/v1/ready'))[0])

        with_rig(scenario)

    def test_draining_process_closes_connections(self) -> None:
        """Guards against clients that stay on a VM until its end."""

        async def scenario(rig: Rig) -> None:
            rig.draining = True
            _, _, headers = await rig.call('POST', JOB, samples.job())
            self.assertEqual('close', headers['Connection'])

        with_rig(scenario)
