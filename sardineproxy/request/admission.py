"""Admission control: rate, queue and deadline limits of the contracts."""

import dataclasses
import hashlib
import hmac

import result

from sardineproxy import ids, problems
from sardineproxy.request import documents, work
from sardineproxy.version import contracts, versions

MS_PER_SECOND = 1000

#: Retry-After of refusals of unknown duration, in seconds.
RETRY_AFTER_S = 1


@dataclasses.dataclass(kw_only=True, slots=True)
class _TokenBucket:
    tokens: float

    #: Monotonic seconds of the last refill.
    refilled_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """A caller's submission that has not been admitted yet."""

    customer: ids.CustomerId
    kind: work.TaskKind

    #: True if it carries an idempotency key.
    keyed: bool
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmittedSubmission:
    """A submission that has been admitted, with its parsed document."""

    submission: Submission
    contract: contracts.Contract
    document: documents.JobDocument

    def tasks(
        self, *, request_id: ids.RequestId, now: float
    ) -> list[work.Task]:
        """Return the tasks, with deadlines counted from ``now``."""
        return [
            work.Task(
                request_id=request_id,
                index=index,
                customer=self.submission.customer,
                kind=self.submission.kind,
                idempotent=task.idempotent,
                method=task.method,
                path=task.path,
                headers=tuple(task.headers.items()),
                body=task.body(),
                deadline=task_deadline(
                    contract=self.contract,
                    deadline_ms=task.deadline_ms or self.document.deadline_ms,
                    now=now,
                ),
            )
            for index, task in enumerate(self.document.tasks)
        ]


class Admission:
    """Decides whether this VM admits a submission."""

    def __init__(self) -> None:
        """Create an instance without contracts; all buckets are full."""
        self._buckets: dict[ids.CustomerId, _TokenBucket] = {}
        self._contracts: dict[ids.CustomerId, contracts.Contract] = {}
        self._credentials: dict[str, ids.CustomerId] = {}
        self._live_vms = 1
        self._ready = False
        self._draining = False

    def set_version(self, version: versions.Version | None) -> None:
        """Apply the version's contracts to later submissions."""
        self._ready = version is not None
        self._contracts = dict(version.contracts) if version else {}
        self._credentials = {
            digest: customer
            for customer, contract in self._contracts.items()
            for digest in contract.credential_sha256
        }
        for customer in self._buckets.keys() - self._contracts.keys():
            self._buckets.pop(customer)

    def set_live_vms(self, count: int) -> None:
        """Set the number of VMs that the customers' rates are divided by."""
        self._live_vms = max(1, count)

    def drain(self) -> None:
        """Refuse all submissions from now on."""
        self._draining = True

    def authenticate(
        self, *, credential: str
    ) -> result.Result[ids.CustomerId, problems.Problem]:
        """Return the customer whose contract has the credential's hash."""
        digest = hashlib.sha256(
            credential.encode(errors='surrogateescape')
        ).hexdigest()
        customer = self._credentials.get(digest)
        if customer is not None:
            hashes = self._contracts[customer].credential_sha256
            if any([hmac.compare_digest(digest, stored) for stored in hashes]):
                return result.Ok(customer)
        if not self._ready:
            return result.Err(_not_ready())
        return result.Err(unauthorized())

    def longest_deadline_s(self, *, customer: ids.CustomerId) -> float:
        """Return the maximum deadline of the contract, 0 without a contract."""
        contract = self._contracts.get(customer)
        if contract is None:
            return 0
        return contract.max_deadline_ms / MS_PER_SECOND

    def current_refusal(self) -> problems.Problem | None:
        """Return the refusal that applies to all submissions, if any."""
        if self._draining:
            return _shutting_down()
        return None if self._ready else _not_ready()

    def admit(
        self, *, submission: Submission, waiting: int, now: float
    ) -> result.Result[AdmittedSubmission, problems.Problem]:
        """Parse and admit a submission, or return the refusal.

        ``waiting`` is the number of the customer's waiting tasks.
        """
        refusal = self.current_refusal()
        if refusal is not None:
            return result.Err(refusal)
        contract = self._contracts.get(submission.customer)
        if contract is None:
            return result.Err(_no_contract())
        if not submission.keyed and submission.kind is work.TaskKind.JOB:
            return result.Err(key_required())
        parsed = documents.parse_submission(
            kind=submission.kind, body=submission.body
        )
        if isinstance(parsed, result.Err):
            return parsed
        admitted = AdmittedSubmission(
            submission=submission, contract=contract, document=parsed.ok_value
        )
        refusal = check_limits(admitted=admitted) or self._charge(
            contract=contract,
            task_count=len(admitted.document.tasks),
            waiting=waiting,
            now=now,
        )
        return result.Err(refusal) if refusal else result.Ok(admitted)

    def state(self) -> dict[str, object]:
        """Return the token buckets and their inputs, for the state dump."""
        return {
            'draining': self._draining,
            'live_vms': self._live_vms,
            'contracts': len(self._contracts),
            'tokens': {
                customer: round(bucket.tokens, 3)
                for customer, bucket in sorted(self._buckets.items())
            },
        }

    def _charge(
        self,
        *,
        contract: contracts.Contract,
        task_count: int,
        waiting: int,
        now: float,
    ) -> problems.Problem | None:
        """Spend one token per task, or return the refusal.

        A submission larger than the bucket or the queue is admitted when the
        bucket is full and the queue is empty; otherwise a job of
        ``max_job_tasks`` could never be admitted. The number of tokens then
        becomes negative.
        """
        if waiting and waiting + task_count > contract.queue:
            return problems.refusal(
                code='queue_full',
                status=429,
                detail=(
                    f'{waiting} tasks of the customer wait at this VM. '
                    'Submit again later, with a new key.'
                ),
                retry_after_s=RETRY_AFTER_S,
            )
        wait_s = self._spend_tokens(contract, task_count, now)
        if wait_s > 0:
            return problems.refusal(
                code='rate_limited',
                status=429,
                detail=(
                    'The contract allows no more submissions now. '
                    'Submit again later, with a new key.'
                ),
                retry_after_s=wait_s,
            )
        return None

    def _spend_tokens(
        self, contract: contracts.Contract, task_count: int, now: float
    ) -> float:
        """Spend tokens and return 0, or return the seconds to wait."""
        rate = contract.submit_per_s / self._live_vms
        capacity = max(1, contract.submit_burst / self._live_vms)
        bucket = self._buckets.setdefault(
            ids.CustomerId(contract.customer),
            _TokenBucket(tokens=capacity, refilled_at=now),
        )
        refill = max(0, now - bucket.refilled_at) * rate
        bucket.tokens = min(capacity, bucket.tokens + refill)
        bucket.refilled_at = now
        missing_tokens = min(task_count, capacity) - bucket.tokens
        if missing_tokens > 0:
            return missing_tokens / rate
        bucket.tokens -= task_count
        return 0


def check_limits(*, admitted: AdmittedSubmission) -> problems.Problem | None:
    """Return the refusal if the contract never allows the submission."""
    contract, document = admitted.contract, admitted.document
    if not admitted.submission.keyed and not document.tasks[0].idempotent:
        return key_required()
    task_count = len(document.tasks)
    if task_count > contract.max_job_tasks:
        return problems.refusal(
            code='job_too_large',
            status=413,
            detail=(
                f'The job has {task_count} tasks, the contract allows '
                f'{contract.max_job_tasks}.'
            ),
        )
    requested_ms = [
        document.deadline_ms,
        *(task.deadline_ms for task in document.tasks),
    ]
    longest_ms = max(deadline_ms or 0 for deadline_ms in requested_ms)
    if longest_ms > contract.max_deadline_ms:
        return problems.refusal(
            code='deadline_too_long',
            status=400,
            detail=(
                f'The deadline of {longest_ms} ms is longer than the '
                f'{contract.max_deadline_ms} ms of the contract.'
            ),
        )
    return None


def task_deadline(
    *,
    contract: contracts.Contract,
    deadline_ms: int | None,
    now: float,
) -> float:
    """Return the time after which a task must not start, monotonic seconds."""
    default_ms = min(contract.default_deadline_ms, contract.max_deadline_ms)
    return now + (deadline_ms or default_ms) / MS_PER_SECOND


def unauthorized() -> problems.Problem:
    """Return the refusal of a credential that belongs to no contract."""
    return problems.refusal(
        code='unauthorized',
        status=401,
        detail='The Authorization header holds no known credential.',
    )


def overloaded() -> problems.Problem:
    """Return the refusal while too many submissions are in progress."""
    return problems.refusal(
        code='overloaded',
        status=503,
        detail=(
            'This VM has too much in progress. '
            'Submit again later, with a new key.'
        ),
        retry_after_s=RETRY_AFTER_S,
    )


def _shutting_down() -> problems.Problem:
    return problems.refusal(
        code='shutting_down',
        status=503,
        detail='This VM is shutting down and takes no new work.',
        retry_after_s=RETRY_AFTER_S,
    )


def _not_ready() -> problems.Problem:
    return problems.refusal(
        code='not_ready',
        status=503,
        detail='This VM has no configuration version yet.',
        retry_after_s=RETRY_AFTER_S,
    )


def _no_contract() -> problems.Problem:
    return problems.refusal(
        code='no_contract',
        status=403,
        detail='The customer has no contract in the version in force.',
    )


def key_required() -> problems.Problem:
    """Return the refusal of a submission that lacks a required key."""
    return problems.refusal(
        code='key_required',
        status=400,
        detail='Only an idempotent single request may omit its key.',
    )
