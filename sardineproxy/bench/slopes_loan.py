"""Slopes of a slot loan: request, grant, use and return."""

from sardineproxy import ids
from sardineproxy.bench import slopes_fit, slopes_samples
from sardineproxy.connection import frames
from sardineproxy.process import borrowing, demand, loans, slots

#: Endpoints of the lender; it lends all 8 slots of each.
ENDPOINT_COUNTS = (1, 8, 48)
REPETITIONS = 20

_LENDER = ids.VmId('entry-00001')
_BORROWER = ids.VmId('entry-00000')
_CUSTOMER = ids.CustomerId('team-0')


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure_slope(
            'loan.cpu', 'us/endpoint, both ends', _time_loan, ENDPOINT_COUNTS
        )
    )
    out.add(
        slopes_fit.measure_slope(
            'loan.bytes',
            'B/endpoint, all messages',
            lambda endpoint_count: _LoanPair(endpoint_count).run_loan(),
            ENDPOINT_COUNTS,
            repeats=1,
        )
    )
    out.add_figure(
        'loan.messages', _count_messages(), 'messages/loan', 'counted'
    )


class _LoanPair:
    """A lender with free slots and a borrower with a backlog."""

    def __init__(self, endpoint_count: int) -> None:
        """Create a lender that owns the slots of ``endpoint_count`` endpoints."""
        self.now = float(0)
        self.message_count = 0
        vms = slopes_samples.make_endpoints(endpoint_count)
        owned_slots = {ids.EndpointId(vm.name): vm.slots for vm in vms}
        self._requested_slots = sum(owned_slots.values())
        self._cfg = borrowing.Config()
        self._lender = loans.Loans(
            cfg=self._cfg, table=_make_table(owned_slots)
        )
        self._borrower = loans.Loans(cfg=self._cfg, table=_make_table({}))

    def run_loan(self) -> int:
        """Run one loan of all slots; return the size of its messages in bytes."""
        self.now += 2 * self._cfg.probe_interval_s
        self._borrower.report(_make_demand(self._requested_slots), self.now)
        requests = self._borrower.request_slots(self._list_lenders, self.now)
        grants = self._deliver(self._lender, _BORROWER, requests)
        self._borrower.renew_lease(_LENDER, self.now)
        self._deliver(self._borrower, _LENDER, grants)
        self.now += self._cfg.idle_return_s
        self._borrower.report(_make_demand(0), self.now)
        returns = self._borrower.tick(self._list_lenders, self.now)
        self._deliver(self._lender, _BORROWER, returns)
        sent_frames = [frame for _, frame in (*requests, *grants, *returns)]
        self.message_count = len(sent_frames)
        return sum(len(frames.encode(frame).unwrap()) for frame in sent_frames)

    def _deliver(
        self,
        receiver: loans.Loans,
        sender: ids.VmId,
        sent_frames: borrowing.OutgoingFrames,
    ) -> borrowing.OutgoingFrames:
        replies: borrowing.OutgoingFrames = []
        for _, frame in sent_frames:
            # The length prefix has 4 bytes.
            body = frames.encode(frame).unwrap()[4:]
            received = frames.decode(body).unwrap().frame
            replies.extend(receiver.handle_frame(sender, received, self.now))
        return replies

    def _list_lenders(self) -> list[borrowing.LenderPeer]:
        return [
            borrowing.LenderPeer(
                vm=_LENDER, is_same_zone=True, free_slots=self._requested_slots
            )
        ]


def _time_loan(endpoint_count: int) -> float:
    loan_pair = _LoanPair(endpoint_count)
    loan_pair.run_loan()
    return slopes_fit.measure_cpu_us(
        loan_pair.run_loan, repetitions=REPETITIONS
    )


def _count_messages() -> int:
    loan_pair = _LoanPair(ENDPOINT_COUNTS[-1])
    loan_pair.run_loan()
    loan_pair.run_loan()
    return loan_pair.message_count


def _make_table(owned_slots: dict[ids.EndpointId, int]) -> slots.SlotTable:
    table = slots.SlotTable()
    table.set_owned(owned_slots)
    return table


def _make_demand(waiting: int) -> demand.Demand:
    return demand.Demand(
        customers=(
            demand.CustomerDemand(
                customer=_CUSTOMER, weight=1, waiting=waiting, running=0
            ),
        )
    )
