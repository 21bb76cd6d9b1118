"""Authority of a job manager over time."""

import testtools

from sardineproxy.process.node import leadership_contact
from sardineproxy.process.stored_jobs import authority


class TestAuthority(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.authority = authority.Authority(unconfirmed_s=2)
        self.authority.confirm(self.authority.mark(0))

    def tick(
        self, now: float, contact_at: float, heard_at: float | None = None
    ) -> None:
        self.authority.tick(
            leadership_contact.Contact(
                confirmed_at=contact_at, heard_at=heard_at
            ),
            now,
        )

    def test_messages_of_all_successors_confirm(self) -> None:
        """Guards against tasks that wait for the end of a store outage."""
        self.tick(1, 1, 1)
        self.authority.invalidate()
        for now in (1.1, 1.2):
            self.tick(now, now, 1.1)
            self.assertFalse(self.authority.is_confirmed)
        self.tick(1.3, 1.3, 1.25)
        self.assertTrue(self.authority.is_confirmed)

    def test_confirmation_that_began_before_an_invalidation_does_not_count(
        self,
    ) -> None:
        """Guards against an answer of the store from before the takeover."""
        mark = self.authority.mark(1)
        self.authority.invalidate()
        self.authority.confirm(mark)
        self.assertFalse(self.authority.is_confirmed)
        self.authority.confirm(self.authority.mark(2))
        self.assertTrue(self.authority.is_confirmed)

    def test_late_tick_invalidates(self) -> None:
        """Guards against work that a paused process sends when it goes on."""
        self.tick(1, 1)
        self.tick(1.1, 1.1)
        self.assertTrue(self.authority.is_confirmed)
        self.tick(1.5, 1.5)
        self.assertFalse(self.authority.is_confirmed)

    def test_time_without_contact_invalidates(self) -> None:
        """Guards against a partitioned process that keeps its authority."""
        for tick in range(10, 30):
            self.tick(tick / 10, 1)
            self.assertTrue(self.authority.is_confirmed)
        self.tick(3, 1)
        self.assertFalse(self.authority.is_confirmed)

    def test_confirmation_is_a_contact(self) -> None:
        """Guards against one read of the store for each tick in an outage."""
        self.tick(1, -5)
        self.tick(1.2, -5)
        self.assertTrue(self.authority.is_confirmed)
