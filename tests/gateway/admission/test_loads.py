"""What callers get while they ask a service for more than there is room for.

Three workers of six slots take 0.04 s for a request: room for 450 requests a second. Callers hope
for an answer within 0.4 s, and return as they are told while their two seconds last.
"""

from __future__ import annotations

from functools import cache

import testtools

from tests.gateway.admission.play import (
    Call,
    Play,
    by_tenant,
    longest_refused_wait,
    percentile,
    served_share,
)

ROOM_PER_SECOND = 450.0
TARGET_SECONDS = 0.4
MAXIMUM_REFUSED_WAIT = TARGET_SECONDS / 8.0
TENANTS = [f"t{n}" for n in range(72)]
SHARE_PER_SECOND = ROOM_PER_SECOND / len(TENANTS)


def p99_of_served_tries(calls: list[Call]) -> float:
    return percentile((c.served_at - c.tried_at for c in calls if c.served_at is not None), 0.99)


@cache
def twice_the_room(nodes: int, timeout: float = 2.0) -> list[Call]:
    play = Play(nodes=nodes)
    play.demand(TENANTS, 2.0 * SHARE_PER_SECOND, 0.0, 10.0, timeout=timeout)
    play.run(10.0 + timeout)
    return play.calls


@cache
def beside_burst(nodes: int, burst: float) -> list[Call]:
    """Return the calls of 71 tenants while one asks for so many times its share."""
    play = Play(nodes=nodes)
    play.demand(TENANTS[1:], 0.7 * SHARE_PER_SECOND, 0.0, 10.0)
    play.demand(TENANTS[:1], burst * SHARE_PER_SECOND, 0.0, 10.0)
    play.run(12.0)
    return [call for call in play.calls if call.tenant != TENANTS[0]]


@cache
def two_workers_lost(nodes: int) -> list[Call]:
    """Lose two of three workers from second 4 to second 9."""
    play = Play(nodes=nodes)
    play.demand(TENANTS, 0.7 * SHARE_PER_SECOND, 0.0, 15.0)

    def lose(lost: int) -> None:
        for n, worker in enumerate(play.workers):
            worker.lost = n < lost

    play.after(4.0, lambda: lose(2))
    play.after(9.0, lambda: lose(0))
    play.run(17.0)
    return play.calls


class TwiceTheRoomTests(testtools.TestCase):
    def test_all_room_is_used_and_what_is_served_is_served_in_time(self) -> None:
        for nodes in (1, 4):
            calls = twice_the_room(nodes)
            self.assertGreater(served_share(calls), 0.5)
            self.assertLess(p99_of_served_tries(calls), TARGET_SECONDS)

    def test_who_is_refused_hears_of_it_within_an_eighth_of_the_target(self) -> None:
        for nodes in (1, 4):
            calls = twice_the_room(nodes)
            self.assertLess(longest_refused_wait(calls), MAXIMUM_REFUSED_WAIT)

    def test_most_of_the_room_goes_to_answers_within_their_target(self) -> None:
        calls = twice_the_room(4)
        in_target = served_share(calls, TARGET_SECONDS) * len(calls)
        self.assertGreater(in_target, 0.7 * ROOM_PER_SECOND * 10.0)

    def test_tenants_are_served_alike(self) -> None:
        shares = [served_share(calls) for calls in by_tenant(twice_the_room(4)).values()]
        self.assertGreater(min(shares), 0.75 * sum(shares) / len(shares))

    def test_nobody_is_refused_for_ever(self) -> None:
        calls = twice_the_room(4, timeout=20.0)
        self.assertEqual(1.0, served_share(calls))


class OneTenantsBurstTests(testtools.TestCase):
    def test_ten_times_its_share_leaves_the_others_times_as_they_are(self) -> None:
        for nodes in (1, 4, 59):
            before, after = beside_burst(nodes, 0.7), beside_burst(nodes, 10.0)
            self.assertEqual(1.0, served_share(after))
            slower = p99_of_served_tries(after) - p99_of_served_tries(before)
            self.assertLess(slower, TARGET_SECONDS / 8.0)

    def test_all_the_room_for_itself_costs_the_others_no_answer(self) -> None:
        calls = beside_burst(1, 72.0)
        self.assertEqual(1.0, served_share(calls, TARGET_SECONDS))


class LostWorkersTests(testtools.TestCase):
    def test_what_is_left_is_used_and_the_refused_hear_of_it_at_once(self) -> None:
        for nodes in (1, 4):
            calls = two_workers_lost(nodes)
            meanwhile = [call for call in calls if 4.0 <= call.asked_at < 9.0]
            self.assertGreater(served_share(meanwhile), 1.0 / 3.0)
            self.assertLess(p99_of_served_tries(meanwhile), TARGET_SECONDS)
            self.assertLess(longest_refused_wait(calls), MAXIMUM_REFUSED_WAIT)

    def test_two_seconds_after_they_are_back_all_is_as_before(self) -> None:
        for nodes in (1, 4):
            calls = two_workers_lost(nodes)
            after = [call for call in calls if call.asked_at >= 11.0]
            self.assertEqual(1.0, served_share(after, TARGET_SECONDS))


class UrgencyTests(testtools.TestCase):
    def test_urgent_requests_are_served_while_others_ask_for_more_than_the_room(self) -> None:
        play = Play(nodes=4)
        play.demand(TENANTS[:36], SHARE_PER_SECOND, 0.0, 10.0, urgency=2)
        play.demand(TENANTS[36:], 3.0 * SHARE_PER_SECOND, 0.0, 10.0, urgency=7)
        play.run(12.0)
        urgent = [call for call in play.calls if call.urgency == 2]
        others = [call for call in play.calls if call.urgency == 7]
        self.assertGreater(served_share(urgent), 0.99)
        self.assertGreater(served_share(others), 0.2)
        self.assertLess(longest_refused_wait(play.calls), MAXIMUM_REFUSED_WAIT)


class FewRequestsTests(testtools.TestCase):
    def test_nodes_with_three_requests_a_second_are_not_held_up(self) -> None:
        play = Play(nodes=59)
        play.demand(TENANTS, 59 * 3.0 / len(TENANTS), 0.0, 20.0)
        play.run(22.0)
        self.assertEqual(1.0, served_share(play.calls, TARGET_SECONDS))
        self.assertEqual(0.0, sum(len(call.refused_waits) for call in play.calls))


class ManyNodesTests(testtools.TestCase):
    """59 nodes with twice the room asked: each starts some seven requests a second."""

    def test_what_is_served_is_served_in_time(self) -> None:
        calls = twice_the_room(59)
        self.assertGreater(served_share(calls), 0.5)
        self.assertLess(p99_of_served_tries(calls), TARGET_SECONDS)

    def test_who_is_refused_hears_of_it_within_an_eighth_of_the_target(self) -> None:
        self.assertLess(longest_refused_wait(twice_the_room(59)), MAXIMUM_REFUSED_WAIT)
