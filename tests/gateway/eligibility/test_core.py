"""Eligibility of workers, when one is chosen and just before a request is sent."""

from __future__ import annotations

import ast
from dataclasses import replace
from pathlib import Path

import testtools

from stagewalk.gateway.eligibility.core import RequestScope
from stagewalk.gateway.eligibility.retry_after import (
    RETRY_AFTER_SECONDS_BY_DENIAL,
    retry_after_seconds,
)
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.records import CrashRecord
from stagewalk.gateway.routes.route import Route, RouteKind, Service
from stagewalk.gateway.tenants.tenant import Tenant
from stagewalk.gateway.workers.table import WorkerTable
from tests.gateway.batches.support import batch_route
from tests.gateway.eligibility.support import EligibilityFixture
from tests.gateway.workers.support import announcement

ROUTE = batch_route()
CONTENT = RequestContent("POST", "h.example", "/run/x", b"body")
SERVICE = Service("s", cold_seconds=3.0, cold_rate=2.0)
ROOT = Path(__file__).resolve().parent.parent.parent.parent


def with_regions(route: Route, *regions: str) -> Route:
    return replace(route, allowed_regions=frozenset(regions))


class EligibilityTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = WorkerTable()
        for worker, zone in (("a", "z1"), ("b", "z2"), ("c", "z3")):
            self.table.announce(announcement(worker, zone=zone), 0.0)
        self.fixture = EligibilityFixture(self.table, [ROUTE], [SERVICE])

    def found(self, route: Route = ROUTE, tenant: str | None = None, now: float = 9.0) -> list[str]:
        scope = RequestScope(route, CONTENT, tenant)
        candidates = self.fixture.eligibility.candidates("s", scope, now)
        return sorted(w.announcement.worker for w in candidates.workers)

    def permit(self, worker: str, now: float = 9.0):
        known = self.table.worker(worker)
        assert known is not None
        return self.fixture.eligibility.permit(known, RequestScope(ROUTE, CONTENT), now)

    def quarantine(self, at: float = 0.0) -> None:
        for level in (1, 2, 3):
            worker = f"gone{level}"
            crash = CrashRecord(CONTENT.digest, worker, worker, level, int(at * 1000), "n", "r")
            self.fixture.suspects.add(crash)

    def test_a_request_that_crashes_workers_gets_no_candidates(self) -> None:
        route = replace(ROUTE, kind=RouteKind.REPEATABLE)
        self.quarantine()
        found = self.fixture.eligibility.candidates("s", RequestScope(route, CONTENT), 9.0)
        self.assertEqual([], found.workers)
        self.assertEqual({Denial.CRASHES_WORKERS}, set(found.denied.values()))
        other = RequestScope(route, replace(CONTENT, body=b"other"))
        self.assertEqual(3, len(self.fixture.eligibility.candidates("s", other, 9.0).workers))

    def test_a_request_quarantined_after_its_permit_is_not_sent(self) -> None:
        scope = RequestScope(replace(ROUTE, kind=RouteKind.REPEATABLE), CONTENT)
        known = self.table.worker("a")
        assert known is not None
        permit = self.fixture.eligibility.permit(known, scope, 9.0).ok
        self.assertIsNone(permit.confirm(9.1))
        self.quarantine()
        self.assertIs(Denial.CRASHES_WORKERS, permit.confirm(9.2))
        self.assertIs(
            Denial.CRASHES_WORKERS, self.fixture.eligibility.permit(known, scope, 9.3).error
        )

    def test_nothing_is_denied_without_restrictions(self) -> None:
        self.assertEqual(["a", "b", "c"], self.found())
        self.assertIsNone(self.permit("a").ok.confirm(9.5))

    def test_workers_of_a_zone_are_denied_until_its_evacuation_ends(self) -> None:
        self.fixture.evacuations.replace({"z1", "z3"}, 1.0)
        self.assertEqual(["b"], self.found())
        self.assertEqual(Denial.ZONE_EVACUATED, self.permit("a").error)
        self.fixture.evacuations.apply("z1", in_force=False, now=20.0)
        self.assertEqual(["a", "b"], self.found(now=30.0))

    def test_a_permit_is_denied_if_the_zone_is_evacuated_before_the_send(self) -> None:
        permit = self.permit("a").ok
        self.fixture.evacuations.apply("z1", in_force=True, now=9.1)
        self.assertEqual(Denial.ZONE_EVACUATED, permit.confirm(9.2))

    def test_a_permit_is_denied_if_its_worker_drains_or_is_removed(self) -> None:
        leaving, gone = self.permit("a").ok, self.permit("b").ok
        self.table.announce(announcement("a", draining=True), 9.1)
        self.table.remove("b", 9.1, disturbed_at=-60.0)
        self.assertEqual(Denial.WORKER_LEAVING, leaving.confirm(9.2))
        self.assertEqual(Denial.WORKER_LEAVING, gone.confirm(9.2))

    def test_a_permit_is_denied_if_the_sender_withholds_the_request(self) -> None:
        known = self.table.worker("a")
        assert known is not None
        scope = RequestScope(ROUTE, CONTENT)
        permit = self.fixture.eligibility.permit(
            known, scope, 9.0, lambda at: None if at < 10.0 else Denial.VIEW_TOO_OLD
        ).ok
        self.assertIsNone(permit.confirm(9.9))
        self.assertEqual(Denial.VIEW_TOO_OLD, permit.confirm(10.0))

    def test_an_uncertain_worker_serves_if_the_others_are_evacuated(self) -> None:
        """The entry of the worker vanished while the store of the list was unreachable."""
        self.table.remove("c", 9.0, disturbed_at=9.0)
        self.assertEqual(["a", "b"], self.found())
        self.fixture.evacuations.replace({"z1", "z2"}, 9.0)
        self.assertEqual(["c"], self.found(now=9.1))

    def test_regions_of_route_and_tenant_both_apply(self) -> None:
        tenants = [Tenant("t", (), allowed_regions=frozenset({"r1"})), Tenant("free", ())]
        self.fixture.publish([with_regions(ROUTE, "r1", "r2")], [SERVICE], tenants)
        self.assertEqual(["a", "b", "c"], self.found(ROUTE, "free"))
        self.assertEqual(["a", "b"], self.found(ROUTE, "t"))
        self.fixture.publish([with_regions(ROUTE, "r2")], [SERVICE], tenants)
        self.assertEqual(["c"], self.found(ROUTE, "free", 9.1))
        self.assertEqual([], self.found(ROUTE, "t", 9.1))

    def test_a_waiting_request_is_bound_by_old_and_new_regions(self) -> None:
        matched = with_regions(ROUTE, "r1", "r2")
        self.fixture.publish([with_regions(ROUTE, "r2")], [SERVICE])
        self.assertEqual(["c"], self.found(matched))
        self.fixture.publish([ROUTE], [SERVICE])
        self.assertEqual(["c"], self.found(with_regions(ROUTE, "r2"), now=9.1))
        permit = self.permit("a").ok
        self.fixture.publish([with_regions(ROUTE, "r2")], [SERVICE])
        self.assertEqual(Denial.REGION_NOT_ALLOWED, permit.confirm(9.1))

    def test_a_zone_of_unknown_region_is_denied_if_regions_are_restricted(self) -> None:
        self.table.announce(announcement("d", zone="z9"), 0.0)
        self.assertIn("d", self.found())
        self.fixture.publish([with_regions(ROUTE, "r1", "r2")], [SERVICE])
        self.assertNotIn("d", self.found(now=9.1))

    def test_a_cold_worker_is_denied_without_a_lease_and_its_lease_requested(self) -> None:
        self.table.announce(replace(announcement("a"), cold_seconds=2.0), 9.0)
        self.assertEqual(["b", "c"], self.found())
        self.assertEqual(Denial.COLD_WITHOUT_LEASE, self.permit("a").error)
        self.assertTrue(self.fixture.cold.idle)
        candidates = self.fixture.eligibility.candidates("s", RequestScope(ROUTE, CONTENT), 9.0)
        self.fixture.eligibility.request_leases(candidates, 9.0)
        self.assertEqual(["a"], self.fixture.cold.leases_to_acquire(9.0, lambda _worker: True))
        self.assertEqual(["a", "b", "c"], self.found(now=11.4))

    def test_workers_are_cold_after_the_evacuation_of_their_zone(self) -> None:
        """They may have become cold just before, and their entries show it only later."""
        self.fixture.evacuations.replace({"z1"}, 1.0)
        self.fixture.evacuations.replace(set(), 9.0)
        self.assertEqual(Denial.COLD_WITHOUT_LEASE, self.permit("a", 12.2).error)
        self.assertTrue(self.permit("a", 12.4).is_ok())
        self.assertTrue(self.permit("b", 9.0).is_ok())

    def test_a_service_without_a_cold_rate_has_no_cold_workers(self) -> None:
        self.fixture.publish([ROUTE], [Service("s", cold_seconds=3.0)])
        self.table.announce(replace(announcement("a"), cold_seconds=2.0), 9.0)
        self.fixture.view_age = 60.0
        self.assertEqual(["a", "b", "c"], self.found())

    def test_each_denial_is_reported(self) -> None:
        permit = self.permit("a").ok
        self.fixture.evacuations.replace({"z1"}, 9.0)
        permit.confirm(9.1)
        self.permit("a", 9.2)
        known = self.table.worker("a")
        assert known is not None
        self.fixture.eligibility.permit(known, None, 9.3)
        denials = [Denial.ZONE_EVACUATED, Denial.ZONE_EVACUATED, Denial.NO_ROUTE]
        self.assertEqual(denials, self.fixture.denials)

    def test_a_path_without_a_route_has_no_scope(self) -> None:
        self.assertIsNone(self.fixture.eligibility.scope("/other/", CONTENT, None))
        scope = self.fixture.eligibility.scope("/run/x", CONTENT, "t")
        self.assertEqual(RequestScope(ROUTE, CONTENT, "t"), scope)


class RetryAfterTests(testtools.TestCase):
    def test_the_shortest_delay_applies(self) -> None:
        both = {Denial.ZONE_EVACUATED, Denial.COLD_RATE_REACHED}
        self.assertEqual(
            RETRY_AFTER_SECONDS_BY_DENIAL[Denial.COLD_RATE_REACHED], retry_after_seconds(both, 9.0)
        )
        self.assertEqual(0.25, retry_after_seconds((), 0.25))
        leaving = {Denial.WORKER_LEAVING, Denial.ZONE_EVACUATED}
        self.assertEqual(0.25, retry_after_seconds(leaving, 0.25))


class PermitCreationTests(testtools.TestCase):
    def test_only_eligibility_creates_permits(self) -> None:
        """Clients of workers require a permit, so no sender can bypass the checks."""
        callers = {
            str(path.relative_to(ROOT))
            for folder in ("src/stagewalk", "platform")
            for path in (ROOT / folder).rglob("*.py")
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Call)
            and getattr(node.func, "id", getattr(node.func, "attr", "")) == "SendPermit"
        }
        self.assertEqual({"src/stagewalk/gateway/eligibility/core.py"}, callers)
