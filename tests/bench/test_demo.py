"""The demo reports incorrect replies, and accepts correct ones."""

import asyncio

import testtools
from testtools import matchers

from sardineproxy.demo import core, tasks

FAKE_MODULE = 'tests.bench.fakes'
TASK = tasks.Task(label='a', run_ms=1, body='x')


class DemoTest(testtools.TestCase):
    """Guards against a demo that passes or fails regardless of the replies."""

    def test_accepts_correct_replies(self) -> None:
        errors = asyncio.run(core.run(count=20, seed=1, module=FAKE_MODULE))
        self.assertThat(errors, matchers.Equals([]))

    def test_reports_incorrect_task_results(self) -> None:
        other_task_body = '{"task": "b", "body_sha256": ""}'
        for task_result, expected in (
            ({'verdict': 'not_run', 'code': 'late'}, 'verdict not_run (late)'),
            ({'verdict': 'ran', 'status': 500}, 'status 500'),
            (
                {'verdict': 'ran', 'status': 200, 'body_text': '{"'},
                'not valid JSON',
            ),
            (
                {'verdict': 'ran', 'status': 200, 'body_text': other_task_body},
                'another',
            ),
        ):
            error = TASK.find_error(task_result)
            self.assertThat(error, matchers.Contains(expected))
            job_reply = {'state': 'complete', 'tasks': [task_result]}
            error = tasks.find_job_error((TASK,), job_reply)
            self.assertThat(error, matchers.Contains(expected))

    def test_reports_job_with_missing_results(self) -> None:
        job_reply = {'state': 'complete', 'tasks': []}
        error = tasks.find_job_error((TASK,), job_reply)
        self.assertThat(error, matchers.Equals('0 outcomes for 1 tasks'))
