"""Slopes of a slot loan: request, grant, use and return."""

from sardineproxy import ids
from sardineproxy.bench import slopes_fit, slopes_samples
from sardineproxy.connection import frames
from sardineproxy.process import borrowing, demand, loans, slots

#: Endpoints of which the lender lends slots, all 8 of each.
LOTS = (1, 8, 48)
TIMES = 20

_LENDER = ids.VmId('entry-00001')
_BORROWER = ids.VmId('entry-00000')
_CUSTOMER = ids.CustomerId('team-0')


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes."""
    out.add(
        slopes_fit.measure(
            'loan.cpu', 'us/endpoint, both ends', _time_loan, LOTS
        )
    )
    out.add(
        slopes_fit.measure(
            'loan.bytes',
            'B/endpoint, all messages',
            lambda lots: _Pair(lots).lend_once(),
            LOTS,
            repeats=1,
        )
    )
    out.add_figure(
        'loan.messages', _count_messages(), 'messages/loan', 'counted'
    )


class _Pair:
    """A lender with free slots and a borrower with a backlog."""

    def __init__(self, lots: int) -> None:
        """Prepare so many endpoints at the lender."""
        self.now = float(0)
        self.messages = 0
        vms = slopes_samples.endpoints(lots)
        owned = {ids.EndpointId(vm.name): vm.slots for vm in vms}
        self._wanted = sum(owned.values())
        self._cfg = borrowing.Config()
        self._lender = loans.Loans(cfg=self._cfg, table=_table(owned))
        self._borrower = loans.Loans(cfg=self._cfg, table=_table({}))

    def lend_once(self) -> int:
        """Lend all slots and give them back; return the bytes sent."""
        self.now += 2 * self._cfg.probe_interval_s
        self._borrower.report(_demand(self._wanted), self.now)
        asked = self._borrower.request_slots(self._list_lenders, self.now)
        granted = self._deliver(self._lender, _BORROWER, asked)
        self._borrower.renew_lease(_LENDER, self.now)
        self._deliver(self._borrower, _LENDER, granted)
        self.now += self._cfg.idle_return_s
        self._borrower.report(_demand(0), self.now)
        back = self._borrower.tick(self._list_lenders, self.now)
        self._deliver(self._lender, _BORROWER, back)
        frames_sent = [frame for _, frame in (*asked, *granted, *back)]
        self.messages = len(frames_sent)
        return sum(len(frames.encode(one).unwrap()) for one in frames_sent)

    def _deliver(
        self, to: loans.Loans, sender: ids.VmId, sent: borrowing.OutgoingFrames
    ) -> borrowing.OutgoingFrames:
        replies: borrowing.OutgoingFrames = []
        for _, frame in sent:
            body = frames.encode(frame).unwrap()[4:]
            received = frames.decode(body).unwrap().frame
            replies.extend(to.handle_frame(sender, received, self.now))
        return replies

    def _list_lenders(self) -> list[borrowing.LenderPeer]:
        return [
            borrowing.LenderPeer(
                vm=_LENDER, is_same_zone=True, free_slots=self._wanted
            )
        ]


def _time_loan(lots: int) -> float:
    pair = _Pair(lots)
    pair.lend_once()
    return slopes_fit.cpu_us(pair.lend_once, times=TIMES)


def _count_messages() -> int:
    pair = _Pair(LOTS[-1])
    pair.lend_once()
    pair.lend_once()
    return pair.messages


def _table(owned: dict[ids.EndpointId, int]) -> slots.SlotTable:
    table = slots.SlotTable()
    table.set_owned(owned)
    return table


def _demand(waiting: int) -> demand.Demand:
    return demand.Demand(
        customers=(
            demand.CustomerDemand(
                customer=_CUSTOMER, weight=1, waiting=waiting, running=0
            ),
        )
    )
