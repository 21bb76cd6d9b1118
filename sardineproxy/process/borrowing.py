"""The borrower's side of slot loans: asks, renews and returns."""

import dataclasses
import math
from typing import Callable, Collection, Mapping

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import demand as demand_module
from sardineproxy.process import slots

#: Time for which a reported backlog counts as present, in seconds. The
#: dispatcher reports at least every 0.25 s while tasks wait, and not when the
#: last one stops waiting.
REPORT_VALID_S = 0.5

#: Age of a report up to which slots are asked for, in seconds.
MAX_REPORT_AGE_S = 0.1

#: Longest wait for a grant before other lenders are asked, in seconds.
GRANT_TIMEOUT_S = 0.3

#: Most slots to ask of a lender that has none free.
MAX_PROBE_REQUEST_SLOTS = 64

OutgoingFrames = list[tuple[ids.VmId, frames.Frame]]
Claims = Mapping[tuple[str, ids.CustomerId], tuple[float, int]]

_NO_DEMAND = demand_module.Demand(customers=())


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Times of loans, in seconds, and the backlog that is worth one."""

    #: Time from the lender's newest frame in which its slots may be used.
    #: Longer than the interval of heartbeats, so that no frames are needed
    #: to renew a loan.
    lease_s: float = 10

    #: Longest time of a task that started before its lease ended.
    max_task_s: float = 10

    #: Idle time after which borrowed slots are returned unasked. The lender
    #: asks for idle slots when it needs them, so this may be long.
    idle_return_s: float = 2

    #: Shortest time between two rounds of requests.
    request_interval_s: float = 0.02

    #: Shortest time between two requests to one lender.
    lender_interval_s: float = 1

    #: Slots that are worth a message where as many or more are wanted, or
    #: half the own slots if that is less. Fewer and larger loans serve a
    #: backlog with fewer messages.
    min_loan_slots: int = 16

    #: Time for which a lender keeps a request that it could not meet, and
    #: slots that come free for it. Slots that are kept longer stay idle.
    max_pending_s: float = 0.1

    #: Shortest time between requests to a lender without free slots.
    probe_interval_s: float = 4

    #: Shortest time between two demands for idle slots.
    reclaim_interval_s: float = 2

    #: Backlog, as a part of the own slots, up to which it must last.
    min_backlog_ratio: float = 0.25
    min_backlog_age_s: float = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LenderPeer:
    """A connected peer that may lend."""

    vm: ids.VmId

    #: True if the peer is in this VM's zone.
    is_same_zone: bool

    #: Slots that the peer could lend when it last sent a frame.
    free_slots: int


@dataclasses.dataclass(kw_only=True, slots=True)
class _SentRequest:
    """The newest request for slots to one lender."""

    sent_at: float
    wants: dict[ids.CustomerId, int]
    answered: bool = False


class BacklogReport:
    """The newest report of waiting work."""

    def __init__(self) -> None:
        """Start without a report."""
        self._demand = _NO_DEMAND
        self._until: float = 0
        self._waits_since = math.inf
        self.reported_at = -math.inf

    def report(self, demand: demand_module.Demand, now: float) -> None:
        """Keep the report while it is fresh."""
        if not self.has_waiting_tasks(now):
            self._waits_since = now
        self._demand = demand
        self.reported_at = now
        self._until = now + REPORT_VALID_S

    def exceeds(
        self, now: float, *, more_than: float, min_backlog_age_s: float
    ) -> bool:
        """Tell whether much waits, or something for a while."""
        waiting = sum(entry.waiting for entry in self.customers(now))
        if waiting > more_than:
            return True
        return waiting > 0 and now - self._waits_since >= min_backlog_age_s

    def customers(self, now: float) -> tuple[demand_module.CustomerDemand, ...]:
        """Return the customers, or none if the report is old."""
        return self._demand.customers if now < self._until else ()

    def has_waiting_tasks(self, now: float) -> bool:
        """Tell whether tasks wait here."""
        return any(customer.waiting for customer in self.customers(now))


class SlotBorrower:
    """Decides whom to ask for slots, and when to return them."""

    def __init__(
        self, *, cfg: Config, table: slots.SlotTable, backlog: BacklogReport
    ) -> None:
        """Start without requests."""
        self._cfg = cfg
        self._borrowed = table.borrowed
        self._table = table
        self._backlog = backlog
        self._sent_requests: dict[ids.VmId, _SentRequest] = {}

        #: Who last lent for each customer. Small holding limits have their
        #: parts at few VMs, so the next request goes there first.
        self._last_lenders: dict[ids.CustomerId, ids.VmId] = {}
        self._last_number = 0
        self._next_request_at: float = 0

    def request_slots(
        self, lenders: Callable[[], Collection[LenderPeer]], now: float
    ) -> OutgoingFrames:
        """Return requests to the peers with the most free slots.

        A backlog that the own slots soon work off is not worth the messages,
        so a short one must last before it counts.
        """
        if (
            now < self._next_request_at
            or now - self._backlog.reported_at > MAX_REPORT_AGE_S
        ):
            return []
        if not self._backlog.exceeds(
            now,
            more_than=sum(self._table.owned.values())
            * self._cfg.min_backlog_ratio,
            min_backlog_age_s=self._cfg.min_backlog_age_s,
        ):
            return []
        self._next_request_at = now + self._cfg.request_interval_s
        needs = self._needs(now)
        total = sum(need for _, need in needs.values())
        requests: OutgoingFrames = []
        for lender, most in self._candidates(lenders(), total, now):
            wants = _divide_wants(needs, most)
            if wants:
                self._sent_requests[lender.vm] = _SentRequest(
                    sent_at=now,
                    wants={name: wanted for name, _, wanted in wants},
                )
                requests.append((lender.vm, self._request(wants)))
            for name, weight, wanted in wants:
                needs[name] = (weight, needs[name][1] - wanted)
        return requests

    def renew_lease(self, vm: ids.VmId, now: float) -> None:
        """Renew the loans of a lender that sent a frame."""
        self._borrowed.extend_lease(vm, now + self._cfg.lease_s)

    def handle_grant(
        self, vm: ids.VmId, grant: frames.SlotGrant, now: float
    ) -> None:
        """Take the slots."""
        asked = self._sent_requests.get(vm)
        if asked:
            asked.answered = True
        for customer, _, _ in grant.lots:
            self._last_lenders[customer] = vm
        if grant.lots:
            self._borrowed.add(lender=vm, lots=grant.lots, now=now)
            self._table.changed.on_next(None)

    def handle_disconnect(self, vm: ids.VmId) -> None:
        """Start no more tasks on slots of this lender."""
        self._borrowed.drop_lender(vm)
        self._sent_requests.pop(vm, None)

    def return_idle(self, now: float) -> OutgoingFrames:
        """Return slots that are idle or recalled to their lenders."""
        return _to_frames(self._borrowed.pop_idle(now, self._cfg.idle_return_s))

    def return_all_idle(
        self, vm: ids.VmId | None, now: float
    ) -> OutgoingFrames:
        """Return all idle slots to one lender, or to all if None."""
        return _to_frames(self._borrowed.pop_idle(now, 0, lender=vm))

    def return_many_idle(self, vm: ids.VmId, now: float) -> OutgoingFrames:
        """Return the idle slots of a lender with a backlog, unless few."""
        if self._borrowed.idle_slots(vm) < self._cfg.min_loan_slots:
            return []
        return self.return_all_idle(vm, now)

    def _request(self, wants: tuple[frames.Want, ...]) -> frames.SlotRequest:
        self._last_number += 1
        return frames.SlotRequest(
            number=self._last_number, wants=wants, recall=(), reclaim=False
        )

    def _needs(self, now: float) -> dict[ids.CustomerId, tuple[float, int]]:
        """Return weight and slots wanted beyond those just asked for."""
        pending: dict[ids.CustomerId, int] = {}
        for asked in self._sent_requests.values():
            if not asked.answered and now - asked.sent_at < GRANT_TIMEOUT_S:
                for customer, wanted in asked.wants.items():
                    pending[customer] = pending.get(customer, 0) + wanted
        return {
            entry.customer: (
                entry.weight,
                max(0, entry.waiting - pending.get(entry.customer, 0)),
            )
            for entry in self._backlog.customers(now)
        }

    def _candidates(
        self, lenders: Collection[LenderPeer], total: int, now: float
    ) -> list[tuple[LenderPeer, int]]:
        """Return whom to ask, and for how many slots at most.

        Lenders with few of the ``total`` slots that are needed are not worth
        the messages unless there are no others.

        A lender without free slots may still have lent some that are idle
        now, or grant its fair part; such lenders are asked rarely, those of
        the own zone and one other.
        """
        ready = [
            lender
            for lender in lenders
            if lender.free_slots
            and now - self._requested_at(lender) >= self._cfg.lender_interval_s
        ]
        known = {
            self._last_lenders.get(entry.customer)
            for entry in self._backlog.customers(now)
            if entry.waiting
        }
        ready.sort(
            key=lambda each: (
                each.vm not in known,
                not each.is_same_zone,
                -each.free_slots,
            )
        )
        own_half = sum(self._table.owned.values()) // 2
        lot = min(total, self._cfg.min_loan_slots, own_half)
        large = [lender for lender in ready if lender.free_slots >= lot]
        return [
            *((lender, lender.free_slots) for lender in large or ready[:1]),
            *(
                (lender, MAX_PROBE_REQUEST_SLOTS)
                for lender in self._probe_targets(lenders, now)
            ),
        ]

    def _probe_targets(
        self, lenders: Collection[LenderPeer], now: float
    ) -> list[LenderPeer]:
        """Return the lenders without free slots that are asked all the same.

        One that lends to this VM already tells of its free slots when it
        sends a frame.
        """
        full = [
            lender
            for lender in lenders
            if not lender.free_slots
            and now - self._requested_at(lender) >= self._cfg.probe_interval_s
            and not self._borrowed.has_loans_from(lender.vm)
        ]
        full.sort(
            key=lambda each: (not each.is_same_zone, self._requested_at(each))
        )
        is_same_zone = sum(lender.is_same_zone for lender in full)
        return full[: is_same_zone + 1]

    def _requested_at(self, lender: LenderPeer) -> float:
        asked = self._sent_requests.get(lender.vm)
        return asked.sent_at if asked else -math.inf


def _to_frames(
    due: Mapping[ids.VmId, tuple[frames.Lot, ...]],
) -> OutgoingFrames:
    return [(vm, frames.SlotReturn(lots=lots)) for vm, lots in due.items()]


def _divide_wants(
    needs: Mapping[ids.CustomerId, tuple[float, int]], most: int
) -> tuple[frames.Want, ...]:
    """Divide ``most`` slots among the customers by contract weight."""
    shares = water_fill(
        most, {('', customer): need for customer, need in needs.items()}
    )
    return tuple(
        (customer, float(needs[customer][0]), count)
        for (_, customer), count in shares.items()
        if count
    )


def water_fill(
    total: int, claims: Claims
) -> dict[tuple[str, ids.CustomerId], int]:
    """Divide slots by weight, to nobody more than it claims.

    Claims are pairs of weight and count. What a rounding leaves over goes to
    the first claims.
    """
    shares = dict.fromkeys(claims, 0)
    left = total
    while left > 0:
        hungry = [
            key for key, (_, count) in claims.items() if shares[key] < count
        ]
        if not hungry:
            break
        weight = sum(claims[key][0] for key in hungry)
        budget = left
        for key in hungry:
            fair = max(1, int(budget * claims[key][0] / weight))
            more = min(fair, left, claims[key][1] - shares[key])
            shares[key] += more
            left -= more
    return shares
