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

    def update(self, now: float) -> borrowing.OutgoingFrames:
        """Apply what changed and return the views to state, and to whom."""
        if self._views.update_candidate(now):
            self.settled = False
            self._drain_until = now + self._drain_s
            self._restrict()
        if not self.settled:
            candidate = self._views.candidate
            self.settled = (
                now >= self._drain_until
                or self._table.is_usage_within(
                    candidate.owned, candidate.division
                )
            )
        if self._views.confirm_candidate(now, settled=self.settled):
            self._adopt_candidate()
        return self._views.pending_statements(settled=self.settled)

    def drop_owned(self) -> None:
        """Give up all slots until the peers confirm a view anew."""
        self._views.drop_owned()
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
        self._table.set_limit_divisions(self._divisions)
        self._table.set_owned(self._views.owned)

    def _adopt_candidate(self) -> None:
        self._divisions = (self._views.candidate.division,)
        self._table.set_limit_divisions(self._divisions)
        self._table.set_owned(self._views.owned)
