"""Tests of submissions: keys, cancellation, forwarding and shutdown."""

import asyncio
import collections
import hashlib
import json
import random
import types
from typing import Any

import testtools
from testtools import matchers

from sardineproxy import clock, ids, verdicts
from sardineproxy.process import metrics
from sardineproxy.request import (
    forwarding,
    executions,
    key_requests,
    submissions,
    work,
)
from sardineproxy.version import contracts, versions

CUSTOMER = ids.CustomerId('warm')
OTHER_CUSTOMER = ids.CustomerId('rival')
RATE_LIMITS = types.MappingProxyType(
    {'submit_per_s': 100.0, 'submit_burst': 100}
)
CONTRACT_FIELDS = types.MappingProxyType(
    {'weight': 1.0, 'hold': 10, 'queue': 5000}
)
TASK = {'method': 'POST', 'path': '/stamp', 'body_text': 'reprint'}


def make_response(status: int = 200, body: bytes = b'') -> work.Response:
    return work.Response(
        status=status, headers=(), body=body, endpoint=ids.EndpointId('e1')
    )


class FakeRunner:
    """Counts starts; tasks wait while ``start_gate`` is not set."""

    def __init__(self) -> None:
        self.starts: collections.Counter[Any] = collections.Counter()
        self.task_received = asyncio.Event()
        self.start_gate = asyncio.Event()
        self.start_gate.set()
        self.cancelled: set[str] = set()
        self.outcomes: dict[int, Any] = {}

    async def run_job_task(self, *, task: work.Task) -> work.Outcome:
        self.task_received.set()
        await self.start_gate.wait()
        if task.request_id in self.cancelled:
            return work.Refused(problem=executions.cancelled())
        self.starts[task.request_id, task.index] += 1
        outcome = self.outcomes.get(task.index, make_response(body=task.body))
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    run_single = run_job_task

    def cancel(self, *, request_id: ids.RequestId) -> None:
        self.cancelled.add(request_id)

    def waiting(self, *, customer: ids.CustomerId) -> int:
        return 0


class FakeForwarder:
    """Delivers forwarded requests to the processes of one test.

    Every request gets ``fixed_reply`` instead if that is set.
    """

    def __init__(self) -> None:
        self.processes: dict[str, submissions.Submissions] = {}
        self.fixed_reply: forwarding.Reply | None = None
        self.clock = clock.ManualClock(start=1000)

    async def forward(
        self, *, vm: str, payload: bytes, **_: Any
    ) -> forwarding.Reply:
        if self.fixed_reply is not None:
            return self.fixed_reply
        reply = await self.processes[vm].handle(payload)
        return forwarding.Replied(payload=reply)


def make_contract(customer: ids.CustomerId, **terms: Any) -> contracts.Contract:
    digest = hashlib.sha256(f'{customer}-credential'.encode()).hexdigest()
    return contracts.Contract(
        customer=customer,
        credential_sha256=[digest],
        **{**CONTRACT_FIELDS, **RATE_LIMITS, **terms},
    )


def make_version(**terms: Any) -> versions.Version:
    contracts_by_customer = {
        customer: make_contract(customer, **terms)
        for customer in (CUSTOMER, OTHER_CUSTOMER)
    }
    return versions.Version(
        number=ids.VersionNumber(1), digest='', contracts=contracts_by_customer
    )


def make_submissions(
    runner: FakeRunner, forwarder: FakeForwarder, vm: str = 'vm1', **cfg: Any
) -> submissions.Submissions:
    process = submissions.Submissions(
        clock=forwarder.clock,
        rng=random.Random(1),
        vm=ids.VmId(vm),
        incarnation=ids.Incarnation('a1'),
        secret=vm.encode(),
        cfg=submissions.Config(**cfg),
        runner=runner,
        forwarder=forwarder,
        metrics=metrics.Metrics(),
    )
    process.set_version(make_version())
    forwarder.processes[vm] = process
    return process


class SubmissionsTestCase(testtools.TestCase):
    """Base class with two processes; tests run on an event loop."""

    def issue_key(self) -> str:
        reply = self.process.issue_keys(customer=CUSTOMER, body=b'')
        return json.loads(reply.body)['keys'][0]

    async def submit(self, **changes: Any) -> tuple[int, Any]:
        process = changes.pop('process', self.process)
        body = changes.pop('body', TASK)
        arguments = {'customer': CUSTOMER, 'key_text': self.key, **changes}
        arguments.setdefault('kind', work.TaskKind.SINGLE)
        arguments['body'] = json.dumps(body).encode()
        reply = await process.submit(**arguments)
        return reply.status, json.loads(reply.body)

    async def submit_job(self, count: int = 3, **changes: Any) -> Any:
        job = {'tasks': [TASK for _ in range(count)]}
        return await self.submit(kind=work.TaskKind.JOB, body=job, **changes)

    async def call_method(
        self, method: str, process: Any = None, customer: Any = CUSTOMER
    ) -> tuple[int, Any]:
        bound_method = getattr(process or self.process, method)
        reply = await bound_method(customer=customer, key_text=self.key)
        return reply.status, json.loads(reply.body)

    def assert_problem(
        self, reply: tuple[int, Any], code: str, verdict: str, final: bool
    ) -> None:
        document = reply[1]
        self.assertEqual(
            (code, verdict, final),
            (document['code'], document['verdict'], document['final']),
        )
        self.assertEqual(document['status'], reply[0])

    def _run_test_method(self, result: Any) -> Any:
        return asyncio.run(self._run_scenario())

    async def _run_scenario(self) -> None:
        self.listener: Any = None
        self.runner = FakeRunner()
        self.forwarder = FakeForwarder()
        self.process = make_submissions(self.runner, self.forwarder)
        self.other_process = make_submissions(
            FakeRunner(), self.forwarder, vm='vm2'
        )
        self.clock = self.forwarder.clock
        self.key = self.issue_key()
        self.spare_key = self.issue_key()
        await self._get_test_method()()
        if self.listener:
            await self.listener.close()


class KeyTest(SubmissionsTestCase):
    """Tests that a key starts work at most once, for its customer only."""

    async def test_repeated_submission_gets_the_same_reply(self) -> None:
        replies = await asyncio.gather(
            *(self.submit() for _ in range(3)),
            self.submit(process=self.other_process),
        )
        replies += [await self.submit(), await self.call_method('status')]
        self.assertEqual('reprint', replies[0][1]['body_text'])
        self.assertThat(
            {repr(reply) for reply in replies}, matchers.HasLength(1)
        )
        self.assertEqual({(self.key, 0): 1}, self.runner.starts)

    async def test_key_with_another_body_is_refused(self) -> None:
        first = await self.submit()
        refused = await self.submit(body={**TASK, 'path': '/other'})
        self.assert_problem(refused, 'key_reused', 'may_have_run', True)
        self.assertEqual(422, refused[0])
        self.assertEqual(first, await self.submit())
        job = await self.submit_job()
        self.assert_problem(job, 'key_reused', 'may_have_run', True)

    async def test_key_is_unknown_to_other_customers(self) -> None:
        self.runner.start_gate.clear()
        await self.submit_job(wait=False)
        for process in (self.process, self.other_process):
            for method in ('status', 'cancel'):
                reply = await self.call_method(
                    method, process, customer=OTHER_CUSTOMER
                )
                self.assert_problem(reply, 'unknown_key', 'not_run', True)
            replayed = await self.submit_job(
                process=process, customer=OTHER_CUSTOMER
            )
            self.assert_problem(replayed, 'unknown_key', 'not_run', True)
        self.runner.start_gate.set()
        await self.process.wait_until_idle()
        self.assertEqual(200, (await self.call_method('status'))[0])

    async def test_refusal_is_permanent(self) -> None:
        """Guards against "not run" for a key that starts work later."""
        self.process.set_version(make_version(submit_per_s=0.1, submit_burst=1))
        await self.submit(key_text=self.issue_key())
        for _ in range(2):
            refused = await self.submit()
            self.assert_problem(refused, 'rate_limited', 'not_run', True)
            self.process.set_version(make_version())
            self.clock.advance(100)
        self.assertThat(self.runner.starts, matchers.HasLength(1))

    async def test_malformed_missing_and_expired_keys(self) -> None:
        """Guards against work that starts without a valid key."""
        reply = await self.submit(key_text='my-key')
        self.assert_problem(reply, 'malformed_key', 'not_run', True)
        idempotent = {'key_text': None, 'body': {**TASK, 'idempotent': True}}
        for reply in (
            await self.submit(key_text=None),
            await self.submit_job(key_text=None),
            await self.submit(**idempotent, wait=False),
        ):
            self.assert_problem(reply, 'key_required', 'not_run', True)
        self.assertEqual(200, (await self.submit(**idempotent))[0])
        self.clock.advance(901)
        expired = await self.submit()
        self.assert_problem(expired, 'key_expired', 'may_have_run', True)

    async def test_submission_with_unread_body_uses_up_its_key(self) -> None:
        for key_text, verdict in (
            (self.key, verdicts.Verdict.NOT_RUN),
            (self.key, verdicts.Verdict.MAY_HAVE_RUN),
            (None, verdicts.Verdict.NOT_RUN),
        ):
            reply = self.process.refuse(
                customer=CUSTOMER,
                key_text=key_text,
                problem=executions.cancelled(),
            )
            self.assertIs(verdict, reply.verdict)
        reply = await self.submit()
        self.assert_problem(reply, 'cancelled', 'not_run', True)


class CancelTest(SubmissionsTestCase):
    """Tests that cancelled tasks that have not started never start."""

    async def test_cancelled_job_fails(self) -> None:
        self.runner.start_gate.clear()
        await self.submit_job(wait=False)
        await self.runner.task_received.wait()
        status, document = await self.call_method('cancel', self.other_process)
        self.assertEqual((202, True), (status, document['cancelled']))
        self.runner.start_gate.set()
        _, job = await self.submit_job()
        self.assert_failed(job, 'not_run')
        self.assertThat(self.runner.starts, matchers.HasLength(0))

    async def test_job_that_the_runner_cannot_cancel(self) -> None:
        """Guards against a wrong verdict if the runner cancels no task.

        The runner has not received the tasks yet, or they already run.
        """
        for is_received, verdict in ((False, 'not_run'), (True, 'ran')):
            key = self.issue_key()
            await self.submit_job(key_text=key, wait=False)
            if is_received:
                await self.runner.task_received.wait()
            await self.process.cancel(customer=CUSTOMER, key_text=key)
            self.runner.cancelled.clear()
            _, job = await self.submit_job(key_text=key)
            self.assert_failed(job, verdict)
        self.assertThat(self.runner.starts, matchers.HasLength(3))

    def assert_failed(self, job: Any, verdict: str) -> None:
        self.assertEqual('failed', job['state'])
        self.assertEqual({verdict}, {task['verdict'] for task in job['tasks']})

    async def test_cancel_may_precede_the_submission(self) -> None:
        unsubmitted = await self.call_method('status')
        self.assert_problem(unsubmitted, 'not_submitted', 'may_have_run', False)
        for reply in (await self.call_method('cancel'), await self.submit()):
            self.assert_problem(reply, 'cancelled', 'not_run', True)


class ForwardTest(SubmissionsTestCase):
    """Tests that only the issuer of a key reports "not run"."""

    async def test_request_without_its_issuer_may_have_run(self) -> None:
        for fixed_reply, code, final in (
            (forwarding.Gone(), 'minter_gone', True),
            (forwarding.Unreachable(), 'minter_unreachable', False),
            (forwarding.Replied(payload=b'?'), 'minter_unreachable', False),
        ):
            self.forwarder.fixed_reply = fixed_reply
            for reply in (
                await self.submit(process=self.other_process),
                await self.call_method('status', self.other_process),
                await self.call_method('cancel', self.other_process),
            ):
                self.assert_problem(reply, code, 'may_have_run', final)
        old_key = self.key.replace('.a1.', '.b2.')
        reply = await self.submit(key_text=old_key)
        self.assert_problem(reply, 'minter_gone', 'may_have_run', True)

    async def test_too_large_forwards_get_a_problem(self) -> None:
        large = {**TASK, 'body_text': 'x' * (8_388_608 - 4000)}
        reply = await self.submit(process=self.other_process, body=large)
        self.assert_problem(
            reply, 'too_large_to_forward', 'may_have_run', False
        )
        self.runner.outcomes[0] = make_response(body=bytes(8_388_608))
        reply = await self.submit(process=self.other_process)
        self.assert_problem(reply, 'answer_too_large_to_forward', 'ran', True)

    async def test_malformed_forward_has_no_effect(self) -> None:
        request = key_requests.KeyRequest(
            operation=key_requests.Operation.CANCEL,
            customer=CUSTOMER,
            key=self.key,
        )
        complete = key_requests.encode_request(request)
        for size, _ in enumerate(complete):
            for payload in (complete[:size], complete + bytes(size + 1)):
                reply = await self.process.handle(payload)
                verdict = key_requests.decode_reply(reply).verdict
                self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, verdict)
        self.assertEqual(200, (await self.submit())[0])


class ShutdownTest(SubmissionsTestCase):
    """Tests that draining refuses new work and completes the running work."""

    async def test_draining_process_completes_running_work(self) -> None:
        self.runner.start_gate.clear()
        first = asyncio.create_task(self.submit())
        await asyncio.sleep(0)
        for process in (self.process, self.other_process):
            process.drain()
        refused = await self.submit(key_text=self.spare_key)
        self.assert_problem(refused, 'shutting_down', 'not_run', True)
        wait_until_idle = asyncio.create_task(self.process.wait_until_idle())
        await asyncio.sleep(0)
        self.assertFalse(wait_until_idle.done())
        self.runner.start_gate.set()
        await asyncio.gather(wait_until_idle, first)
        self.assertEqual(
            200, (await self.submit(process=self.other_process))[0]
        )

    async def test_disconnected_caller_does_not_cancel(self) -> None:
        self.runner.start_gate.clear()
        for process, key in (
            (self.process, self.key),
            (self.other_process, self.spare_key),
        ):
            submission = self.submit(process=process, key_text=key)
            caller = asyncio.create_task(submission)
            await asyncio.sleep(0)
            caller.cancel()
        state = json.dumps(self.process.state(now=1002))
        self.assertIn('"age_s": 2', state)
        self.assertNotIn('reprint', state)
        self.runner.start_gate.set()
        await self.other_process.wait_until_idle()
        await self.process.wait_until_idle()
        self.assertEqual(
            {(self.key, 0): 1, (self.spare_key, 0): 1}, self.runner.starts
        )

    async def test_overload_is_refused(self) -> None:
        for bounds in ({'max_records': 0}, {'max_running_bytes': 10}):
            self.process = make_submissions(
                self.runner, self.forwarder, **bounds
            )
            reply = await self.submit(key_text=self.issue_key())
            self.assert_problem(reply, 'overloaded', 'not_run', True)
