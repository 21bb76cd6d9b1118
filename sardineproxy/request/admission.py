"""Submission rate, queue bound and deadlines of each customer's contract."""

import dataclasses

from sardineproxy import ids, problems
from sardineproxy.request import documents
from sardineproxy.version import contracts

MS_PER_SECOND = 1000

#: Shortest Retry-After of a full queue, in seconds.
QUEUE_RETRY_S = 1


@dataclasses.dataclass(kw_only=True, slots=True)
class _Bucket:
    tokens: float

    #: Monotonic seconds of the last refill.
    filled_at: float


class Admission:
    """Decides whether this VM takes a submission."""

    def __init__(self) -> None:
        """Start with full buckets, as the only live VM."""
        self._buckets: dict[ids.CustomerId, _Bucket] = {}
        self._live_vms = 1

    def set_live_vms(self, count: int) -> None:
        """Set among how many VMs the customers' rates are divided."""
        self._live_vms = max(1, count)

    def forget_except(self, customers: frozenset[ids.CustomerId]) -> None:
        """Drop the buckets of customers that have no contract any more."""
        for customer in self._buckets.keys() - customers:
            self._buckets.pop(customer)

    def admit(
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
            return documents.refusal(
                code='queue_full',
                status=429,
                detail=f'{waiting} tasks of the customer wait at this VM.',
                retry_after_s=QUEUE_RETRY_S,
            )
        wait_s = self._take(contract, tasks, now)
        if wait_s > 0:
            return documents.refusal(
                code='rate_limited',
                status=429,
                detail='The contract allows no more submissions now.',
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


def check_bounds(
    *, contract: contracts.Contract, document: documents.JobDocument
) -> problems.Problem | None:
    """Return why the contract never allows the submission, if so."""
    tasks = len(document.tasks)
    if tasks > contract.max_job_tasks:
        return documents.refusal(
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
        return documents.refusal(
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
