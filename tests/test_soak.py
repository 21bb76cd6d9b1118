"""A short run of the soak, and what its checks find."""

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
from tests.soak import checks, play, trace

#: Seed and size of the run in CI.
SEED = 7
SIZE = play.Size(vms=3, workers=4, clients=3, faults=6, length_s=5)

JOB = '00000000000000a1'
TASK = f'{JOB}.0.0.0'


class _Worker:
    """A worker that ran what a test says."""

    def __init__(self) -> None:
        self.name = 'w0'
        self.server = self
        self.payloads: dict[str, str] = {}
        self.model = worker_model.WorkerModel(
            worker=samples.make_worker(), work_of=samples.typical_work
        )

    def ran(
        self,
        task: str = TASK,
        begin: float = 10,
        result: workers.RunResult = workers.RunResult.DONE,
    ) -> None:
        self.model.records.append(
            worker_model.RunRecord(
                task=workers.TaskName(task),
                run=len(self.model.records) + 1,
                worker='w0',
                started_at=begin,
                ended_at=begin + 0.2,
                result=result,
                resources=samples.make_worker().capacity,
            )
        )


class _Fleet:
    """What the checks read of a deployment."""

    def __init__(self) -> None:
        self.trace = trace.Trace()
        self.vms = ('vm0',)
        self.worker = _Worker()
        self.trace.jobs[JOB] = trace.SentJob(payload='text', tasks=1)
        self.trace.versions[1] = 0

    def all_workers(self) -> list[_Worker]:
        return [self.worker]

    def find_worker(self, name: str) -> _Worker:
        return self.worker

    def store(self, state: str) -> None:
        """Accept the job as a stored one, which is last seen in a state."""
        self.trace.jobs[JOB].is_stored = True
        self.trace.jobs[JOB].state = state
        self.answer(state='queued')

    def answer(self, **changes: Any) -> None:
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

    def show(self, version: int, at: float, start: int = 1) -> None:
        self.trace.sightings.append(
            trace.Sighting(
                vm='vm0', start=start, asked_at=at, at=at, version=version
            )
        )

    def complaints(self) -> list[str]:
        return checks.find_complaints(self)  # type: ignore[arg-type]


class TestRun(testtools.TestCase):
    def test_short_run_keeps_all_promises(self) -> None:
        """Guards against a node that fails as soon as faults overlap."""
        with tempfile.TemporaryDirectory() as name:
            report = asyncio.run(play.play(SEED, SIZE, pathlib.Path(name)))
        self.assertEqual([], report.complaints, report.plan)

    def test_cases_are_seeds(self) -> None:
        """Guards against a list of cases that cannot be run."""
        self.assertThat(
            soak.read_cases(), matchers.AllMatch(matchers.IsInstance(int))
        )


class TestChecks(testtools.TestCase):
    """Guards against checks that cannot fail."""

    def test_sound_run_has_no_complaints(self) -> None:
        around = _Fleet()
        around.worker.ran()
        around.answer()
        around.show(1, at=10)
        self.assertEqual([], around.complaints())

    def test_refused_job_that_started_is_found(self) -> None:
        around = _Fleet()
        around.worker.ran()
        around.answer(status=503, state='')
        self.assertThat(around.complaints()[0], matchers.Contains('refused'))

    def test_completed_job_without_all_tasks_is_found(self) -> None:
        around = _Fleet()
        around.worker.ran(result=workers.RunResult.STOPPED)
        around.answer()
        self.assertThat(around.complaints()[0], matchers.Contains('completed'))

    def test_two_runs_at_a_time_are_found(self) -> None:
        around = _Fleet()
        around.worker.ran(begin=10)
        around.worker.ran(begin=10.1)
        self.assertThat(around.complaints()[0], matchers.Contains('same time'))

    def test_other_payload_is_found(self) -> None:
        around = _Fleet()
        around.worker.payloads[TASK] = 'other'
        self.assertThat(around.complaints()[0], matchers.Contains('other'))

    def test_missing_answer_of_a_calm_vm_is_found(self) -> None:
        around = _Fleet()
        around.answer(status=None, state='', cause='no answer in time')
        self.assertThat(around.complaints()[0], matchers.Contains('no answer'))

    def test_missing_answer_of_a_frozen_vm_is_allowed(self) -> None:
        around = _Fleet()
        around.trace.disturb('vm0', 'freeze', 10.1)
        around.answer(status=None, state='', cause='no answer in time')
        self.assertEqual([], around.complaints())

    def test_request_cut_off_by_a_shutdown_is_found(self) -> None:
        around = _Fleet()
        around.trace.terms.append(('vm0', 10.1))
        around.answer(status=None, state='', cause='ServerDisconnectedError')
        self.assertThat(around.complaints()[0], matchers.Contains('cut off'))

    def test_version_that_goes_back_is_found(self) -> None:
        around = _Fleet()
        around.trace.versions[2] = 100
        around.show(2, at=100.5)
        around.show(1, at=100.6)
        self.assertThat(around.complaints()[0], matchers.Contains('went back'))

    def test_restarted_vm_may_show_an_older_version(self) -> None:
        around = _Fleet()
        around.trace.versions[2] = 100
        around.show(2, at=100.5)
        around.show(1, at=100.6, start=2)
        self.assertEqual([], around.complaints())

    def test_version_that_is_late_is_found(self) -> None:
        around = _Fleet()
        around.trace.versions[2] = 100
        around.show(1, at=104)
        self.assertThat(around.complaints()[0], matchers.Contains('not 2'))

    def test_start_on_a_draining_worker_is_found(self) -> None:
        around = _Fleet()
        around.trace.note_draining('w0', 'zone-0', 5)
        around.worker.ran(begin=9)
        self.assertThat(around.complaints()[0], matchers.Contains('draining'))

    def test_accepted_job_that_is_lost_is_found(self) -> None:
        around = _Fleet()
        around.store('')
        self.assertThat(around.complaints()[0], matchers.Contains('not known'))

    def test_job_that_nobody_cancelled_is_found(self) -> None:
        around = _Fleet()
        around.store('cancelled')
        self.assertThat(around.complaints()[0], matchers.Contains('cancelled'))

    def test_stored_job_without_all_tasks_is_found(self) -> None:
        around = _Fleet()
        around.store('completed')
        self.assertThat(around.complaints()[0], matchers.Contains('completed'))

    def test_repeated_task_of_a_stored_job_is_found(self) -> None:
        around = _Fleet()
        around.store('completed')
        around.worker.ran(begin=10)
        around.worker.ran(begin=12)
        around.worker.model.records[0].acked_at = 10.5
        self.assertThat(around.complaints()[0], matchers.Contains('after'))
