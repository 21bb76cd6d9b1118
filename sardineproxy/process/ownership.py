"""Ownership of slots: applies membership views to the slot table."""

from sardineproxy.process import borrowing, slots, views


class SlotOwnership:
    """Updates the owned slots and limits when the zone's view changes."""

    def __init__(
        self,
        *,
        views: views.MembershipViews,
        table: slots.SlotTable,
        drain_s: float,
    ) -> None:
        """Create an ownership without slots.

        After a change of the view, tasks may still run on slots that the new
        view assigns to other VMs. The view counts as settled once they have
        ended, and after ``drain_s`` at the latest.
        """
        self._views = views
        self._table = table
        self._drain_s = drain_s

        #: Divisions of the last confirmed view and of all later views.
        self._divisions: tuple[slots.LimitDivision, ...] = ()

        #: True if used and lent slots are within the candidate view, or the
        #: drain time is over.
        self.settled = False
        self._drain_until: float = 0

    def update(self, now: float) -> borrowing.OutgoingFrames:
        """Apply changes of the view; return the announcements to send."""
        if self._views.update_candidate(now):
            self.settled = False
            self._drain_until = now + self._drain_s
            self._restrict_usage()
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
        return self._views.pending_announcements(settled=self.settled)

    def drop_owned(self) -> None:
        """Drop the ownership of all slots until a view is confirmed again."""
        self._views.drop_owned()
        self._table.set_owned({})

    def leave(self) -> None:
        """Drop the ownership of all slots permanently."""
        self._views.leave()
        self._table.set_owned({})

    def _restrict_usage(self) -> None:
        """Restrict usage to the limits of all views since the confirmed one.

        Peers may still act on any of these views.
        """
        division = self._views.candidate.division
        if division not in self._divisions:
            self._divisions = (*self._divisions, division)
        self._table.set_limit_divisions(self._divisions)
        self._table.set_owned(self._views.owned)

    def _adopt_candidate(self) -> None:
        self._divisions = (self._views.candidate.division,)
        self._table.set_limit_divisions(self._divisions)
        self._table.set_owned(self._views.owned)
