"""Submissions of callers: admission, idempotency keys, status and cancel."""

import asyncio
import dataclasses
import hashlib
import random

import result

from sardineproxy import clock, ids, logs, problems
from sardineproxy.process import metrics
from sardineproxy.request import (
    admission,
    documents,
    forwarding,
    executions,
    keys,
    key_requests,
    records,
    work,
)
from sardineproxy.version import versions

#: Number of random bits in the id of a keyless request.
KEYLESS_ID_BITS = 64

#: Timeout of a forwarded request, in seconds. The maximum deadline of the
#: contract is added if the reply is sent when the submission has ended.
FORWARD_SLACK_S = 5

Runner = executions.Runner
_KeyEntry = records.Record | records.Tombstone | records.UnrecordedKey
_Operation = key_requests.Operation
_LOG = logs.get_logger('request')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Lifetimes and limits of keys and records."""

    #: Lifetime of an unused key, in seconds.
    key_ttl_s: float = 900

    #: Retention time of a reply, in seconds; at least ``key_ttl_s``.
    record_ttl_s: float = 900

    #: Maximum number of records, and maximum number of tombstones.
    max_records: int = 200_000

    #: Maximum total size of retained replies, in bytes.
    max_reply_bytes: int = 268_435_456

    #: Maximum total size of submissions in progress, in bytes.
    max_running_bytes: int = 268_435_456

    def __post_init__(self) -> None:
        """Reject lifetimes with which a key could start its work twice."""
        if self.record_ttl_s < self.key_ttl_s:
            raise ValueError('record_ttl_s must be at least key_ttl_s')


class Submissions:
    """Submissions and idempotency keys of one entry process."""

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
        """Create an instance that admits nothing before ``set_version``."""
        self._clock = clock
        self._rng = rng
        self._max_running_bytes = cfg.max_running_bytes
        self._vm = vm
        self._incarnation = incarnation
        self._metrics = metrics
        self._key_issuer = keys.KeyIssuer(
            vm=vm,
            incarnation=incarnation,
            secret=secret,
            ttl_s=cfg.key_ttl_s,
        )
        self._record_store = records.RecordStore(
            key_issuer=self._key_issuer,
            key_ttl_s=cfg.key_ttl_s,
            record_ttl_s=cfg.record_ttl_s,
            max_records=cfg.max_records,
            max_reply_bytes=cfg.max_reply_bytes,
        )
        self._admission = admission.Admission()
        self._executions = executions.Executions(
            clock=clock,
            runner=runner,
            record_store=self._record_store,
            metrics=metrics,
        )
        self._issuer_client = key_requests.IssuerClient(
            clock=clock, forwarder=forwarder, metrics=metrics
        )

    def set_version(self, version: versions.Version | None) -> None:
        """Apply the version's contracts to new submissions."""
        self._admission.set_version(version)

    def set_live_vms(self, count: int) -> None:
        """Set the number of VMs that the submission rates are divided by."""
        self._admission.set_live_vms(count)

    def drain(self) -> None:
        """Refuse new submissions with the verdict "not run" from now on."""
        self._admission.drain()

    async def wait_until_idle(self) -> None:
        """Wait until no submission or forwarded request is in progress."""
        await self._executions.wait_until_idle()

    def authenticate(
        self, *, credential: str
    ) -> result.Result[ids.CustomerId, problems.Problem]:
        """Return the customer that the credential belongs to."""
        return self._admission.authenticate(credential=credential)

    def issue_keys(
        self, *, customer: ids.CustomerId, body: bytes
    ) -> documents.Reply:
        """Issue new keys of the customer and return them as a reply."""
        refusal = self._admission.current_refusal()
        if refusal is not None:
            return documents.render_problem(refusal)
        count = documents.parse_key_count(body)
        if isinstance(count, result.Err):
            return documents.render_problem(count.err_value)
        now = self._clock.now()
        issued = [
            self._key_issuer.issue(customer=customer, now=now)
            for _ in range(count.ok_value)
        ]
        self._metrics.count('keys_minted_total', by=len(issued))
        return documents.render_json(status=200, document={'keys': issued})

    async def submit(
        self,
        *,
        customer: ids.CustomerId,
        kind: work.TaskKind,
        key_text: str | None,
        body: bytes,
        wait: bool = True,
    ) -> documents.Reply:
        """Run, join or forward a submission and return the reply.

        Without ``wait`` the reply is the status of the submission.
        """
        if key_text is None and not wait:
            reply = documents.render_problem(admission.key_required())
        elif key_text is None:
            reply = await self._submit_keyless(
                customer=customer, kind=kind, body=body
            )
        else:
            request = key_requests.KeyRequest(
                operation=_Operation.SUBMIT,
                customer=customer,
                key=key_text,
                kind=kind,
                body=body,
                wait=wait,
            )
            reply = await self.handle_key_request(request)
        self._metrics.count(
            'submissions_total',
            kind=kind.value,
            verdict=reply.verdict.value if reply.verdict else 'none',
        )
        return reply

    async def status(
        self, *, customer: ids.CustomerId, key_text: str
    ) -> documents.Reply:
        """Return the state of a request, or its reply if it has ended."""
        return await self.handle_key_request(
            key_requests.KeyRequest(
                operation=_Operation.STATUS, customer=customer, key=key_text
            )
        )

    async def cancel(
        self, *, customer: ids.CustomerId, key_text: str
    ) -> documents.Reply:
        """Cancel the tasks that have not started, and return the status."""
        return await self.handle_key_request(
            key_requests.KeyRequest(
                operation=_Operation.CANCEL, customer=customer, key=key_text
            )
        )

    async def handle_key_request(
        self, request: key_requests.KeyRequest
    ) -> documents.Reply:
        """Process a request about a key, here or at the key's issuer."""
        key = keys.parse(request.key)
        if key is None:
            return documents.render_problem(keys.malformed_key())
        if self._key_issuer.is_own(key=key):
            return await self._handle_own_key(request, key)
        if key.vm == self._vm:
            return _foreign_key_reply(key, self._vm)
        wait_s = float(FORWARD_SLACK_S)
        if request.wait:
            wait_s += self._admission.longest_deadline_s(
                customer=request.customer
            )
        return await self._executions.run_detached(
            self._issuer_client.send(request=request, key=key, wait_s=wait_s)
        )

    async def handle(self, payload: bytes) -> bytes:
        """Process a forwarded request and return the payload of the reply."""
        request = key_requests.decode_request(payload)
        key = keys.parse(request.key) if request else None
        if request is None or key is None:
            _LOG.warning('Forwarded request is malformed and was refused.')
            reply = documents.render_problem(keys.malformed_forward())
        elif self._key_issuer.is_own(key=key):
            reply = await self._handle_own_key(request, key)
        else:
            reply = _foreign_key_reply(key, self._vm)
        reply_payload = key_requests.encode_reply(reply)
        if len(reply_payload) > key_requests.MAX_PAYLOAD_BYTES:
            problem = documents.answer_too_large(reply.verdict)
            return key_requests.encode_reply(documents.render_problem(problem))
        return reply_payload

    def refuse(
        self,
        *,
        customer: ids.CustomerId,
        key_text: str | None,
        problem: problems.Problem,
    ) -> documents.Reply:
        """Refuse a submission whose body was not read.

        A tombstone with the problem is added for a key that is still new.
        """
        key = keys.parse(key_text) if key_text else None
        if key is not None:
            now = self._clock.now()
            entry = self._record_store.find(key=key, customer=customer, now=now)
            if entry is records.UnrecordedKey.NEW:
                self._record_store.add_tombstone(
                    key=key,
                    customer=customer,
                    fingerprint=None,
                    problem=problem,
                    now=now,
                )
            else:
                problem = keys.without_issuer_verdict(problem, key_text)
        return documents.render_problem(problem)

    def state(self, *, now: float) -> dict[str, object]:
        """Return submissions, record counts and limits for the state dump."""
        return {
            'vm': self._vm,
            'incarnation': self._incarnation,
            'submissions': self._executions.state(now=now),
            'held': self._record_store.state(),
            'admission': self._admission.state(),
        }

    async def _submit_keyless(
        self, *, customer: ids.CustomerId, kind: work.TaskKind, body: bytes
    ) -> documents.Reply:
        admitted = self._admit(
            admission.Submission(
                customer=customer, kind=kind, keyed=False, body=body
            )
        )
        if isinstance(admitted, result.Err):
            return documents.render_problem(admitted.err_value)
        request_id = f'r-{self._rng.getrandbits(KEYLESS_ID_BITS):016x}'
        record = self._executions.start(
            admitted=admitted.ok_value, request_id=ids.RequestId(request_id)
        )
        return await asyncio.shield(record.reply_future)

    async def _handle_own_key(
        self, request: key_requests.KeyRequest, key: keys.Key
    ) -> documents.Reply:
        """Process a request about a key of this incarnation."""
        now = self._clock.now()
        entry = self._record_store.find(
            key=key, customer=request.customer, now=now
        )
        match entry:
            case records.UnrecordedKey.UNKNOWN:
                return documents.render_problem(keys.unknown_key())
            case records.UnrecordedKey.VOID:
                return documents.render_problem(keys.key_expired())
        if request.operation is _Operation.SUBMIT:
            return await self._handle_submit(request, key, entry)
        if request.operation is _Operation.CANCEL:
            entry = self._cancel(request, key, entry)
        return _status_reply(entry)

    def _cancel(
        self, request: key_requests.KeyRequest, key: keys.Key, entry: _KeyEntry
    ) -> _KeyEntry:
        if isinstance(entry, records.Record):
            self._executions.cancel(record=entry)
        if entry is records.UnrecordedKey.NEW:
            return self._record_store.add_tombstone(
                key=key,
                customer=request.customer,
                fingerprint=None,
                problem=executions.cancelled(),
                now=self._clock.now(),
            )
        return entry

    async def _handle_submit(
        self,
        request: key_requests.KeyRequest,
        key: keys.Key,
        entry: _KeyEntry,
    ) -> documents.Reply:
        fingerprint = _fingerprint(request)
        if isinstance(entry, records.UnrecordedKey):
            entry = self._start_new(request, key, fingerprint)
        if entry.fingerprint not in {None, fingerprint}:
            return documents.render_problem(keys.key_reused())
        if request.wait and isinstance(entry, records.Record):
            return await asyncio.shield(entry.reply_future)
        return _status_reply(entry)

    def _start_new(
        self,
        request: key_requests.KeyRequest,
        key: keys.Key,
        fingerprint: bytes,
    ) -> records.Record | records.Tombstone:
        """Start the work of a new key, or add a tombstone if it is refused."""
        admitted = self._admit(
            admission.Submission(
                customer=request.customer,
                kind=request.kind,
                keyed=True,
                body=request.body,
            )
        )
        if isinstance(admitted, result.Err):
            return self._record_store.add_tombstone(
                key=key,
                customer=request.customer,
                fingerprint=fingerprint,
                problem=admitted.err_value,
                now=self._clock.now(),
            )
        return self._executions.start(
            admitted=admitted.ok_value,
            request_id=key.text,
            sequence=key.sequence,
            fingerprint=fingerprint,
        )

    def _admit(
        self, submission: admission.Submission
    ) -> result.Result[admission.AdmittedSubmission, problems.Problem]:
        size = self._executions.running_bytes + len(submission.body)
        if self._record_store.is_full() or size > self._max_running_bytes:
            return result.Err(admission.overloaded())
        return self._admission.admit(
            submission=submission,
            waiting=self._executions.waiting(customer=submission.customer),
            now=self._clock.now(),
        )


def _foreign_key_reply(key: keys.Key, vm: ids.VmId) -> documents.Reply:
    """Return the reply for a key that another incarnation issued.

    An earlier incarnation of this VM is gone; any other is unreachable.
    """
    if key.vm == vm:
        return documents.render_problem(keys.issuer_gone())
    return documents.render_problem(keys.issuer_unreachable())


def _fingerprint(request: key_requests.KeyRequest) -> bytes:
    kind = request.kind.value.encode()
    return hashlib.sha256(kind + b'\n' + request.body).digest()


def _status_reply(entry: _KeyEntry) -> documents.Reply:
    if isinstance(entry, records.UnrecordedKey):
        return documents.render_problem(keys.not_submitted())
    if isinstance(entry, records.Tombstone):
        return documents.render_problem(entry.problem)
    if entry.reply_future.done():
        return entry.reply_future.result()
    return documents.render_json(
        status=202,
        document={
            'id': entry.request_id,
            'state': 'running',
            'cancelled': entry.cancelled,
            'tasks': entry.task_count,
            'ended_tasks': entry.ended_tasks,
        },
    )
