"""Tests of the contract limits that admission control enforces."""

import json
from typing import Any

import testtools

from sardineproxy.request import admission, work
from tests.request import test_submissions as fakes


class AdmissionTestCase(testtools.TestCase):
    """Base class with an admission control for one contract."""

    def make_admission(self, **terms: Any) -> None:
        self.admission = admission.Admission()
        self.admission.set_version(fakes.make_version(**terms))

    def admit(
        self, tasks: int = 1, now: float = 0, waiting: int = 0, **job: Any
    ) -> Any:
        job['tasks'] = [fakes.TASK for _ in range(tasks)]
        submission = admission.Submission(
            customer=fakes.CUSTOMER,
            kind=work.TaskKind.JOB,
            keyed=True,
            body=json.dumps(job).encode(),
        )
        return self.admission.admit(
            submission=submission, waiting=waiting, now=now
        )

    def refusal_code(self, **arguments: Any) -> str | None:
        admitted = self.admit(**arguments)
        return admitted.err_value.code if admitted.is_err() else None


class RateTest(AdmissionTestCase):
    """Tests of the token bucket, whose rate is divided by the live VMs."""

    def test_burst_then_rate(self) -> None:
        """Guards against a rate or burst that ignores the number of VMs."""
        self.make_admission(submit_per_s=10.0, submit_burst=20)
        self.admission.set_live_vms(2)
        codes = [self.refusal_code() for _ in range(11)]
        self.assertEqual([None, 'rate_limited'], codes[9:])
        refusal = self.admit().err_value
        self.assertEqual(0.2, refusal.retry_after_s)
        self.assertIs(self.refusal_code(now=0.2), None)
        self.assertEqual('rate_limited', self.refusal_code(now=0.2))

    def test_job_larger_than_burst_is_admitted_and_charged(self) -> None:
        """Guards against jobs larger than the burst that are never admitted."""
        self.make_admission(submit_per_s=100.0, submit_burst=10)
        self.assertIs(self.refusal_code(tasks=1700), None)
        self.assertEqual('rate_limited', self.refusal_code(now=16))
        self.assertIs(self.refusal_code(tasks=1700, now=17), None)

    def test_new_version_keeps_the_token_count(self) -> None:
        """Guards against a bucket that is refilled by every new version."""
        self.make_admission(submit_per_s=1.0, submit_burst=1)
        self.refusal_code()
        self.admission.set_version(fakes.make_version(submit_burst=50))
        self.assertEqual('rate_limited', self.refusal_code())


class BoundsTest(AdmissionTestCase):
    """Tests of the queue, job size and deadline limits and of credentials."""

    def test_queue_limit(self) -> None:
        """Guards against jobs above the limit that are never admitted.

        An empty queue admits them.
        """
        self.make_admission(queue=5)
        self.assertIs(self.refusal_code(tasks=2, waiting=3), None)
        self.assertEqual('queue_full', self.refusal_code(tasks=3, waiting=3))
        self.assertIs(self.refusal_code(tasks=9, waiting=0), None)

    def test_contract_limits(self) -> None:
        self.make_admission(max_job_tasks=2, default_deadline_ms=700)
        self.assertEqual('job_too_large', self.refusal_code(tasks=3))
        tasks = self.admit().ok_value.tasks(request_id='r', now=10)
        self.assertEqual(10.7, tasks[0].deadline)
        self.make_admission(max_deadline_ms=10)
        self.assertEqual('deadline_too_long', self.refusal_code(deadline_ms=11))

    def test_refuses_while_draining_and_without_version(self) -> None:
        self.make_admission()
        self.admission.drain()
        self.assertEqual('shutting_down', self.refusal_code())
        self.make_admission()
        self.admission.set_version(None)
        self.assertEqual('not_ready', self.refusal_code())

    def test_credential_selects_the_contract_with_its_hash(self) -> None:
        """Guards against a wrong customer and exceptions on lone surrogates."""
        self.make_admission()
        for credential, expected in (
            ('warm-credential', fakes.CUSTOMER),
            ('rival-credential', fakes.OTHER_CUSTOMER),
            ('', None),
            ('\udcff', None),
        ):
            authenticated = self.admission.authenticate(
                credential=credential
            ).ok()
            self.assertEqual(expected, authenticated)
