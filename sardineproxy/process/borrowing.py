"""The borrower's side of slot loans: requests, leases and returns."""

import dataclasses
import math
from typing import Callable, Collection, Mapping

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import demand as demand_module
from sardineproxy.process import slots

#: Time for which a reported backlog is valid, in seconds. The dispatcher
#: reports at least every 0.25 s while tasks wait. It sends no report when the
#: last task stops waiting, so a report has to expire.
REPORT_VALID_S = 0.5

#: Maximum age of a report for which slots are requested, in seconds.
MAX_REPORT_AGE_S = 0.1

#: Time after which the slots of an unanswered request are requested from other
#: lenders, in seconds.
GRANT_TIMEOUT_S = 0.3

#: Maximum number of slots to request from a lender without free slots.
MAX_PROBE_REQUEST_SLOTS = 64

#: Frames to send, each with its receiver.
OutgoingFrames = list[tuple[ids.VmId, frames.Frame]]

#: Weight and number of claimed slots, by VM and customer.
Claims = Mapping[tuple[str, ids.CustomerId], tuple[float, int]]

_NO_DEMAND = demand_module.Demand(customers=())


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Timing of loans, in seconds, and thresholds for requests."""

    #: Time after a lender's latest frame for which its slots may be used.
    #: Longer than the heartbeat interval, so that no extra frames are needed
    #: to renew a loan.
    lease_s: float = 10

    #: Maximum run time of a task that started before its lease ended.
    max_task_s: float = 10

    #: Idle time after which the borrower returns slots. It may be long,
    #: because a lender that needs idle slots reclaims them.
    idle_return_s: float = 2

    #: Shortest interval between two rounds of requests.
    request_interval_s: float = 0.02

    #: Shortest interval between two requests to the same lender.
    lender_interval_s: float = 1

    #: Minimum number of free slots of a lender that gets a request, unless
    #: fewer slots are missing or half of the own slots is less. Also the
    #: minimum for the grant of a pending request, unless fewer are requested,
    #: and for the return of idle slots to a lender that requests slots itself.
    #: Fewer and larger loans serve a backlog with fewer messages.
    min_loan_slots: int = 16

    #: Time for which a request that could not be granted stays pending, and
    #: for which its lender reserves released slots. It is short, because
    #: reserved slots are idle.
    max_pending_s: float = 0.1

    #: Shortest interval between requests to a lender without free slots.
    probe_interval_s: float = 4

    #: Shortest interval between two reclaims of idle slots from a borrower.
    reclaim_interval_s: float = 2

    #: A backlog up to this fraction of the own slots has to last for
    #: ``min_backlog_age_s`` before slots are requested.
    min_backlog_ratio: float = 0.25
    min_backlog_age_s: float = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LenderPeer:
    """A connected peer that may lend slots."""

    vm: ids.VmId

    #: True if the peer is in this VM's zone.
    is_same_zone: bool

    #: Free slots of the peer according to its latest frame.
    free_slots: int


@dataclasses.dataclass(kw_only=True, slots=True)
class _SentRequest:
    """The newest request for slots to one lender."""

    sent_at: float
    demands: dict[ids.CustomerId, int]
    answered: bool = False


class BacklogReport:
    """The newest report of waiting tasks at this VM."""

    def __init__(self) -> None:
        """Create an instance without a report."""
        self._demand = _NO_DEMAND
        self._valid_until: float = 0
        self._backlog_since = math.inf
        self.reported_at = -math.inf

    def report(self, demand: demand_module.Demand, now: float) -> None:
        """Replace the report; it is valid for ``REPORT_VALID_S``."""
        if not self.has_waiting_tasks(now):
            self._backlog_since = now
        self._demand = demand
        self.reported_at = now
        self._valid_until = now + REPORT_VALID_S

    def is_large_or_old(
        self, now: float, *, max_waiting: float, min_backlog_age_s: float
    ) -> bool:
        """Return whether the backlog is large or old.

        It is large if more than ``max_waiting`` tasks wait, and old if it has
        lasted for ``min_backlog_age_s``.
        """
        waiting = sum(demand.waiting for demand in self.customers(now))
        if waiting > max_waiting:
            return True
        return waiting > 0 and now - self._backlog_since >= min_backlog_age_s

    def customers(self, now: float) -> tuple[demand_module.CustomerDemand, ...]:
        """Return the customers, or none if the report has expired."""
        return self._demand.customers if now < self._valid_until else ()

    def has_waiting_tasks(self, now: float) -> bool:
        """Return whether tasks wait at this VM."""
        return any(customer.waiting for customer in self.customers(now))


class SlotBorrower:
    """Decides from which peers to request slots and when to return them."""

    def __init__(
        self, *, cfg: Config, table: slots.SlotTable, backlog: BacklogReport
    ) -> None:
        """Create a borrower without requests."""
        self._cfg = cfg
        self._borrowed = table.borrowed
        self._table = table
        self._backlog = backlog
        self._sent_requests: dict[ids.VmId, _SentRequest] = {}

        #: The VM that last lent slots for a customer. Few VMs have a share of
        #: a small concurrency limit, so the next request goes there first.
        self._last_lenders: dict[ids.CustomerId, ids.VmId] = {}
        self._last_number = 0
        self._next_request_at: float = 0

    def request_slots(
        self, lenders: Callable[[], Collection[LenderPeer]], now: float
    ) -> OutgoingFrames:
        """Return requests to the peers with the most free slots.

        A small backlog is ignored for ``min_backlog_age_s``, because the own
        slots may serve it without any messages.
        """
        if (
            now < self._next_request_at
            or now - self._backlog.reported_at > MAX_REPORT_AGE_S
        ):
            return []
        if not self._backlog.is_large_or_old(
            now,
            max_waiting=sum(self._table.owned.values())
            * self._cfg.min_backlog_ratio,
            min_backlog_age_s=self._cfg.min_backlog_age_s,
        ):
            return []
        self._next_request_at = now + self._cfg.request_interval_s
        missing = self._missing_slots(now)
        missing_total = sum(count for _, count in missing.values())
        requests: OutgoingFrames = []
        for lender, max_slots in self._request_targets(
            lenders(), missing_total, now
        ):
            demands = _divide_demands(missing, max_slots)
            if demands:
                self._sent_requests[lender.vm] = _SentRequest(
                    sent_at=now,
                    demands={customer: count for customer, _, count in demands},
                )
                requests.append((lender.vm, self._build_request(demands)))
            for customer, weight, count in demands:
                missing[customer] = (weight, missing[customer][1] - count)
        return requests

    def renew_lease(self, vm: ids.VmId, now: float) -> None:
        """Extend the lease of a lender that sent a frame."""
        self._borrowed.extend_lease(vm, now + self._cfg.lease_s)

    def handle_grant(
        self, vm: ids.VmId, grant: frames.SlotGrant, now: float
    ) -> None:
        """Add the granted slots to the borrowed ones."""
        request = self._sent_requests.get(vm)
        if request:
            request.answered = True
        for customer, _, _ in grant.allocations:
            self._last_lenders[customer] = vm
        if grant.allocations:
            self._borrowed.add(
                lender=vm, allocations=grant.allocations, now=now
            )
            self._table.changed.on_next(None)

    def handle_disconnect(self, vm: ids.VmId) -> None:
        """Remove the lender's slots; tasks on them continue to run."""
        self._borrowed.drop_lender(vm)
        self._sent_requests.pop(vm, None)

    def return_idle(self, now: float) -> OutgoingFrames:
        """Return slots that were idle for ``idle_return_s`` or are recalled."""
        return _to_frames(self._borrowed.pop_idle(now, self._cfg.idle_return_s))

    def return_all_idle(
        self, vm: ids.VmId | None, now: float
    ) -> OutgoingFrames:
        """Return all idle slots to one lender, or to all if None."""
        return _to_frames(self._borrowed.pop_idle(now, 0, lender=vm))

    def return_many_idle(self, vm: ids.VmId, now: float) -> OutgoingFrames:
        """Return the idle slots of a lender that has a backlog itself.

        Fewer than ``min_loan_slots`` are kept, to save messages.
        """
        if self._borrowed.idle_slots(vm) < self._cfg.min_loan_slots:
            return []
        return self.return_all_idle(vm, now)

    def _build_request(
        self, demands: tuple[frames.SlotDemand, ...]
    ) -> frames.SlotRequest:
        self._last_number += 1
        return frames.SlotRequest(
            number=self._last_number, demands=demands, recall=(), reclaim=False
        )

    def _missing_slots(
        self, now: float
    ) -> dict[ids.CustomerId, tuple[float, int]]:
        """Return the weight and the number of missing slots by customer.

        Slots of an unanswered request are not missing until it times out.
        """
        pending: dict[ids.CustomerId, int] = {}
        for request in self._sent_requests.values():
            if not request.answered and now - request.sent_at < GRANT_TIMEOUT_S:
                for customer, count in request.demands.items():
                    pending[customer] = pending.get(customer, 0) + count
        return {
            demand.customer: (
                demand.weight,
                max(
                    0,
                    demand.waiting - pending.get(demand.customer, 0),
                ),
            )
            for demand in self._backlog.customers(now)
        }

    def _request_targets(
        self, lenders: Collection[LenderPeer], missing_total: int, now: float
    ) -> list[tuple[LenderPeer, int]]:
        """Return the lenders to send requests to, with a maximum of slots.

        ``missing_total`` is the number of missing slots. Lenders with few free
        slots are skipped unless there are no others, to save messages.

        A lender without free slots may grant a fair share, or slots that its
        borrowers leave idle. Such lenders get requests less often.
        """
        available = [
            lender
            for lender in lenders
            if lender.free_slots
            and now - self._last_request_at(lender)
            >= self._cfg.lender_interval_s
        ]
        recent_lenders = {
            self._last_lenders.get(demand.customer)
            for demand in self._backlog.customers(now)
            if demand.waiting
        }
        available.sort(
            key=lambda lender: (
                lender.vm not in recent_lenders,
                not lender.is_same_zone,
                -lender.free_slots,
            )
        )
        half_of_own_slots = sum(self._table.owned.values()) // 2
        min_slots = min(
            missing_total, self._cfg.min_loan_slots, half_of_own_slots
        )
        lenders_with_enough = [
            lender for lender in available if lender.free_slots >= min_slots
        ]
        return [
            *(
                (lender, lender.free_slots)
                for lender in lenders_with_enough or available[:1]
            ),
            *(
                (lender, MAX_PROBE_REQUEST_SLOTS)
                for lender in self._probe_targets(lenders, now)
            ),
        ]

    def _probe_targets(
        self, lenders: Collection[LenderPeer], now: float
    ) -> list[LenderPeer]:
        """Return the lenders without free slots to send requests to.

        These are the ones of the own zone and one other. Peers that already
        lend to this VM are skipped: they report free slots in their frames.
        """
        without_free_slots = [
            lender
            for lender in lenders
            if not lender.free_slots
            and now - self._last_request_at(lender)
            >= self._cfg.probe_interval_s
            and not self._borrowed.has_loans_from(lender.vm)
        ]
        without_free_slots.sort(
            key=lambda lender: (
                not lender.is_same_zone,
                self._last_request_at(lender),
            )
        )
        same_zone = sum(lender.is_same_zone for lender in without_free_slots)
        return without_free_slots[: same_zone + 1]

    def _last_request_at(self, lender: LenderPeer) -> float:
        request = self._sent_requests.get(lender.vm)
        return request.sent_at if request else -math.inf


def _to_frames(
    allocations_by_lender: Mapping[ids.VmId, tuple[frames.SlotAllocation, ...]],
) -> OutgoingFrames:
    return [
        (vm, frames.SlotReturn(allocations=allocations))
        for vm, allocations in allocations_by_lender.items()
    ]


def _divide_demands(
    missing: Mapping[ids.CustomerId, tuple[float, int]], max_slots: int
) -> tuple[frames.SlotDemand, ...]:
    """Divide up to ``max_slots`` among the customers by contract weight."""
    shares = max_min_fair_shares(
        max_slots,
        {('', customer): count for customer, count in missing.items()},
    )
    return tuple(
        (customer, float(missing[customer][0]), count)
        for (_, customer), count in shares.items()
        if count
    )


def max_min_fair_shares(
    total: int, claims: Claims
) -> dict[tuple[str, ids.CustomerId], int]:
    """Divide slots by weight; no share is larger than its claim.

    The shares are weighted max-min fair. Slots that remain after rounding go
    to the first claims.
    """
    shares = dict.fromkeys(claims, 0)
    remaining = total
    while remaining > 0:
        unfilled = [
            key for key, (_, count) in claims.items() if shares[key] < count
        ]
        if not unfilled:
            break
        weight_sum = sum(claims[key][0] for key in unfilled)
        round_total = remaining
        for key in unfilled:
            fair_share = max(1, int(round_total * claims[key][0] / weight_sum))
            increase = min(fair_share, remaining, claims[key][1] - shares[key])
            shares[key] += increase
            remaining -= increase
    return shares
