"""Applies the zone's views to the slot table."""

from sardineproxy.process import borrowing, slots, views


class SlotOwnership:
    """Gives up and takes up slots as the views of the zone change."""

    def __init__(
        self,
        *,
        views: views.MembershipViews,
        table: slots.SlotTable,
        drain_s: float,
    ) -> None:
        """Wait at most ``drain_s`` for tasks on slots that are given up."""
        self._views = views
        self._table = table
        self._drain_s = drain_s
        self._divisions: tuple[slots.LimitDivision, ...] = ()

        #: True if all use and loans are within the candidate view.
        self.settled = False
        self._drain_until: float = 0

    def review(self, now: float) -> borrowing.OutgoingFrames:
        """Apply what changed and return the views to state, and to whom."""
        if self._views.refresh(now):
            self.settled = False
            self._drain_until = now + self._drain_s
            self._restrict()
        if not self.settled:
            candidate = self._views.candidate
            self.settled = now >= self._drain_until or self._table.fits(
                candidate.owned, candidate.division
            )
        if self._views.confirm(now, settled=self.settled):
            self._take_up()
        return self._views.outgoing(settled=self.settled)

    def drop(self) -> None:
        """Give up all slots until the peers confirm a view anew."""
        self._views.drop()
        self._table.set_owned({})

    def leave(self) -> None:
        """Give up all slots for good."""
        self._views.leave()
        self._table.set_owned({})

    def _restrict(self) -> None:
        """Use only what every view since the last confirmed one gives."""
        division = self._views.candidate.division
        if division not in self._divisions:
            self._divisions = (*self._divisions, division)
        self._table.set_divisions(self._divisions)
        self._table.set_owned(self._views.owned)

    def _take_up(self) -> None:
        self._divisions = (self._views.candidate.division,)
        self._table.set_divisions(self._divisions)
        self._table.set_owned(self._views.owned)
