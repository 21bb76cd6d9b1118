"""Authority of a job manager over time."""

import testtools

from sardineproxy.process.stored_jobs import authority


class TestAuthority(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.authority = authority.Authority(unconfirmed_s=2)
        self.authority.confirm(self.authority.mark(0))

    def test_confirmation_that_began_before_a_doubt_does_not_count(
        self,
    ) -> None:
        """Guards against an answer of the store from before the takeover."""
        mark = self.authority.mark(1)
        self.authority.doubt()
        self.authority.confirm(mark)
        self.assertFalse(self.authority.is_confirmed)
        self.authority.confirm(self.authority.mark(2))
        self.assertTrue(self.authority.is_confirmed)

    def test_late_tick_is_a_doubt(self) -> None:
        """Guards against work that a paused process sends when it goes on."""
        self.authority.tick(contact_at=1, now=1)
        self.authority.tick(contact_at=1.1, now=1.1)
        self.assertTrue(self.authority.is_confirmed)
        self.authority.tick(contact_at=1.5, now=1.5)
        self.assertFalse(self.authority.is_confirmed)

    def test_time_without_contact_is_a_doubt(self) -> None:
        """Guards against a partitioned process that keeps its authority."""
        for tick in range(10, 30):
            self.authority.tick(contact_at=1, now=tick / 10)
            self.assertTrue(self.authority.is_confirmed)
        self.authority.tick(contact_at=1, now=3)
        self.assertFalse(self.authority.is_confirmed)

    def test_confirmation_is_a_contact(self) -> None:
        """Guards against one read of the store for each tick in an outage."""
        self.authority.tick(contact_at=-5, now=1)
        self.authority.tick(contact_at=-5, now=1.2)
        self.assertTrue(self.authority.is_confirmed)
