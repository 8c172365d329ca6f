"""Draining workers get no new work; workers whose entries vanish in an outage are stale first."""

from __future__ import annotations

import math

import testtools

from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.selection import choose_worker
from stagewalk.gateway.workers.table import EARLIER_START_SECONDS, STALE_SECONDS, WorkerTable
from stagewalk.gateway.workers.worker import CONNECTION_REUSE_SECONDS, Worker
from tests.gateway.eligibility.support import NEAR_Z1
from tests.gateway.workers.support import RecordingListener, announcement

NEVER_DISTURBED = -math.inf


def names(table: WorkerTable) -> set[str]:
    return {worker.announcement.worker for worker in table.usable("s")}


class WorkerTableTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = WorkerTable()
        for name in ("a", "b"):
            self.table.announce(announcement(name), 0.0)

    def listed_as(self) -> set[str]:
        return {worker.announcement.listed_as for worker in self.table.usable("s")}

    def test_a_drained_worker_that_restarts_under_its_name_is_used(self) -> None:
        self.table.announce(announcement("a", draining=True, born=1_000), 1.0)
        self.table.remove("a", 5.0, NEVER_DISTURBED)
        self.table.announce(announcement("a", born=9_000), 9.0)
        self.assertEqual({"a", "b"}, self.listed_as())

    def test_state_of_a_worker_is_reset_by_a_restart(self) -> None:
        listener = RecordingListener()
        self.table.listen(listener)
        self.table.announce(announcement("c", born=1_000, versions={"m": 7}), 1.0)
        before = self.table.worker("c@1000")
        assert before is not None
        before.record_sent()
        before.record_failure(2.0)
        before.loading_until["m"] = 99.0
        self.table.announce(announcement("c", born=5_000, versions={"m": 1}), 5.0)
        after = self.table.worker("c@5000")
        assert after is not None
        self.assertIsNone(self.table.worker("c@1000"))
        kept = (after.in_flight, after.failures, after.versions, after.loading_until)
        self.assertEqual((0, 0, {"m": 1}, {}), kept)
        changes = [("c@1000", "joined"), ("c@1000", "gone"), ("c@5000", "joined")]
        self.assertEqual(changes, listener.changes)

    def test_late_entry_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.table.announce(announcement("c", born=5_000), 5.0)
        for late in (announcement("c", born=1_000, draining=True), announcement("c")):
            self.table.announce(late, 6.0)
            known = self.table.worker("c@5000")
            assert known is not None
            self.assertFalse(known.announcement.draining)

    def test_incarnation_with_an_earlier_clock_is_accepted_once_the_other_is_silent(self) -> None:
        self.table.announce(announcement("c", born=5_000), 5.0)
        self.table.announce(announcement("c", born=1_000), 5.0 + EARLIER_START_SECONDS - 0.1)
        self.assertIsNone(self.table.worker("c@1000"))
        self.table.announce(announcement("c", born=1_000), 5.1 + EARLIER_START_SECONDS)
        self.assertIsNotNone(self.table.worker("c@1000"))
        self.assertIsNone(self.table.worker("c@5000"))

    def test_a_draining_incarnation_stays_draining(self) -> None:
        self.table.announce(announcement("c", born=5_000, draining=True), 5.0)
        self.table.announce(announcement("c", born=5_000), 6.0)
        self.assertEqual({"a", "b"}, self.listed_as())

    def test_entry_without_start_time_is_not_used_if_most_entries_have_one(self) -> None:
        for name in ("c", "d", "e"):
            self.table.announce(announcement(name, born=1_000), 1.0)
        self.assertEqual({"c", "d", "e"}, self.listed_as())
        self.assertEqual(3, len(self.table.all()))

    def test_entries_without_start_time_are_used_if_few_entries_have_one(self) -> None:
        self.table.announce(announcement("c", born=1_000), 1.0)
        self.assertEqual({"a", "b", "c"}, self.listed_as())

    def test_worker_with_an_unreadable_entry_is_dropped_at_once(self) -> None:
        """Also around an outage, when a worker with a missing entry is only stale."""
        self.table.discard("a")
        self.assertEqual({"b"}, names(self.table))
        self.table.replace([announcement("a")], 10.0, 9.9, unreadable=["b"])
        self.assertEqual({"a"}, names(self.table))

    def test_a_draining_worker_gets_no_new_work(self) -> None:
        self.table.announce(announcement("a", draining=True), 1.0)
        self.assertEqual({"b"}, names(self.table))

    def test_a_worker_without_an_entry_gets_no_new_work(self) -> None:
        self.table.remove("a", 1.0, NEVER_DISTURBED)
        self.assertEqual({"b"}, names(self.table))

    def test_in_an_outage_stale_workers_are_used_only_if_no_others_are_left(self) -> None:
        self.table.remove("a", 10.0, 9.0)
        self.assertEqual({"b"}, names(self.table))
        self.table.remove("b", 10.0, 9.0)
        self.assertEqual({"a", "b"}, names(self.table))
        self.table.expire(10.0 + STALE_SECONDS)
        self.assertEqual(set(), names(self.table))

    def test_a_draining_worker_that_vanishes_in_an_outage_is_gone(self) -> None:
        self.table.announce(announcement("a", draining=True), 1.0)
        self.table.remove("a", 10.0, 9.0)
        self.table.remove("b", 10.0, 9.0)
        self.assertEqual({"b"}, names(self.table))

    def test_an_entry_still_missing_two_seconds_after_an_outage_is_gone(self) -> None:
        for name in ("a", "b"):
            self.table.remove(name, 10.0, 9.9)
        self.table.expire(9.9 + 1.9)
        self.assertEqual({"a", "b"}, names(self.table))
        self.table.announce(announcement("b"), 11.8)
        self.table.expire(9.9 + STALE_SECONDS)
        self.assertEqual({"b"}, names(self.table))
        self.table.remove("b", 9.9 + STALE_SECONDS, 9.9)
        self.assertEqual(set(), names(self.table))

    def test_late_entries_of_a_draining_worker_are_ignored(self) -> None:
        self.table.announce(announcement("a", draining=True), 1.0)
        self.table.announce(announcement("a"), 1.2)
        self.assertEqual({"b"}, names(self.table))
        self.table.remove("a", 2.0, NEVER_DISTURBED)
        self.table.announce(announcement("a"), 2.5)
        self.assertEqual({"b"}, names(self.table))
        self.table.replace([announcement("a"), announcement("b")], 3.0, 3.0)
        self.assertEqual({"b"}, names(self.table))

    def test_a_listing_replaces_all_workers(self) -> None:
        self.table.replace([announcement("c")], 1.0, NEVER_DISTURBED)
        self.assertEqual({"c"}, names(self.table))

    def test_an_entry_may_lower_the_weight_version(self) -> None:
        self.table.announce(announcement("a", versions={"m": 5}), 1.0)
        self.table.announce(announcement("a", versions={"m": 4}), 2.0)
        self.assertEqual(4, self.table.worker("a").versions["m"])


class SelectionTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = WorkerTable()
        self.table.announce(announcement("near", zone="z1"), 0.0)
        self.table.announce(announcement("far", zone="z2"), 0.0)

    def choose(self, now: float = 0.0, tried: tuple[str, ...] = ()) -> str:
        chosen = choose_worker(self.table.usable("s"), now, NEAR_Z1, tried)
        return "" if chosen is None else chosen.announcement.worker

    def test_nearer_worker_is_preferred(self) -> None:
        self.assertEqual("near", self.choose())

    def test_worker_with_lower_reported_load_is_preferred(self) -> None:
        self.table.worker("near").record_load(WorkerLoad(4, 2, 4), 0.0)
        self.assertEqual("far", self.choose())

    def test_old_load_is_ignored(self) -> None:
        self.table.worker("near").record_load(WorkerLoad(4, 2, 4), 0.0)
        self.assertEqual("near", self.choose(now=60.0))

    def test_recently_failed_worker_comes_last_and_tried_worker_is_never_chosen(self) -> None:
        self.table.worker("near").record_failure(0.0)
        self.assertEqual("far", self.choose())
        self.assertEqual("near", self.choose(tried=("far",)))
        self.assertEqual("", self.choose(tried=("far", "near")))

    def test_faster_worker_is_preferred(self) -> None:
        self.table.worker("near").record_success(0.2, 0.0)
        self.table.worker("far").record_success(0.05, 0.0)
        self.assertEqual("far", self.choose())

    def test_open_connection_outweighs_distance_but_not_load(self) -> None:
        far = self.table.worker("far")
        self.warm_up(far)
        usable = self.table.usable("s")
        self.assertIs(far, choose_worker(usable, 0.1, NEAR_Z1, prefer_warm=True))
        self.assertEqual("near", self.choose(0.1))
        far.record_load(WorkerLoad(2, 0, 4), 0.1)
        self.assertEqual(
            "near", choose_worker(usable, 0.1, NEAR_Z1, prefer_warm=True).announcement.worker
        )

    def test_connections_in_use_do_not_count_as_open(self) -> None:
        far = self.table.worker("far")
        self.warm_up(far)
        far.record_sent()
        self.assertFalse(far.warm(0.1))

    def test_idle_connection_expires(self) -> None:
        far = self.table.worker("far")
        self.warm_up(far)
        self.assertTrue(far.warm(CONNECTION_REUSE_SECONDS - 0.1))
        self.assertFalse(far.warm(CONNECTION_REUSE_SECONDS))

    def test_worker_that_closes_its_connection_is_not_warm(self) -> None:
        near = self.table.worker("near")
        near.record_connection(False, 0.0)
        self.assertFalse(near.warm(0.1))

    def warm_up(self, worker: Worker) -> None:
        worker.record_sent()
        worker.record_ended()
        worker.record_connection(True, 0.0)
