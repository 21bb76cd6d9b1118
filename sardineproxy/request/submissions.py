"""Take submissions from callers and see each of them through."""

import asyncio
import dataclasses
import hashlib
import hmac
import random
from typing import Any, Coroutine, TypeVar

import result

from sardineproxy import clock, ids, logs, problems
from sardineproxy.process import metrics
from sardineproxy.request import (
    admission,
    documents,
    forwarding,
    job,
    keys,
    records,
    work,
)
from sardineproxy.version import contracts, versions

#: Bits of the random part of a keyless request's id.
KEYLESS_ID_BITS = 64

Runner = job.Runner
_Kept = TypeVar('_Kept')
_log = logs.get_logger('request')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Lifetimes and bounds of keys and records."""

    #: Seconds for which a key that was not used stays valid.
    key_ttl_s: float = 900

    #: Seconds for which an answer is held; at least ``key_ttl_s``.
    record_ttl_s: float = 900

    #: Most records, and most notes about keys without a record.
    max_records: int = 200_000

    #: Most bytes of answers that are held after the requests have ended.
    max_answer_bytes: int = 268_435_456

    def __post_init__(self) -> None:
        """Refuse lifetimes that would let a key's work start twice."""
        if self.record_ttl_s < self.key_ttl_s:
            raise ValueError('record_ttl_s must be at least key_ttl_s')


class Submissions:
    """All submissions of one entry process."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        rng: random.Random,
        vm: ids.VmId,
        incarnation: ids.Incarnation,
        secret: bytes,
        cfg: Config,
        runner: Runner,
        forwarder: forwarding.Forwarder,
        metrics: metrics.Metrics,
    ) -> None:
        """Start without a version; nothing is admitted until there is one."""
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._incarnation = incarnation
        self._runner = runner
        self._forwarder = forwarder
        self._metrics = metrics
        self._keys = keys.KeyRing(
            vm=vm,
            incarnation=incarnation,
            secret=secret,
            ttl_s=cfg.key_ttl_s,
        )
        self._table = records.Table(
            key_ttl_s=cfg.key_ttl_s,
            record_ttl_s=cfg.record_ttl_s,
            max_records=cfg.max_records,
            max_answer_bytes=cfg.max_answer_bytes,
        )
        self._admission = admission.Admission()
        self._contracts: dict[ids.CustomerId, contracts.Contract] = {}
        self._credentials: dict[str, ids.CustomerId] = {}
        self._executions: dict[ids.RequestId, job.Execution] = {}
        self._in_progress: set[asyncio.Task[Any]] = set()
        self._draining = False

    def set_version(self, version: versions.Version | None) -> None:
        """Put the version's contracts in force for new submissions."""
        self._contracts = dict(version.contracts) if version else {}
        self._credentials = {
            digest: customer
            for customer, contract in self._contracts.items()
            for digest in contract.credential_sha256
        }
        self._admission.forget_except(frozenset(self._contracts))

    def set_live_vms(self, count: int) -> None:
        """Set among how many VMs the submission rates are divided."""
        self._admission.set_live_vms(count)

    def drain(self) -> None:
        """Refuse new work as not run from now on."""
        self._draining = True

    async def idle(self) -> None:
        """Wait until no submission and no forward is in progress."""
        while self._in_progress:
            await asyncio.wait(self._in_progress)

    def authenticate(self, *, credential: str) -> ids.CustomerId | None:
        """Return the customer whose contract has the credential's hash."""
        digest = hashlib.sha256(credential.encode()).hexdigest()
        customer = self._credentials.get(digest)
        if customer is None:
            return None
        known = self._contracts[customer].credential_sha256
        matches = [hmac.compare_digest(digest, one) for one in known]
        return customer if any(matches) else None

    def mint(self, *, customer: ids.CustomerId, body: bytes) -> documents.Reply:
        """Answer with new keys of the customer."""
        if self._draining:
            return documents.render_problem(_shutting_down())
        count = documents.parse_key_count(body)
        if isinstance(count, result.Err):
            return documents.render_problem(count.err_value)
        now = self._clock.now()
        minted = [
            self._keys.mint(customer=customer, now=now)
            for _ in range(count.ok_value)
        ]
        return documents.render_json(status=200, document={'keys': minted})

    async def submit(
        self,
        *,
        customer: ids.CustomerId,
        kind: work.Kind,
        key_text: str | None,
        body: bytes,
        wait: bool = True,
    ) -> documents.Reply:
        """Answer a submission: run it, join it or forward it."""
        if key_text is None:
            return await self._submit_keyless(customer, kind, body, wait)
        key = keys.parse(key_text)
        if key is None:
            return documents.render_problem(_malformed_key())
        if not self._keys.is_own(key=key):
            raise NotImplementedError('forwarding')
        return await self._submit_own(key, customer, kind, body, wait)

    async def _submit_keyless(
        self,
        customer: ids.CustomerId,
        kind: work.Kind,
        body: bytes,
        wait: bool,
    ) -> documents.Reply:
        if kind is work.Kind.JOB or not wait:
            return documents.render_problem(_key_required())
        parsed = self._admit(customer, kind, body, keyed=False)
        if isinstance(parsed, result.Err):
            return documents.render_problem(parsed.err_value)
        document = parsed.ok_value
        request_id = f'r-{self._rng.getrandbits(KEYLESS_ID_BITS):016x}'
        record = self._new_record(
            ids.RequestId(request_id), customer, kind, body, document
        )
        self._start(record, document)
        return await asyncio.shield(record.done)

    async def _submit_own(
        self,
        key: keys.Key,
        customer: ids.CustomerId,
        kind: work.Kind,
        body: bytes,
        wait: bool,
    ) -> documents.Reply:
        now = self._clock.now()
        if not self._keys.is_genuine(key=key, customer=customer):
            return documents.render_problem(_unknown_key())
        fingerprint = _fingerprint(kind, body)
        held = self._table.find(key=key, now=now)
        if held is not None:
            return await self._join(held, fingerprint, wait)
        if self._table.is_void(key=key, now=now):
            return documents.render_problem(_key_expired())
        parsed = self._admit(customer, kind, body, keyed=True)
        if isinstance(parsed, result.Err):
            self._table.note(
                key=key,
                fingerprint=fingerprint,
                problem=parsed.err_value,
                now=now,
            )
            return documents.render_problem(parsed.err_value)
        record = self._new_record(
            key.text, customer, kind, body, parsed.ok_value
        )
        record.sequence = key.sequence
        self._table.open(record=record, now=now)
        self._start(record, parsed.ok_value)
        return await self._join(record, fingerprint, wait)

    async def _join(
        self,
        held: records.Record | records.Note,
        fingerprint: bytes,
        wait: bool,
    ) -> documents.Reply:
        if held.fingerprint not in {None, fingerprint}:
            return documents.render_problem(_key_reused())
        if isinstance(held, records.Note):
            return documents.render_problem(held.problem)
        if wait or held.done.done():
            return await asyncio.shield(held.done)
        return _status_reply(held)

    def _admit(
        self,
        customer: ids.CustomerId,
        kind: work.Kind,
        body: bytes,
        keyed: bool,
    ) -> documents.Parsed:
        if self._draining:
            return result.Err(_shutting_down())
        contract = self._contracts.get(customer)
        if contract is None:
            return result.Err(_no_contract())
        parsed = documents.parse_submission(kind=kind, body=body)
        if isinstance(parsed, result.Err):
            return parsed
        document = parsed.ok_value
        refused = admission.check_bounds(contract=contract, document=document)
        if refused is None and not keyed and not document.tasks[0].idempotent:
            refused = _key_required()
        if refused is None:
            refused = self._admission.admit(
                contract=contract,
                tasks=len(document.tasks),
                waiting=self._waiting(customer),
                now=self._clock.now(),
            )
        return result.Err(refused) if refused else parsed

    def _waiting(self, customer: ids.CustomerId) -> int:
        return self._runner.waiting(customer=customer)

    def _new_record(
        self,
        request_id: ids.RequestId,
        customer: ids.CustomerId,
        kind: work.Kind,
        body: bytes,
        document: documents.JobDocument,
    ) -> records.Record:
        return records.Record(
            request_id=request_id,
            customer=customer,
            kind=kind,
            fingerprint=_fingerprint(kind, body),
            tasks=len(document.tasks),
            started_at=self._clock.now(),
            done=asyncio.get_running_loop().create_future(),
        )

    def _start(
        self, record: records.Record, document: documents.JobDocument
    ) -> None:
        execution = job.Execution(
            record=record,
            tasks=self._tasks(record, document),
            runner=self._runner,
        )
        self._executions[record.request_id] = execution
        self._keep(self._run(record, execution))

    def _tasks(
        self, record: records.Record, document: documents.JobDocument
    ) -> list[work.Task]:
        contract = self._contracts[record.customer]
        return [
            work.Task(
                request_id=record.request_id,
                index=index,
                customer=record.customer,
                kind=record.kind,
                idempotent=task.idempotent,
                method=task.method,
                path=task.path,
                headers=tuple(task.headers.items()),
                body=task.body(),
                deadline=admission.deadline(
                    contract=contract,
                    deadline_ms=task.deadline_ms or document.deadline_ms,
                    now=record.started_at,
                ),
            )
            for index, task in enumerate(document.tasks)
        ]

    async def _run(
        self, record: records.Record, execution: job.Execution
    ) -> None:
        reply = await execution.run()
        record.ended_at = self._clock.now()
        self._executions.pop(record.request_id)
        record.done.set_result(reply)
        self._table.end(record=record, reply=reply)

    def _keep(
        self, coroutine: Coroutine[Any, Any, _Kept]
    ) -> asyncio.Task[_Kept]:
        """Run apart from the caller, who may disconnect, but count it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._in_progress.add(task)
        task.add_done_callback(self._in_progress.discard)
        return task


def _fingerprint(kind: work.Kind, body: bytes) -> bytes:
    return hashlib.sha256(kind.value.encode() + b'\n' + body).digest()


def _status_reply(record: records.Record) -> documents.Reply:
    return documents.render_json(
        status=202,
        document={
            'id': record.request_id,
            'state': 'running',
            'cancelled': record.cancelled,
            'tasks': record.tasks,
            'ended_tasks': record.ended_tasks,
        },
    )


def _shutting_down() -> problems.Problem:
    return documents.refusal(
        code='shutting_down',
        status=503,
        detail='This VM is shutting down and takes no new work.',
        retry_after_s=1,
    )


def _no_contract() -> problems.Problem:
    return documents.refusal(
        code='no_contract',
        status=403,
        detail='The customer has no contract in the version in force.',
    )


def _malformed_key() -> problems.Problem:
    return documents.refusal(
        code='malformed_key',
        status=400,
        detail='Idempotency keys are minted by POST /v1/keys.',
    )


def _key_required() -> problems.Problem:
    return documents.refusal(
        code='key_required',
        status=400,
        detail='Only an idempotent single request may omit its key.',
    )


def _unknown_key() -> problems.Problem:
    return documents.refusal(
        code='unknown_key',
        status=404,
        detail='This VM minted no such key for the customer.',
    )


def _key_expired() -> problems.Problem:
    return documents.doubt(
        code='key_expired',
        status=410,
        detail='The key expired; its work does not start any more.',
    )


def _key_reused() -> problems.Problem:
    return documents.doubt(
        code='key_reused',
        status=422,
        detail=(
            'Another submission was sent under this key; this one was not '
            'run, the other one may have been.'
        ),
    )
