"""A cold worker has one lease holder at a time, and never two within a second."""

from __future__ import annotations

from unittest import mock

import testtools

from stagewalk.gateway.cold_starts import leases
from stagewalk.gateway.cold_starts.leases import ColdLease, ColdLeases, decode_cold_lease

SPAN_SECONDS = 1.0


class ColdLeaseTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.first, self.second = ColdLeases("a#1"), ColdLeases("b#1")
        self.record = ColdLease("a#1", ("w",))

    def win(self, sent_at: float, read_at: float) -> None:
        """Have the first process acquire a lease whose record the second one reads."""
        self.first.record_won(self.record, sent_at)
        self.second.apply(self.record, read_at)

    def holders_share_a_second(self) -> bool:
        """Whether the second process may acquire the lease within a second of the first's sends."""
        self.win(sent_at=0.0, read_at=0.0)
        times = [n / 100.0 for n in range(800)]
        last = max(at for at in times if self.first.may_send("w", at))
        return any(self.second.due("w", at) for at in times if at < last + SPAN_SECONDS)

    def test_next_holder_waits_for_more_than_a_second(self) -> None:
        self.assertFalse(self.holders_share_a_second())

    def test_without_handover_delay_two_holders_share_a_second(self) -> None:
        with mock.patch.object(leases, "HANDOVER_SECONDS", 0.0):
            self.assertTrue(self.holders_share_a_second())

    def test_lease_is_valid_from_when_it_was_sent(self) -> None:
        self.first.record_won(self.record, 2.0)
        self.assertTrue(self.first.may_send("w", 5.9))
        self.assertFalse(self.first.may_send("w", 6.0))
        self.assertFalse(self.first.may_send("other", 3.0))

    def test_lease_whose_append_was_not_answered_is_acquired_again(self) -> None:
        """Its record may have been appended long after it was sent."""
        self.first.apply(self.record, 0.0)
        self.assertFalse(self.first.may_send("w", 0.1))
        acquire = self.first.acquire(["w"], 1, 0.1)
        self.assertEqual((1, self.record), (acquire.end, acquire.record))

    def test_lease_is_renewed_before_its_end(self) -> None:
        self.first.record_won(self.record, 0.0)
        self.assertIsNone(self.first.acquire(["w"], 1, 2.0))
        self.assertIsNotNone(self.first.acquire(["w"], 1, 2.6))

    def test_record_of_another_holder_ends_the_own_lease(self) -> None:
        self.win(0.0, 0.0)
        self.first.apply(ColdLease("b#1", ("w",)), 1.0)
        self.assertFalse(self.first.may_send("w", 1.1))

    def test_no_lease_is_acquired_for_a_while_after_unread_records(self) -> None:
        self.second.record_gap(10.0)
        self.assertFalse(self.second.due("w", 15.1))
        self.assertTrue(self.second.due("w", 15.3))

    def test_only_workers_without_another_holder_are_acquired(self) -> None:
        self.second.apply(ColdLease("a#1", ("v", "w")), 0.0)
        acquire = self.second.acquire(["u", "v", "w"], 1, 0.5)
        self.assertEqual(("u",), acquire.record.workers)
        self.assertIsNone(self.second.acquire(["v"], 1, 0.5))

    def test_expired_leases_are_dropped(self) -> None:
        self.win(0.0, 0.0)
        self.assertEqual(1, self.first.held(1.0))
        for one in (self.first, self.second):
            one.forget(9.0)
            self.assertEqual(({}, {}), (one._held, one._valid_until))

    def test_encoded_record_is_decoded_unchanged(self) -> None:
        self.assertEqual(self.record, decode_cold_lease(self.record.encode()))
        self.assertIsNone(decode_cold_lease(b"nonsense"))
