"""Tests of decoding settings, worker entries, configurations and jobs."""

import json
from typing import Any

import hypothesis
import result
import testtools
from hypothesis import strategies
from testtools import matchers

from sardineproxy.platform import (
    configuration,
    evacuations,
    worker_entries,
    settings,
    submissions,
)
from sardineproxy.process import store
from sardineproxy.process.shards import workers
from sardineproxy.request import jobs
from tests import examples
from tests.platform import samples

JOB_ID = '5c0e7a21d94b36f8'

_json = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ('spec', 'steps', 'count', 'cpu', 'version', 'routes', 'state')
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def _row(document: Any, key: str = 'servers/i-1') -> store.Row:
    body = json.dumps(document).encode()
    return store.Row(key=key, revision=1, body=body)


def _decode_job(document: Any) -> Any:
    return submissions.decode_job(JOB_ID, json.dumps(document).encode())


class TestColdWorkers(testtools.TestCase):
    def test_cold_time_may_be_absent(self) -> None:
        """Guards against a worker that is not used on such a platform."""
        entry = samples.worker_entry(cold_left_ms=2500)
        self.assertEqual(
            2.5, worker_entries.decode(_row(entry)).ok_value.cold_left_s
        )
        entry.pop('cold_left_ms')
        self.assertEqual(
            0, worker_entries.decode(_row(entry)).ok_value.cold_left_s
        )


class TestEvacuations(testtools.TestCase):
    def test_row_names_a_zone_whatever_its_value(self) -> None:
        """Guards against an evacuation that is missed for its value."""
        for body in (b'', b'{}', b'\xff'):
            row = store.Row(key='op/evacuate/z1', revision=1, body=body)
            self.assertEqual('z1', evacuations.parse_zone(row))

    def test_other_rows_evacuate_nothing(self) -> None:
        """Guards against a configuration that is taken for a zone."""
        for key in ('op/config', 'op/evacuate/', 'op/evacuate/\n', 'op/x/z1'):
            row = store.Row(key=key, revision=1, body=b'')
            self.assertIsNone(evacuations.parse_zone(row))


class TestSettings(testtools.TestCase):
    def test_times_and_shares_are_converted_to_their_units(self) -> None:
        """Guards against milliseconds that are interpreted as seconds."""
        cfg = settings.decode(samples.SETTINGS.encode()).ok_value
        self.assertEqual(('z1', 'z2'), cfg.zones)
        self.assertEqual(1, cfg.cores)
        self.assertEqual(2, cfg.bounds.config_apply_s)
        self.assertEqual(0.05, cfg.bounds.stop_timeout_s)
        self.assertEqual('127.0.0.1:8166', str(cfg.peers))

    def test_bounds_of_an_evacuation_may_be_absent(self) -> None:
        """Guards against a start that fails on a platform without them."""
        bounds = settings.decode(samples.SETTINGS.encode()).ok_value.bounds
        self.assertIsNone(bounds.evacuate_s)
        self.assertEqual(1, bounds.cold_overage)
        text = samples.SETTINGS.replace(
            '[bounds]', '[bounds]\nevacuate_ms = 5000\ncold_overage = 1.5'
        )
        bounds = settings.decode(text.encode()).ok_value.bounds
        self.assertEqual(5, bounds.evacuate_s)
        self.assertEqual(1.5, bounds.cold_overage)

    def test_missing_field_is_named(self) -> None:
        """Guards against an error that does not identify the wrong setting."""
        text = samples.SETTINGS.replace('grace_s = 6', '')
        error = settings.decode(text.encode()).err_value
        self.assertThat(error, matchers.Contains('grace_s'))

    def test_invalid_toml_is_an_error(self) -> None:
        """Guards against an exception while the file is being written."""
        decoded = settings.decode(b'node = "edge')
        self.assertIsInstance(decoded, result.Err)


class TestWorkerEntries(testtools.TestCase):
    def test_entry_is_decoded_to_a_worker(self) -> None:
        """Guards against confused units or states."""
        worker = worker_entries.decode(
            _row(samples.worker_entry(state='draining'))
        ).ok_value
        self.assertEqual('i-1', worker.worker)
        self.assertEqual(32_000, worker.capacity.millicores)
        self.assertEqual(workers.WorkerState.DRAINING, worker.state)
        self.assertEqual(1_700_000_000_000, worker.started_ms)

    def test_malformed_entries_are_errors(self) -> None:
        """Guards against orders to a worker that does not exist.

        Other programs may write malformed entries to the table.
        """
        for changes in (
            {'state': 'asleep'},
            {'service': 4},
            {'address': 'nowhere'},
            {'capacity': None},
            {'labels': 'a'},
        ):
            decoded = worker_entries.decode(
                _row(samples.worker_entry(**changes))
            )
            self.assertIsInstance(decoded, result.Err, changes)

    @hypothesis.given(strategies.binary(max_size=40))
    @examples.settings()
    def test_random_bytes_are_an_error(self, body: bytes) -> None:
        """Guards against an entry whose contents terminate the process."""
        decoded = worker_entries.decode(
            store.Row(key='servers/i-1', revision=1, body=body)
        )
        self.assertIsInstance(decoded, result.Err)


class TestConfiguration(testtools.TestCase):
    def test_longest_prefix_of_the_host_is_found(self) -> None:
        """Guards against running a job under a less specific route."""
        body = samples.configuration(
            7,
            samples.route(name='short', path_prefix='/a/'),
            samples.route(name='long', path_prefix='/a/b/'),
            samples.route(name='other', host='b.example', path_prefix='/a/'),
        )
        table = configuration.decode(body).ok_value
        self.assertEqual('long', table.find('a.example', '/a/b/1').route)
        self.assertEqual('short', table.find('a.example', '/a/c').route)
        self.assertEqual('other', table.find('b.example', '/a/b/1').route)
        self.assertIsNone(table.find('a.example', '/b/'))

    def test_error_names_the_route(self) -> None:
        """Guards against an error that does not say which route is invalid."""
        body = samples.configuration(7, samples.route(max_attempts='many'))
        error = configuration.decode(body).err_value
        self.assertThat(error, matchers.Contains('route r-1: max_attempts'))

    @hypothesis.given(_json)
    @examples.settings()
    def test_any_document_is_decoded_or_an_error(self, document: Any) -> None:
        """Guards against a configuration version that terminates the process."""
        configuration.decode(json.dumps(document).encode())


class TestSubmissions(testtools.TestCase):
    def test_job_is_decoded(self) -> None:
        """Guards against resources and times in wrong units."""
        job = _decode_job(samples.job()).ok_value
        self.assertEqual(
            jobs.Step(
                count=2,
                resources=jobs.Resources(
                    millicores=14_000, memory_mb=64, gpus=0
                ),
                estimate_s=0.2,
            ),
            job.steps[0],
        )

    def test_job_that_is_not_burstable_is_stored(self) -> None:
        """Guards against accepted jobs that are lost when a process ends.

        Only jobs that are not burstable survive the process that accepted
        them.
        """
        self.assertFalse(_decode_job(samples.job()).ok_value.stored)
        document = samples.job(burstable=False)
        self.assertTrue(_decode_job(document).ok_value.stored)

    def test_placement_preferences_are_decoded(self) -> None:
        """Guards against ignoring affinity and anti-affinity.

        Tasks would run far from their data, or too many on one worker.
        """
        step = {'count': 1, 'affinity': 'r1-3', 'anti_affinity': 2}
        decoded = _decode_job(samples.job(steps=[step])).ok_value.steps[0]
        self.assertEqual(('r1-3', 2), (decoded.rack, decoded.per_worker))

    def test_unsupported_feature_is_named(self) -> None:
        """Guards against running a job without a feature that it requests."""
        for feature, document in (
            ('daemon', samples.job(steps=[{'count': 1, 'daemon': True}])),
            ('times', samples.job(times=3)),
            ('gang', samples.job(steps=[{'count': 1, 'gang': True}])),
        ):
            error = _decode_job(document).err_value
            self.assertEqual(submissions.Unsupported(feature=feature), error)

    def test_invalid_jobs_are_malformed(self) -> None:
        """Guards against running jobs with invalid or missing steps."""
        for document in (
            samples.job(steps=[]),
            samples.job(steps=[{'count': 1, 'after': [0]}]),
            samples.job(spec='x' * 4001),
            samples.job(steps=[{'count': 20_000}]),
            samples.job(steps=[{'count': -1}]),
            ['not', 'a', 'job'],
        ):
            error = _decode_job(document).err_value
            self.assertIsInstance(error, submissions.Malformed, document)

    def test_job_without_a_valid_id_is_malformed(self) -> None:
        """Guards against task names that the worker cannot parse.

        A task's name contains the id of its job.
        """
        body = json.dumps(samples.job()).encode()
        for name in ('', 'ABCDEF0123456789', JOB_ID[1:], f'{JOB_ID}/x'):
            decoded = submissions.decode_job(name, body)
            self.assertIsInstance(decoded, result.Err, name)

    @hypothesis.given(_json)
    @examples.settings()
    def test_any_document_is_a_job_or_an_error(self, document: Any) -> None:
        """Guards against an exception while a client's request is decoded."""
        self.assertIsInstance(_decode_job(document), (result.Ok, result.Err))

    def test_deep_nesting_is_malformed(self) -> None:
        """Guards against a recursion error in the JSON parser."""
        body = b'[' * 100_000
        error = submissions.decode_job(JOB_ID, body).err_value
        self.assertIsInstance(error, submissions.Malformed)

    def test_outcomes_map_to_status_codes(self) -> None:
        """Guards against reporting a job as refused that may have run."""
        expected = {
            200: (jobs.Completed(), jobs.Failed(detail='')),
            503: (jobs.NotRun(detail='', retry_after_s=0.2),),
            504: (jobs.GivenUp(detail=''),),
        }
        for status, outcomes in expected.items():
            for outcome in outcomes:
                reply = submissions.encode_outcome(outcome)
                self.assertEqual(status, reply.status)

    def test_refusal_has_retry_after_header(self) -> None:
        """Guards against clients that retry immediately after a refusal."""
        self.assertEqual(
            {'Retry-After': '1'}, submissions.make_refusal(0.2).headers
        )
        self.assertEqual(
            {'Retry-After': '3'}, submissions.make_refusal(2.1).headers
        )
