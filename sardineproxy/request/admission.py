"""Submission rate, queue bound and deadlines of each customer's contract."""

import dataclasses
import hashlib
import hmac

import result

from sardineproxy import ids, problems
from sardineproxy.request import documents, work
from sardineproxy.version import contracts, versions

MS_PER_SECOND = 1000

#: Retry-After of refusals that end at a time nobody knows, in seconds.
RETRY_AFTER_S = 1


@dataclasses.dataclass(kw_only=True, slots=True)
class _Bucket:
    tokens: float

    #: Monotonic seconds of the last refill.
    filled_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """A submission that a caller asks this VM to run."""

    customer: ids.CustomerId
    kind: work.TaskKind

    #: True if it carries an idempotency key.
    keyed: bool
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmittedSubmission:
    """A submission that has been taken."""

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
                deadline=deadline(
                    contract=self.contract,
                    deadline_ms=task.deadline_ms or self.document.deadline_ms,
                    now=now,
                ),
            )
            for index, task in enumerate(self.document.tasks)
        ]


class Admission:
    """Decides whether this VM takes a submission."""

    def __init__(self) -> None:
        """Start without contracts and with full buckets."""
        self._buckets: dict[ids.CustomerId, _Bucket] = {}
        self._contracts: dict[ids.CustomerId, contracts.Contract] = {}
        self._credentials: dict[str, ids.CustomerId] = {}
        self._live_vms = 1
        self._ready = False
        self._draining = False

    def set_version(self, version: versions.Version | None) -> None:
        """Apply the version's contracts to what is submitted from now on."""
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
        """Set among how many VMs the customers' rates are divided."""
        self._live_vms = max(1, count)

    def drain(self) -> None:
        """Refuse everything from now on."""
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
            known = self._contracts[customer].credential_sha256
            if any([hmac.compare_digest(digest, one) for one in known]):
                return result.Ok(customer)
        if not self._ready:
            return result.Err(_not_ready())
        return result.Err(unauthorized())

    def longest_deadline_s(self, *, customer: ids.CustomerId) -> float:
        """Return how long a submission of the customer may take."""
        contract = self._contracts.get(customer)
        if contract is None:
            return 0
        return contract.max_deadline_ms / MS_PER_SECOND

    def current_refusal(self) -> problems.Problem | None:
        """Return why nothing is taken at present, if so."""
        if self._draining:
            return _shutting_down()
        return None if self._ready else _not_ready()

    def admit(
        self, *, submission: Submission, waiting: int, now: float
    ) -> result.Result[AdmittedSubmission, problems.Problem]:
        """Parse and take a submission, or return why it is refused."""
        refused = self.current_refusal()
        if refused is not None:
            return result.Err(refused)
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
        refused = check_bounds(admitted=admitted) or self._charge(
            contract=contract,
            tasks=len(admitted.document.tasks),
            waiting=waiting,
            now=now,
        )
        return result.Err(refused) if refused else result.Ok(admitted)

    def state(self) -> dict[str, object]:
        """Return the buckets and what they are derived from, for the dump."""
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
        tasks: int,
        waiting: int,
        now: float,
    ) -> problems.Problem | None:
        """Take ``tasks`` tokens, or return why the submission is refused.

        A submission larger than the bucket or the queue is admitted when the
        bucket is full and the queue empty, so that a job of ``max_job_tasks``
        never has to wait forever. The bucket then goes into debt.
        """
        if waiting and waiting + tasks > contract.queue:
            return problems.refusal(
                code='queue_full',
                status=429,
                detail=(
                    f'{waiting} tasks of the customer wait at this VM. '
                    'Submit again later, with a new key.'
                ),
                retry_after_s=RETRY_AFTER_S,
            )
        wait_s = self._take(contract, tasks, now)
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

    def _take(
        self, contract: contracts.Contract, tasks: int, now: float
    ) -> float:
        """Take the tokens, or return the seconds until they are there."""
        rate = contract.submit_per_s / self._live_vms
        capacity = max(1, contract.submit_burst / self._live_vms)
        bucket = self._buckets.setdefault(
            ids.CustomerId(contract.customer),
            _Bucket(tokens=capacity, filled_at=now),
        )
        refill = max(0, now - bucket.filled_at) * rate
        bucket.tokens = min(capacity, bucket.tokens + refill)
        bucket.filled_at = now
        missing = min(tasks, capacity) - bucket.tokens
        if missing > 0:
            return missing / rate
        bucket.tokens -= tasks
        return 0


def check_bounds(*, admitted: AdmittedSubmission) -> problems.Problem | None:
    """Return why the contract never allows the submission, if so."""
    contract, document = admitted.contract, admitted.document
    if not admitted.submission.keyed and not document.tasks[0].idempotent:
        return key_required()
    tasks = len(document.tasks)
    if tasks > contract.max_job_tasks:
        return problems.refusal(
            code='job_too_large',
            status=413,
            detail=(
                f'The job has {tasks} tasks, the contract allows '
                f'{contract.max_job_tasks}.'
            ),
        )
    asked = [
        document.deadline_ms,
        *(task.deadline_ms for task in document.tasks),
    ]
    longest = max(deadline_ms or 0 for deadline_ms in asked)
    if longest > contract.max_deadline_ms:
        return problems.refusal(
            code='deadline_too_long',
            status=400,
            detail=(
                f'The deadline of {longest} ms is longer than the '
                f'{contract.max_deadline_ms} ms of the contract.'
            ),
        )
    return None


def deadline(
    *,
    contract: contracts.Contract,
    deadline_ms: int | None,
    now: float,
) -> float:
    """Return the monotonic seconds after which a task must not start."""
    default_ms = min(contract.default_deadline_ms, contract.max_deadline_ms)
    return now + (deadline_ms or default_ms) / MS_PER_SECOND


def unauthorized() -> problems.Problem:
    """Return the refusal of a credential that no contract has."""
    return problems.refusal(
        code='unauthorized',
        status=401,
        detail='The Authorization header holds no known credential.',
    )


def overloaded() -> problems.Problem:
    """Return the refusal of what there is no room for."""
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
    """Return the refusal of what needs a key and has none."""
    return problems.refusal(
        code='key_required',
        status=400,
        detail='Only an idempotent single request may omit its key.',
    )
