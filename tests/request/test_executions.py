"""Tests of job execution and of the verdicts in job replies."""

import asyncio
from typing import Any

from testtools import matchers

from sardineproxy import problems
from sardineproxy.request import executions, work
from tests.request import test_submissions as fakes

REFUSED = work.Refused(problem=executions.cancelled())
UNKNOWN = work.OutcomeUnknown(
    problem=problems.outcome_unknown(code='reset', status=504, detail='Reset.')
)


class JobTest(fakes.SubmissionsTestCase):
    """Guards against incomplete jobs that are reported as complete."""

    async def run_job(self, outcomes: dict[int, Any], count: int = 2) -> Any:
        self.runner.outcomes = outcomes
        _, document = await self.submit_job(count, key_text=self.issue_key())
        return document

    async def test_state_and_verdict_follow_from_task_outcomes(self) -> None:
        for outcomes, state, verdict in (
            ({}, 'complete', 'ran'),
            ({0: fakes.make_response(500)}, 'failed', 'ran_and_failed'),
            ({0: REFUSED}, 'failed', 'ran_and_failed'),
            ({0: REFUSED, 1: REFUSED}, 'failed', 'not_run'),
            ({0: UNKNOWN, 1: REFUSED}, 'failed', 'may_have_run'),
            ({0: ValueError('fault')}, 'failed', 'may_have_run'),
        ):
            document = await self.run_job(outcomes)
            self.assertEqual(
                (state, verdict), (document['state'], document['verdict'])
            )
            self.assertThat(document['tasks'], matchers.HasLength(2))

    async def test_binary_body_is_returned_as_base64(self) -> None:
        outcome = fakes.make_response(body=b'\xff')
        task = (await self.run_job({1: outcome}))['tasks'][1]
        self.assertEqual('/w==', task['body_base64'])

    async def test_largest_job_runs_each_task_once(self) -> None:
        document = await self.run_job({}, count=1700)
        self.assertEqual('complete', document['state'])
        self.assertThat(self.runner.starts, matchers.HasLength(1700))
        self.assertEqual({1}, set(self.runner.starts.values()))

    async def test_too_large_responses_fail_the_job(self) -> None:
        large = fakes.make_response(
            body=bytes(executions.MAX_JOB_RESPONSE_BYTES // 2 + 1)
        )
        document = await self.run_job({0: large, 1: large})
        self.assertEqual('failed', document['state'])
        oversized = document['tasks'][1]
        self.assertEqual(
            ('ran', 'answers_too_large'),
            (oversized['verdict'], oversized['problem']['code']),
        )

    async def test_rendering_failure_gets_a_reply(self) -> None:
        """Guards against callers that wait forever.

        An exception while the reply is rendered must not leave them without
        a reply.
        """
        self.runner.outcomes[0] = fakes.make_response(status=b'fault')
        reply = await self.submit()
        self.assert_problem(reply, 'internal_error', 'may_have_run', True)

    async def test_tasks_count_as_waiting_immediately(self) -> None:
        """Guards against admitting a second job beyond the queue limit.

        The second job is admitted if the tasks of the first one count as
        waiting only after they have been passed to the runner.
        """
        self.process.set_version(fakes.make_version(queue=5))
        replies = await asyncio.gather(
            self.submit_job(4), self.submit_job(4, key_text=self.spare_key)
        )
        self.assertEqual([200, 429], [status for status, _ in replies])
