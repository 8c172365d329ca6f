"""Tests of tenant shares, borrowing, immediate rejections and the adaptive limit."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from stagewalk.common.errors import ErrorKind, ExecutionStatus
from stagewalk.common.identities import NodeName, RequestId, RequestKey, TenantName
from stagewalk.node.admission.config import AdmissionConfig, LimiterConfig
from stagewalk.node.admission.controller import AdmissionController, AdmissionDecision
from stagewalk.node.admission.limiter import AdaptiveLimiter
from stagewalk.node.admission.pool import PoolCapacity
from stagewalk.node.admission.shares import guaranteed
from stagewalk.node.core.completions import Priority
from tests.node.requests.support import MODEL, request, tenant

SHARES = {TenantName("a"): 0.5, TenantName("b"): 0.3, TenantName("c"): 0.2}
CONFIG = AdmissionConfig(
    maximum_waiting=12,
    maximum_waiting_per_tenant=6,
    limiter=LimiterConfig(initial_limit=10.0, maximum_limit=10.0),
)
INTERACTIVE = Priority.INTERACTIVE
ROLLOUT = Priority.ROLLOUT


class Desk:
    """A controller with an independent record of the running and waiting requests."""

    def __init__(self, config: AdmissionConfig = CONFIG) -> None:
        self.controller = AdmissionController(NodeName("n1"), config)
        self.controller.set_tenants(
            [tenant(name, capacity_share=share) for name, share in SHARES.items()]
        )
        self.running: list[RequestKey] = []
        self.waiting: list[RequestKey] = []
        self.number = 0

    def admit(self, name: str, priority: Priority = INTERACTIVE, deadline: float = 1e6):  # type: ignore[no-untyped-def]
        self.number += 1
        key = RequestKey(TenantName(name), RequestId(f"{name}{self.number}"))
        asked = request(key.request_id, tenant=key.tenant, priority=priority, deadline=deadline)
        outcome = self.controller.admit(key, asked, 0.0)
        if outcome.is_ok():
            (self.running if outcome.ok is AdmissionDecision.ADMITTED else self.waiting).append(key)
        return outcome

    def end(self, index: int) -> list[RequestKey]:
        if self.running:
            self.controller.ended(self.running.pop(index % len(self.running)), 1.0)
        return self.release()

    def release(self) -> list[RequestKey]:
        released = self.controller.release(1.0)
        for key in released:
            self.waiting.remove(key)
        self.running += released
        return released

    def used(self, name: str) -> int:
        return sum(1 for key in self.running if key.tenant == name)


STEP = st.tuples(
    st.sampled_from(("admit", "admit", "end", "withdraw")),
    st.sampled_from(tuple(SHARES)),
    st.sampled_from((INTERACTIVE, ROLLOUT)),
    st.integers(0, 20),
)


class AdmissionTest(testtools.TestCase):
    @given(st.lists(STEP, max_size=60))
    def test_shares_at_any_moment(self, steps: list[tuple[str, str, Priority, int]]) -> None:
        desk = Desk()
        for act, name, priority, index in steps:
            within_share = desk.used(name) + 1 <= guaranteed(SHARES, TenantName(name), 10.0)
            free = len(desk.running) < 10
            none_waits = not any(key.tenant == name for key in desk.waiting)
            match act:
                case "admit":
                    outcome = desk.admit(name, priority)
                    if within_share and free and none_waits:
                        self.assertEqual(AdmissionDecision.ADMITTED, outcome.ok)
                    if outcome.is_error():
                        self.assertEqual(ExecutionStatus.NO, outcome.error.ran)
                        self.assertGreater(outcome.error.retry_after_seconds, 0.0)
                case "end":
                    desk.end(index)
                case _ if desk.waiting:
                    desk.controller.withdraw(desk.waiting.pop(index % len(desk.waiting)))
                    desk.release()
            self.assertLessEqual(len(desk.running), 10)
            self.assertLessEqual(len(desk.waiting), 12)
            self.assertEqual(len(desk.running), desk.controller.in_flight_count())
            self.assertEqual(len(desk.waiting), desk.controller.waiting_count())
            if len(desk.running) < 10:
                for key in desk.waiting:
                    own = guaranteed(SHARES, key.tenant, 10.0)
                    self.assertGreater(desk.used(key.tenant) + 1, own, "a guaranteed slot idles")

    def test_unused_share_is_lent_except_for_a_reserve(self) -> None:
        desk = Desk()
        while desk.admit("a").is_ok() and not desk.waiting:
            pass
        self.assertEqual(9, desk.used("a"), "20% of the others' 5 slots stay free")
        self.assertEqual(AdmissionDecision.ADMITTED, desk.admit("b").ok)

    def test_lent_slots_return_with_the_first_completions(self) -> None:
        desk = Desk()
        for _ in range(12):
            desk.admit("a")
        for _ in range(4):
            desk.admit("b", ROLLOUT)
        for _ in range(2):
            desk.end(0)
        self.assertEqual(3, desk.used("b"), "one from the reserve, then each slot that frees")

    def test_interactive_before_rollouts(self) -> None:
        desk = Desk()
        while not desk.waiting:
            desk.admit("a", ROLLOUT)
        late = desk.admit("a", INTERACTIVE)
        self.assertEqual(AdmissionDecision.WAITING, late.ok)
        self.assertEqual([desk.waiting[-1]], desk.end(0))

    def test_part_of_the_pool_is_reserved_for_interactive(self) -> None:
        desk = Desk()
        desk.controller.set_pool_capacity(MODEL, PoolCapacity(slots=100, load=101))
        self.assertEqual(AdmissionDecision.WAITING, desk.admit("a", ROLLOUT).ok)
        self.assertEqual(AdmissionDecision.ADMITTED, desk.admit("a", INTERACTIVE).ok)

    def test_full_pool_admits_nothing(self) -> None:
        desk = Desk()
        desk.controller.set_pool_capacity(MODEL, PoolCapacity(slots=100, load=110))
        self.assertEqual(AdmissionDecision.WAITING, desk.admit("a").ok)

    def test_request_with_an_unreachable_deadline_is_rejected(self) -> None:
        desk = Desk()
        while not desk.waiting:
            desk.admit("a")
        refused = desk.admit("a", deadline=0.5)
        self.assertEqual(
            (ErrorKind.OVERLOADED, ExecutionStatus.NO), (refused.error.kind, refused.error.ran)
        )

    def test_new_shares_apply_immediately(self) -> None:
        desk = Desk()
        while not desk.waiting:
            desk.admit("a")
        swapped = (tenant("a", capacity_share=0.1), tenant("b", capacity_share=0.9))
        desk.controller.set_tenants(swapped)
        for _ in range(6):
            desk.admit("b")
        for _ in range(5):
            desk.end(0)
        self.assertEqual(6, desk.used("b"))


class LimiterTest(testtools.TestCase):
    def test_limit_falls_once_per_interval_and_recovers(self) -> None:
        limiter = AdaptiveLimiter(LimiterConfig(initial_limit=8.0))
        limiter.record_completed(3)
        self.assertEqual(8.0, limiter.limit, "it was not in use")
        limiter.record_completed(8)
        limiter.record_completed(8)
        self.assertEqual(10.0, limiter.limit)
        for _ in range(5):
            limiter.record_refused(1.0)
        self.assertEqual(8.0, limiter.limit)
        for _ in range(20):
            limiter.record_completed(8)
        self.assertEqual(13.0, limiter.limit, "a quarter each after the first refusal")

    def test_late_first_tokens_lower_the_limit(self) -> None:
        limiter = AdaptiveLimiter(LimiterConfig(initial_limit=10.0))
        limiter.record_first_token(0.1, 0.0)
        limiter.record_first_token(0.4, 1.0)
        self.assertEqual(10.0, limiter.limit)
        limiter.record_first_token(5.0, 2.0)
        self.assertEqual(9.5, limiter.limit)


class FreeSlotsTest(testtools.TestCase):
    def test_free_slots_are_used_beyond_the_adaptive_limit(self) -> None:
        limiter = LimiterConfig(initial_limit=1.0, minimum_limit=1.0)
        desk = Desk(AdmissionConfig(limiter=limiter, pool_overcommit=1.0, share_reserve=0.0))
        in_flight = []
        for _ in range(3):
            desk.controller.set_pool_capacity(
                MODEL, PoolCapacity(slots=100, load=len(desk.running))
            )
            desk.release()
            while desk.admit("a").is_ok() and not desk.waiting:
                pass
            in_flight.append(len(desk.running))
        self.assertEqual([50, 75, 87], in_flight)
