"""Short hunts of the emulator, and the checks of their runs."""

import testtools

from sardineproxy import ids
from sardineproxy.emulator import hunt, rules
from sardineproxy.process.shards import workers
from sardineproxy.request import jobs
from sardineproxy.standin import worker_model

SEEDS = range(1, 7)


class TestHunt(testtools.TestCase):
    def test_no_rule_is_broken_under_random_faults(self) -> None:
        """Guards against a sequence of faults that breaks a guarantee."""
        for seed in SEEDS:
            report = hunt.hunt(seed)
            self.assertEqual((), report.violations, report.faults)
            self.assertLess(0, report.accepted)

    def test_hunt_repeats(self) -> None:
        """Guards against a violation that its seed does not show again."""
        self.assertEqual(hunt.hunt(1), hunt.hunt(1))


class TestRules(testtools.TestCase):
    def test_start_after_the_end_of_a_job_is_found(self) -> None:
        """Guards against a check that cannot fail."""
        job = ids.JobId('a1')
        record = make_record(started_at=10)
        for ended_at, expected in ((8.9, 1), (9.1, 0)):
            found = rules.find_late_starts(
                [record], {job: ended_at}, 1, 'was completed'
            )
            self.assertEqual(expected, len(found))

    def test_run_of_a_refused_job_is_found(self) -> None:
        """Guards against a check that cannot fail."""
        record = make_record(started_at=10)
        for refused_at, expected in ((9, 1), (13.9, 1), (14.1, 0)):
            found = rules.find_refused_runs(
                [record], {ids.JobId('a1'): refused_at}
            )
            self.assertEqual(expected, len(found))


def make_record(*, started_at: float) -> worker_model.RunRecord:
    return worker_model.RunRecord(
        task=workers.TaskName('a1.0.0.0'),
        run=1,
        worker='w0',
        started_at=started_at,
        resources=jobs.NO_RESOURCES,
    )
