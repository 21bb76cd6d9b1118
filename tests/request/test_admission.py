"""Tests of the limits that admission control takes from the contracts."""

import json
from typing import Any

import testtools

from sardineproxy.request import admission, work
from tests.request import test_submissions as fakes


class AdmissionTestCase(testtools.TestCase):
    """Base class with an admission control for one contract."""

    def make(self, **terms: Any) -> None:
        self.admission = admission.Admission()
        self.admission.set_version(fakes.make_version(**terms))

    def admit(
        self, tasks: int = 1, now: float = 0, waiting: int = 0, **job: Any
    ) -> Any:
        job['tasks'] = [fakes.TASK for _ in range(tasks)]
        submission = admission.Submission(
            customer=fakes.WARM,
            kind=work.TaskKind.JOB,
            keyed=True,
            body=json.dumps(job).encode(),
        )
        return self.admission.admit(
            submission=submission, waiting=waiting, now=now
        )

    def code(self, **arguments: Any) -> str | None:
        admitted = self.admit(**arguments)
        return admitted.err_value.code if admitted.is_err() else None


class RateTest(AdmissionTestCase):
    """Tests of the token bucket, whose rate is divided by the live VMs."""

    def test_burst_then_rate(self) -> None:
        """Guards against a rate or burst that ignores the number of VMs."""
        self.make(submit_per_s=10.0, submit_burst=20)
        self.admission.set_live_vms(2)
        codes = [self.code() for _ in range(11)]
        self.assertEqual([None, 'rate_limited'], codes[9:])
        refusal = self.admit().err_value
        self.assertEqual(0.2, refusal.retry_after_s)
        self.assertIs(self.code(now=0.2), None)
        self.assertEqual('rate_limited', self.code(now=0.2))

    def test_job_larger_than_burst_is_admitted_and_charged(self) -> None:
        """Guards against jobs larger than the burst that are never admitted."""
        self.make(submit_per_s=100.0, submit_burst=10)
        self.assertIs(self.code(tasks=1700), None)
        self.assertEqual('rate_limited', self.code(now=16))
        self.assertIs(self.code(tasks=1700, now=17), None)

    def test_new_version_keeps_the_token_count(self) -> None:
        """Guards against a bucket that every new version fills up."""
        self.make(submit_per_s=1.0, submit_burst=1)
        self.code()
        self.admission.set_version(fakes.make_version(submit_burst=50))
        self.assertEqual('rate_limited', self.code())


class BoundsTest(AdmissionTestCase):
    """Tests of the queue, job size and deadline limits and of credentials."""

    def test_queue_limit(self) -> None:
        """Guards against a job above the limit that an empty queue refuses."""
        self.make(queue=5)
        self.assertIs(self.code(tasks=2, waiting=3), None)
        self.assertEqual('queue_full', self.code(tasks=3, waiting=3))
        self.assertIs(self.code(tasks=9, waiting=0), None)

    def test_contract_limits(self) -> None:
        self.make(max_job_tasks=2, default_deadline_ms=700)
        self.assertEqual('job_too_large', self.code(tasks=3))
        tasks = self.admit().ok_value.tasks(request_id='r', now=10)
        self.assertEqual(10.7, tasks[0].deadline)
        self.make(max_deadline_ms=10)
        self.assertEqual('deadline_too_long', self.code(deadline_ms=11))

    def test_refuses_while_draining_and_without_version(self) -> None:
        self.make()
        self.admission.drain()
        self.assertEqual('shutting_down', self.code())
        self.make()
        self.admission.set_version(None)
        self.assertEqual('not_ready', self.code())

    def test_credential_selects_the_contract_with_its_hash(self) -> None:
        """Guards against a wrong customer and failures on lone surrogates."""
        self.make()
        for credential, expected in (
            ('warm-credential', fakes.WARM),
            ('rival-credential', fakes.RIVAL),
            ('', None),
            ('\udcff', None),
        ):
            authenticated = self.admission.authenticate(
                credential=credential
            ).ok()
            self.assertEqual(expected, authenticated)
