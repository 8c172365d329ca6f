"""After a gap in the log a new holder waits, since an unseen holder may have renewed until then."""

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
        """Assume that the gap hid another process's acquisition and its latest renewal."""
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

    def test_new_process_that_acquires_after_gap_does_not_act_early(self) -> None:
        self.assert_quiet_after_a_gap(LogLease(OWN, QUIET_SECONDS, 0.0))

    def test_holder_from_before_gap_does_not_act_early(self) -> None:
        lease = LogLease(OWN, QUIET_SECONDS, 0.0)
        lease.apply(10, LeaseRecord("a#1", NO_FENCE), 1.0)
        self.assert_quiet_after_a_gap(lease)
