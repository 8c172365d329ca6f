"""Whether a request may be sent to a worker: when one is chosen, and as it is sent."""

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
from tests.gateway.eligibility.support import Rules
from tests.gateway.workers.support import announcement

ROUTE = batch_route()
CONTENT = RequestContent("POST", "h.example", "/run/x", b"body")
SERVICE = Service("s", cold_seconds=3.0, cold_rate=2.0)
ROOT = Path(__file__).resolve().parent.parent.parent.parent


def homes(route: Route, *regions: str) -> Route:
    return replace(route, allowed_regions=frozenset(regions))


class EligibilityTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = WorkerTable()
        for worker, zone in (("a", "z1"), ("b", "z2"), ("c", "z3")):
            self.table.announce(announcement(worker, zone=zone), 0.0)
        self.rules = Rules(self.table, [ROUTE], [SERVICE])

    def found(self, route: Route = ROUTE, tenant: str | None = None, now: float = 9.0) -> list[str]:
        scope = RequestScope(route, CONTENT, tenant)
        candidates = self.rules.eligibility.candidates("s", scope, now)
        return sorted(w.announcement.worker for w in candidates.workers)

    def permit(self, worker: str, now: float = 9.0):
        known = self.table.worker(worker)
        assert known is not None
        return self.rules.eligibility.permit(known, RequestScope(ROUTE, CONTENT), now)

    def hold(self, at: float = 0.0) -> None:
        for level in (1, 2, 3):
            worker = f"gone{level}"
            crash = CrashRecord(CONTENT.digest, worker, worker, level, int(at * 1000), "n", "r")
            self.rules.suspects.add(crash)

    def test_a_request_that_crashes_workers_gets_none_and_others_do(self) -> None:
        route = replace(ROUTE, kind=RouteKind.REPEATABLE)
        self.hold()
        found = self.rules.eligibility.candidates("s", RequestScope(route, CONTENT), 9.0)
        self.assertEqual([], found.workers)
        self.assertEqual({Denial.CRASHES_WORKERS}, set(found.denied.values()))
        other = RequestScope(route, replace(CONTENT, body=b"other"))
        self.assertEqual(3, len(self.rules.eligibility.candidates("s", other, 9.0).workers))

    def test_a_request_that_is_found_out_while_it_waits_for_a_connection_is_not_sent(self) -> None:
        scope = RequestScope(replace(ROUTE, kind=RouteKind.REPEATABLE), CONTENT)
        known = self.table.worker("a")
        assert known is not None
        permit = self.rules.eligibility.permit(known, scope, 9.0).ok
        self.assertIsNone(permit.confirm(9.1))
        self.hold()
        self.assertIs(Denial.CRASHES_WORKERS, permit.confirm(9.2))
        self.assertIs(
            Denial.CRASHES_WORKERS, self.rules.eligibility.permit(known, scope, 9.3).error
        )

    def test_nothing_is_denied_where_nothing_is_restricted(self) -> None:
        self.assertEqual(["a", "b", "c"], self.found())
        self.assertIsNone(self.permit("a").ok.confirm(9.5))

    def test_workers_of_evacuated_zones_are_denied_until_that_is_taken_back(self) -> None:
        self.rules.evacuations.replace({"z1", "z3"}, 1.0)
        self.assertEqual(["b"], self.found())
        self.assertEqual(Denial.ZONE_EVACUATED, self.permit("a").error)
        self.rules.evacuations.apply("z1", in_force=False, now=20.0)
        self.assertEqual(["a", "b"], self.found(now=30.0))

    def test_a_permit_is_denied_once_the_zone_is_evacuated_before_the_send(self) -> None:
        permit = self.permit("a").ok
        self.rules.evacuations.apply("z1", in_force=True, now=9.1)
        self.assertEqual(Denial.ZONE_EVACUATED, permit.confirm(9.2))

    def test_a_permit_is_denied_once_its_worker_leaves_or_is_gone(self) -> None:
        leaving, gone = self.permit("a").ok, self.permit("b").ok
        self.table.announce(announcement("a", draining=True), 9.1)
        self.table.remove("b", 9.1, disturbed_at=-60.0)
        self.assertEqual(Denial.WORKER_LEAVING, leaving.confirm(9.2))
        self.assertEqual(Denial.WORKER_LEAVING, gone.confirm(9.2))

    def test_a_permit_is_denied_once_its_sender_may_not_send_any_more(self) -> None:
        known = self.table.worker("a")
        assert known is not None
        scope = RequestScope(ROUTE, CONTENT)
        permit = self.rules.eligibility.permit(
            known, scope, 9.0, lambda at: None if at < 10.0 else Denial.VIEW_TOO_OLD
        ).ok
        self.assertIsNone(permit.confirm(9.9))
        self.assertEqual(Denial.VIEW_TOO_OLD, permit.confirm(10.0))

    def test_a_doubted_worker_serves_if_the_sure_ones_are_evacuated(self) -> None:
        """Its entry vanished while the list's store was away."""
        self.table.remove("c", 9.0, disturbed_at=9.0)
        self.assertEqual(["a", "b"], self.found())
        self.rules.evacuations.replace({"z1", "z2"}, 9.0)
        self.assertEqual(["c"], self.found(now=9.1))

    def test_regions_of_route_and_tenant_both_bind(self) -> None:
        tenants = [Tenant("t", (), allowed_regions=frozenset({"r1"})), Tenant("free", ())]
        self.rules.publish([homes(ROUTE, "r1", "r2")], [SERVICE], tenants)
        self.assertEqual(["a", "b", "c"], self.found(ROUTE, "free"))
        self.assertEqual(["a", "b"], self.found(ROUTE, "t"))
        self.rules.publish([homes(ROUTE, "r2")], [SERVICE], tenants)
        self.assertEqual(["c"], self.found(ROUTE, "free", 9.1))
        self.assertEqual([], self.found(ROUTE, "t", 9.1))

    def test_regions_that_change_while_a_request_waits_bind_it_before_and_after(self) -> None:
        taken = homes(ROUTE, "r1", "r2")
        self.rules.publish([homes(ROUTE, "r2")], [SERVICE])
        self.assertEqual(["c"], self.found(taken))
        self.rules.publish([ROUTE], [SERVICE])
        self.assertEqual(["c"], self.found(homes(ROUTE, "r2"), now=9.1))
        permit = self.permit("a").ok
        self.rules.publish([homes(ROUTE, "r2")], [SERVICE])
        self.assertEqual(Denial.REGION_NOT_ALLOWED, permit.confirm(9.1))

    def test_a_zone_whose_region_is_unknown_is_nobodys_home(self) -> None:
        self.table.announce(announcement("d", zone="z9"), 0.0)
        self.assertIn("d", self.found())
        self.rules.publish([homes(ROUTE, "r1", "r2")], [SERVICE])
        self.assertNotIn("d", self.found(now=9.1))

    def test_a_cold_worker_is_denied_without_a_lease_and_wanted(self) -> None:
        self.table.announce(replace(announcement("a"), cold_seconds=2.0), 9.0)
        self.assertEqual(["b", "c"], self.found())
        self.assertEqual(Denial.COLD_WITHOUT_LEASE, self.permit("a").error)
        self.assertTrue(self.rules.cold.idle)
        candidates = self.rules.eligibility.candidates("s", RequestScope(ROUTE, CONTENT), 9.0)
        self.rules.eligibility.request_leases(candidates, 9.0)
        self.assertEqual(["a"], self.rules.cold.leases_to_acquire(9.0, lambda _worker: True))
        self.assertEqual(["a", "b", "c"], self.found(now=11.4))

    def test_the_workers_of_a_zone_that_comes_back_are_cold(self) -> None:
        """They may have become so just before, and their entries tell it only later."""
        self.rules.evacuations.replace({"z1"}, 1.0)
        self.rules.evacuations.replace(set(), 9.0)
        self.assertEqual(Denial.COLD_WITHOUT_LEASE, self.permit("a", 12.2).error)
        self.assertTrue(self.permit("a", 12.4).is_ok())
        self.assertTrue(self.permit("b", 9.0).is_ok())

    def test_a_service_that_states_no_rate_has_no_cold_workers(self) -> None:
        self.rules.publish([ROUTE], [Service("s", cold_seconds=3.0)])
        self.table.announce(replace(announcement("a"), cold_seconds=2.0), 9.0)
        self.rules.view_age = 60.0
        self.assertEqual(["a", "b", "c"], self.found())

    def test_each_denial_is_told(self) -> None:
        permit = self.permit("a").ok
        self.rules.evacuations.replace({"z1"}, 9.0)
        permit.confirm(9.1)
        self.permit("a", 9.2)
        known = self.table.worker("a")
        assert known is not None
        self.rules.eligibility.permit(known, None, 9.3)
        denials = [Denial.ZONE_EVACUATED, Denial.ZONE_EVACUATED, Denial.NO_ROUTE]
        self.assertEqual(denials, self.rules.denials)

    def test_a_route_that_is_gone_permits_nothing(self) -> None:
        self.assertIsNone(self.rules.eligibility.scope("/other/", CONTENT, None))
        scope = self.rules.eligibility.scope("/run/x", CONTENT, "t")
        self.assertEqual(RequestScope(ROUTE, CONTENT, "t"), scope)


class ComeBackTests(testtools.TestCase):
    def test_the_soonest_change_counts(self) -> None:
        both = {Denial.ZONE_EVACUATED, Denial.COLD_RATE_REACHED}
        self.assertEqual(
            RETRY_AFTER_SECONDS_BY_DENIAL[Denial.COLD_RATE_REACHED], retry_after_seconds(both, 9.0)
        )
        self.assertEqual(0.25, retry_after_seconds((), 0.25))
        leaving = {Denial.WORKER_LEAVING, Denial.ZONE_EVACUATED}
        self.assertEqual(0.25, retry_after_seconds(leaving, 0.25))


class SingleGateTests(testtools.TestCase):
    def test_nothing_but_eligibility_makes_permits(self) -> None:
        """A client of the workers takes nothing else, so no sender goes round it."""
        makers = {
            str(path.relative_to(ROOT))
            for folder in ("src/stagewalk", "platform")
            for path in (ROOT / folder).rglob("*.py")
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Call)
            and getattr(node.func, "id", getattr(node.func, "attr", "")) == "SendPermit"
        }
        self.assertEqual({"src/stagewalk/gateway/eligibility/core.py"}, makers)
