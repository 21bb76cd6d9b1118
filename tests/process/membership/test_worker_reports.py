"""Reports of leaders on their workers, and what a successor learns of them."""

import dataclasses
import json
from typing import Any

import testtools

from sardineproxy import ids
from sardineproxy.connection import messages
from sardineproxy.platform import worker_entries
from sardineproxy.process import metrics, store
from sardineproxy.process.membership import (
    registry,
    worker_list,
    worker_reports,
)
from sardineproxy.process.shards import workers
from tests.platform import samples
from tests.process.shards import samples as shard_samples

SHARD = ids.ShardId('z1')
OTHER = ids.ShardId('z2')
PROCESS = ids.VmId('vm-1'), ids.Incarnation('a')
UNLISTED = shard_samples.make_worker('w9', zone=ids.ZoneId('z1'))


def make_report(**changes: Any) -> worker_reports.WorkerReport:
    fields: dict[str, Any] = {
        'list_revision': 10,
        'is_complete': True,
        'unlisted': (UNLISTED,),
    }
    return worker_reports.WorkerReport(**{**fields, **changes})


def make_heartbeat(
    *reports: worker_reports.WorkerReport, epoch: int = 3
) -> messages.Heartbeat:
    """Return the heartbeat of a leader of ``OTHER`` and ``SHARD``."""
    worker_lists, unlisted = worker_reports.encode(reports)
    return messages.Heartbeat(
        version=1,
        shards=((OTHER, epoch, 0, 0, True), (SHARD, epoch, 0, 0, True)),
        pending=(),
        worker_lists=worker_lists,
        unlisted=unlisted,
    )


def make_claim(epoch: int = 3, vm: str = 'vm-1') -> registry.Claim:
    return registry.Claim(
        cell=SHARD,
        epoch=epoch,
        owner=(ids.VmId(vm), ids.Incarnation('a')),
        heirs=(),
        revision=1,
    )


def make_list(*removed: tuple[str, int]) -> worker_list.WorkerList:
    """Return a list read at revision 5 from which workers were removed."""
    listed = worker_list.WorkerList(
        worker_id=worker_entries.parse_worker_id,
        decode=worker_entries.decode,
        metrics=metrics.Metrics(),
    )
    listed.record_read(5)
    for key, revision in removed:
        body = json.dumps(samples.worker_entry()).encode()
        listed.update((row(key, 5, body),), 0)
        listed.update((row(key, revision, None),), 1)
    return listed


def row(key: str, revision: int, body: bytes | None) -> store.Row:
    return store.Row(key=f'servers/{key}', revision=revision, body=body)


def names(found: worker_reports.FormerWorkers) -> set[str]:
    return {worker.worker for worker in found.unlisted}


class TestReports(testtools.TestCase):
    def test_report_survives_the_heartbeat(self) -> None:
        """Guards against a successor that polls another address."""
        empty = make_report(unlisted=(), is_complete=False)
        heartbeat = make_heartbeat(empty, make_report())
        sent = messages.CODEC.encode(heartbeat, header=0).unwrap()
        decoded = messages.CODEC.decode(sent[4:]).unwrap().message
        reports = worker_reports.decode(decoded)
        self.assertEqual(empty, reports[OTHER])
        received: workers.Worker = reports[SHARD].unlisted[0]
        self.assertEqual(
            dataclasses.replace(
                UNLISTED,
                service=received.service,
                state=workers.WorkerState.DRAINING,
                capacity=received.capacity,
                labels=(),
            ),
            received,
        )

    def test_too_many_unlisted_workers_leave_a_doubt(self) -> None:
        """Guards against a successor that knows some of them only."""
        count = worker_reports.MAX_UNLISTED + 1
        heartbeat = make_heartbeat(
            make_report(), make_report(unlisted=(UNLISTED,) * count)
        )
        report = worker_reports.decode(heartbeat)[SHARD]
        self.assertFalse(report.is_complete)
        self.assertEqual(worker_reports.MAX_UNLISTED, len(report.unlisted))

    def test_heartbeat_of_an_older_process_has_no_report(self) -> None:
        """Guards against a release that closes the links of older processes."""
        heartbeat = messages.Heartbeat(
            version=1, shards=((SHARD, 3, 0, 0, True),), pending=()
        )
        self.assertEqual({}, worker_reports.decode(heartbeat))


class TestFormerWorkers(testtools.TestCase):
    def find(
        self,
        claim: registry.Claim,
        listed: worker_list.WorkerList,
        **changes: Any,
    ) -> worker_reports.FormerWorkers:
        tested = worker_reports.WorkerReports()
        tested.update(
            PROCESS,
            make_heartbeat(make_report(unlisted=()), make_report(**changes)),
        )
        return tested.find_former(SHARD, claim, listed)

    def test_workers_that_left_the_list_since_the_report_are_included(
        self,
    ) -> None:
        """Guards against review case 15 before the leader has noticed."""
        found = self.find(make_claim(), make_list(('w1', 10), ('w2', 11)))
        self.assertEqual({'w9', 'w2'}, names(found))
        self.assertIsNone(found.doubt)

    def test_renewed_claim_of_the_reporting_process_leaves_no_doubt(
        self,
    ) -> None:
        """Guards against doubts after a leader was isolated for a while."""
        self.assertIsNone(self.find(make_claim(epoch=8), make_list()).doubt)

    def test_missing_knowledge_leaves_a_doubt(self) -> None:
        """Guards against tasks that are started beside unknown runs."""
        doubt = worker_reports.Doubt
        cases = (
            (make_claim(epoch=8, vm='vm-2'), {}, doubt.NO_REPORT),
            (make_claim(), {'is_complete': False}, doubt.INCOMPLETE_REPORT),
            (make_claim(), {'list_revision': 4}, doubt.LIST_UNKNOWN),
        )
        for claim, changes, expected in cases:
            self.assertEqual(
                expected, self.find(claim, make_list(), **changes).doubt
            )

    def test_former_leader_does_not_replace_the_report_of_its_successor(
        self,
    ) -> None:
        """Guards against an outdated report that arrives late."""
        tested = worker_reports.WorkerReports()
        tested.update(PROCESS, make_heartbeat(make_report(), make_report()))
        tested.update(
            (ids.VmId('vm-2'), ids.Incarnation('b')),
            make_heartbeat(
                make_report(), make_report(list_revision=1), epoch=2
            ),
        )
        found = tested.find_former(SHARD, make_claim(), make_list())
        self.assertIsNone(found.doubt)

    def test_unlisted_workers_of_other_shards_are_in_use(self) -> None:
        """Guards against two leaders that send fences to one worker."""
        tested = worker_reports.WorkerReports()
        tested.update(
            PROCESS, make_heartbeat(make_report(unlisted=()), make_report())
        )
        self.assertEqual(
            frozenset((UNLISTED.worker,)),
            tested.workers_in_use(except_shard=OTHER),
        )
        self.assertEqual(frozenset(), tested.workers_in_use(except_shard=SHARD))
