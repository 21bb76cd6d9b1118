"""A short run of the soak test, and tests of its checks."""

import asyncio
import pathlib
import tempfile
from typing import Any

import testtools
from testtools import matchers

from sardineproxy.process.shards import workers
from sardineproxy.standin import worker_model
from tests.process.shards import samples
from tests.soak import __main__ as soak
from tests.soak import checks, soak_run, trace

#: Seed and size of the run in CI.
SEED = 7
SIZE = soak_run.Size(vms=3, workers=4, clients=3, faults=6, length_s=5)

JOB = '00000000000000a1'
TASK = f'{JOB}.0.0.0'


class _Worker:
    """A worker with the runs that a test adds."""

    def __init__(self) -> None:
        self.name = 'w0'
        self.server = self
        self.payloads: dict[str, str] = {}
        self.model = worker_model.WorkerModel(
            worker=samples.make_worker(), work_of=samples.typical_work
        )

    def add_run(
        self,
        task: str = TASK,
        started_at: float = 10,
        result: workers.RunResult = workers.RunResult.DONE,
    ) -> None:
        self.model.records.append(
            worker_model.RunRecord(
                task=workers.TaskName(task),
                run=len(self.model.records) + 1,
                worker='w0',
                started_at=started_at,
                ended_at=started_at + 0.2,
                result=result,
                resources=samples.make_worker().capacity,
            )
        )


class _Fleet:
    """The parts of a deployment that the checks read."""

    def __init__(self) -> None:
        self.trace = trace.Trace()
        self.vms = ('vm0',)
        self.worker = _Worker()
        self.trace.jobs[JOB] = trace.SubmittedJob(payload='text', tasks=1)
        self.trace.version_times[1] = 0

    def all_workers(self) -> list[_Worker]:
        return [self.worker]

    def find_worker(self, name: str) -> _Worker:
        return self.worker

    def accept_stored_job(self, state: str) -> None:
        """Accept the job as a stored one, with ``state`` as its last state."""
        self.trace.jobs[JOB].is_stored = True
        self.trace.jobs[JOB].state = state
        self.add_attempt(state='queued')

    def add_attempt(self, **changes: Any) -> None:
        fields: dict[str, Any] = {
            'job': JOB,
            'vm': 'vm0',
            'sent_at': 10,
            'wait_s': 2.5,
            'ended_at': 10.3,
            'status': 200,
            'state': 'completed',
        }
        self.trace.attempts[JOB].append(trace.Attempt(**{**fields, **changes}))

    def observe_version(self, version: int, at: float, start: int = 1) -> None:
        self.trace.version_observations.append(
            trace.VersionObservation(
                vm='vm0',
                start=start,
                requested_at=at,
                replied_at=at,
                version=version,
            )
        )

    def violations(self) -> list[str]:
        return checks.find_violations(self)  # type: ignore[arg-type]


class TestRun(testtools.TestCase):
    def test_short_run_has_no_violations(self) -> None:
        """Guards against a node that fails when several faults overlap."""
        with tempfile.TemporaryDirectory() as name:
            report = asyncio.run(soak_run.run(SEED, SIZE, pathlib.Path(name)))
        self.assertEqual([], report.violations, report.plan)

    def test_cases_are_valid_seeds(self) -> None:
        """Guards against a list of cases that cannot be parsed."""
        self.assertThat(
            soak.read_cases(), matchers.AllMatch(matchers.IsInstance(int))
        )


class TestChecks(testtools.TestCase):
    """Guards against checks that never report a violation."""

    def test_correct_run_has_no_violations(self) -> None:
        fleet = _Fleet()
        fleet.worker.add_run()
        fleet.add_attempt()
        fleet.observe_version(1, at=10)
        self.assertEqual([], fleet.violations())

    def test_refused_job_that_started_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.worker.add_run()
        fleet.add_attempt(status=503, state='')
        self.assertThat(fleet.violations()[0], matchers.Contains('refused'))

    def test_completed_job_without_all_tasks_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.worker.add_run(result=workers.RunResult.STOPPED)
        fleet.add_attempt()
        self.assertThat(fleet.violations()[0], matchers.Contains('completed'))

    def test_two_simultaneous_runs_are_reported(self) -> None:
        fleet = _Fleet()
        fleet.worker.add_run(started_at=10)
        fleet.worker.add_run(started_at=10.1)
        self.assertThat(fleet.violations()[0], matchers.Contains('same time'))

    def test_other_payload_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.worker.payloads[TASK] = 'other'
        self.assertThat(fleet.violations()[0], matchers.Contains('other'))

    def test_missing_reply_of_an_undisturbed_vm_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.add_attempt(status=None, state='', cause='no reply in time')
        self.assertThat(fleet.violations()[0], matchers.Contains('no reply'))

    def test_missing_reply_of_a_frozen_vm_is_allowed(self) -> None:
        fleet = _Fleet()
        fleet.trace.record_disturbance('vm0', 'freeze', 10.1)
        fleet.add_attempt(status=None, state='', cause='no reply in time')
        self.assertEqual([], fleet.violations())

    def test_request_cut_off_by_a_shutdown_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.trace.terminations.append(('vm0', 10.1))
        fleet.add_attempt(
            status=None, state='', cause='ServerDisconnectedError'
        )
        self.assertThat(fleet.violations()[0], matchers.Contains('cut off'))

    def test_version_rollback_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.trace.version_times[2] = 100
        fleet.observe_version(2, at=100.5)
        fleet.observe_version(1, at=100.6)
        self.assertThat(fleet.violations()[0], matchers.Contains('went back'))

    def test_restarted_vm_may_have_an_older_version(self) -> None:
        fleet = _Fleet()
        fleet.trace.version_times[2] = 100
        fleet.observe_version(2, at=100.5)
        fleet.observe_version(1, at=100.6, start=2)
        self.assertEqual([], fleet.violations())

    def test_late_version_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.trace.version_times[2] = 100
        fleet.observe_version(1, at=104)
        self.assertThat(fleet.violations()[0], matchers.Contains('not 2'))

    def test_start_on_a_draining_worker_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.trace.record_drain_notice('w0', 'zone-0', 5)
        fleet.worker.add_run(started_at=9)
        self.assertThat(fleet.violations()[0], matchers.Contains('draining'))

    def test_lost_accepted_job_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.accept_stored_job('')
        self.assertThat(fleet.violations()[0], matchers.Contains('not known'))

    def test_cancellation_without_a_request_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.accept_stored_job('cancelled')
        self.assertThat(fleet.violations()[0], matchers.Contains('cancelled'))

    def test_stored_job_without_all_tasks_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.accept_stored_job('completed')
        self.assertThat(fleet.violations()[0], matchers.Contains('completed'))

    def test_repeated_task_of_a_stored_job_is_reported(self) -> None:
        fleet = _Fleet()
        fleet.accept_stored_job('completed')
        fleet.worker.add_run(started_at=10)
        fleet.worker.add_run(started_at=12)
        fleet.worker.model.records[0].acked_at = 10.5
        self.assertThat(fleet.violations()[0], matchers.Contains('after'))
