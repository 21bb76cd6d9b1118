"""The borrower's side of slot loans: asks, renews and returns."""

import dataclasses
from typing import Iterable, Mapping

from sardineproxy import ids
from sardineproxy.connection import frames
from sardineproxy.process import demand as demand_module
from sardineproxy.process import slots

#: Time for which a reported backlog counts as present, in seconds.
BACKLOG_VALID_S = 1

#: Part of a lease that is left when it is renewed.
RENEWAL_FRACTION = 0.25

Outgoing = list[tuple[ids.VmId, frames.Frame]]
Claims = Mapping[tuple[str, ids.CustomerId], tuple[float, int]]

_NO_DEMAND = demand_module.Demand(customers=())


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Config:
    """Times of loans, in seconds."""

    #: Time from a request during which its grant may be used.
    lease_s: float = 2

    #: Longest time of a task that started before its lease ended.
    max_task_s: float = 10

    #: Idle time after which borrowed slots are returned.
    idle_return_s: float = 0.5

    #: Shortest time between two rounds of requests.
    ask_interval_s: float = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lender:
    """A connected peer that may lend."""

    vm: ids.VmId

    #: True if the peer is in this VM's zone.
    near: bool

    #: Slots that the peer could lend when it last sent a frame.
    free: int


@dataclasses.dataclass(kw_only=True, slots=True)
class _Asked:
    """The newest request for slots to one lender."""

    sent_at: float
    wants: dict[ids.CustomerId, int]


class Backlog:
    """The newest report of waiting work."""

    def __init__(self) -> None:
        """Start without a report."""
        self._demand = _NO_DEMAND
        self._until: float = 0

    def report(self, demand: demand_module.Demand, now: float) -> None:
        """Keep the report while it is fresh."""
        self._demand = demand
        self._until = now + BACKLOG_VALID_S

    def customers(self, now: float) -> tuple[demand_module.CustomerDemand, ...]:
        """Return the customers, or none if the report is old."""
        return self._demand.customers if now < self._until else ()

    def waits(self, now: float) -> bool:
        """Tell whether tasks wait here."""
        return any(customer.waiting for customer in self.customers(now))


class Borrowing:
    """Decides whom to ask for slots, and when to return them."""

    def __init__(
        self, *, cfg: Config, table: slots.SlotTable, backlog: Backlog
    ) -> None:
        """Start without requests."""
        self._cfg = cfg
        self._borrowed = table.borrowed
        self._table = table
        self._backlog = backlog
        self._asked: dict[ids.VmId, _Asked] = {}
        self._sent: dict[tuple[ids.VmId, int], float] = {}
        self._last_number = 0
        self._ask_at: float = 0

    def ask(self, lenders: Iterable[Lender], now: float) -> Outgoing:
        """Return requests to the peers with the most free slots."""
        if now < self._ask_at or not self._backlog.waits(now):
            return []
        self._ask_at = now + self._cfg.ask_interval_s
        needs = self._needs(now)
        idle = sorted(
            (lender for lender in lenders if not self._waits_for(lender, now)),
            key=lambda lender: (not lender.near, -lender.free),
        )
        requests: Outgoing = []
        for lender in idle:
            wants = _choose(needs, self._most(lender, needs, now))
            if not wants:
                continue
            for customer, count in wants.items():
                weight, need = needs[customer]
                needs[customer] = (weight, need - count)
            self._asked[lender.vm] = _Asked(sent_at=now, wants=wants)
            rows = tuple(
                (name, needs[name][0], wanted) for name, wanted in wants.items()
            )
            requests.append((lender.vm, self._request(lender.vm, rows, now)))
        return requests

    def granted(
        self, vm: ids.VmId, grant: frames.SlotGrant, now: float
    ) -> None:
        """Take the slots; the lease counts from when the request left."""
        sent_at = self._sent.get((vm, grant.number))
        if sent_at is not None:
            self._borrowed.renew(vm, sent_at + self._cfg.lease_s)
        asked = self._asked.get(vm)
        if asked:
            for customer, _, count in grant.lots:
                left = asked.wants.get(customer, 0) - count
                asked.wants[customer] = max(0, left)
        if grant.lots:
            self._borrowed.add(lender=vm, lots=grant.lots, now=now)
            self._table.changed.on_next(None)

    def lost(self, vm: ids.VmId) -> None:
        """Start no more tasks on slots of this lender."""
        self._borrowed.drop(vm)
        self._asked.pop(vm, None)

    def tick(self, now: float) -> Outgoing:
        """Return slots that are idle, and renew loans that are in use."""
        frames_out = self.give_back(now, self._cfg.idle_return_s)
        self._sent = {
            key: sent_at
            for key, sent_at in self._sent.items()
            if now - sent_at < self._cfg.lease_s
        }
        margin = self._cfg.lease_s * RENEWAL_FRACTION
        in_use = self._borrowed.in_use(now - self._cfg.idle_return_s)
        for vm, until in in_use.items():
            newest = max(
                (at for sent, at in self._sent.items() if sent[0] == vm),
                default=-margin,
            )
            if until - now < margin <= now - newest:
                frames_out.append((vm, self._request(vm, (), now)))
        return frames_out

    def give_back(self, now: float, idle_s: float) -> Outgoing:
        """Return slots that were idle for so long to their lenders."""
        due = self._borrowed.collect(now, idle_s)
        return [(vm, frames.SlotReturn(lots=lots)) for vm, lots in due.items()]

    def _request(
        self, vm: ids.VmId, wants: tuple[frames.Want, ...], now: float
    ) -> frames.SlotRequest:
        self._last_number += 1
        self._sent[(vm, self._last_number)] = now
        return frames.SlotRequest(
            number=self._last_number, wants=wants, recall=()
        )

    def _needs(self, now: float) -> dict[ids.CustomerId, tuple[float, int]]:
        """Return weight and slots wanted beyond those already asked for."""
        pending: dict[ids.CustomerId, int] = {}
        for asked in self._asked.values():
            if now - asked.sent_at < self._cfg.lease_s:
                for customer, wanted in asked.wants.items():
                    pending[customer] = pending.get(customer, 0) + wanted
        return {
            entry.customer: (
                entry.weight,
                max(0, entry.waiting - pending.get(entry.customer, 0)),
            )
            for entry in self._backlog.customers(now)
        }

    def _waits_for(self, lender: Lender, now: float) -> bool:
        asked = self._asked.get(lender.vm)
        return bool(
            asked
            and now - asked.sent_at < self._cfg.lease_s
            and any(asked.wants.values())
        )

    def _most(
        self,
        lender: Lender,
        needs: Mapping[ids.CustomerId, tuple[float, int]],
        now: float,
    ) -> int:
        """Return how many slots to ask this lender for at most.

        A near lender without free slots is asked too, but rarely, because it
        may grant its fair part when a slot comes free.
        """
        if lender.free or not lender.near:
            return lender.free
        asked = self._asked.get(lender.vm)
        if asked and now - asked.sent_at < 2 * self._cfg.lease_s:
            return 0
        return sum(count for _, count in needs.values())


def _choose(
    needs: Mapping[ids.CustomerId, tuple[float, int]], most: int
) -> dict[ids.CustomerId, int]:
    """Divide ``most`` slots among the customers by contract weight."""
    shares = water_fill(
        most, {('', customer): need for customer, need in needs.items()}
    )
    return {customer: count for (_, customer), count in shares.items() if count}


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
