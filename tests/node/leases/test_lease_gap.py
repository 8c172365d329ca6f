"""After a gap the quiet time holds too: who held the lease before may have renewed until then."""

from __future__ import annotations

import testtools

from stagewalk.gateway.leases.log_lease import (
    LEASE_SECONDS,
    NO_FENCE,
    Acquire,
    LeaseRecord,
    LogLease,
)

QUIET_SECONDS = 3.0
GAP_AT = 100.0
OWN = "a#2"


class GapTests(testtools.TestCase):
    def assert_quiet_after_a_gap(self, lease: LogLease) -> None:
        """Another's win and renewals were dropped unread, the last of them just before."""
        lease.record_gap(GAP_AT)
        now = GAP_AT
        while not isinstance(lease.decide(now, current=True), Acquire):
            now += 0.1
        lease.apply(50, LeaseRecord(OWN, NO_FENCE), now)
        lease.record_accepted(now, 50)
        self.assertTrue(lease.held)
        quiet_until = GAP_AT + LEASE_SECONDS + QUIET_SECONDS
        while now < quiet_until - 0.1:
            lease.record_accepted(now, 50)
            self.assertFalse(lease.may_act(now), f"{now - GAP_AT:.1f} s after the gap")
            now += 0.1

    def test_a_new_process_that_wins_after_a_gap_keeps_quiet(self) -> None:
        self.assert_quiet_after_a_gap(LogLease(OWN, QUIET_SECONDS, 0.0))

    def test_a_machine_that_held_the_lease_before_the_gap_keeps_quiet(self) -> None:
        lease = LogLease(OWN, QUIET_SECONDS, 0.0)
        lease.apply(10, LeaseRecord("a#1", NO_FENCE), 1.0)
        self.assert_quiet_after_a_gap(lease)
