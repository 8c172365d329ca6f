"""Requests in flight end at their deadline, or together at the end of a stop."""

from __future__ import annotations

import anyio
import testtools

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.forwarding.open_requests import OpenRequests
from stagewalk.gateway.forwarding.route_durations import MAXIMUM_ROUTES, RouteDurations

LATE_SECONDS = 1_000.0


class OpenRequestsTests(testtools.TestCase):
    def test_all_requests_end_together_also_those_that_begin_later(self) -> None:
        ended: list[int] = []

        async def request(open_requests: OpenRequests, number: int) -> None:
            with open_requests.until(steady_seconds() + LATE_SECONDS):
                await anyio.sleep_forever()
            ended.append(number)

        async def main() -> None:
            open_requests = OpenRequests()
            with anyio.fail_after(5.0):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(request, open_requests, 1)
                    tasks.start_soon(request, open_requests, 2)
                    await anyio.wait_all_tasks_blocked()
                    open_requests.end_all()
                await request(open_requests, 3)

        anyio.run(main)
        self.assertEqual([1, 2, 3], sorted(ended))

    def test_a_request_ends_at_its_deadline_and_not_with_another(self) -> None:
        async def main() -> None:
            open_requests = OpenRequests()
            with open_requests.until(steady_seconds() + LATE_SECONDS):
                with open_requests.until(steady_seconds() + 0.01):
                    await anyio.sleep_forever()
                await anyio.sleep(0.0)
                self.assertEqual(1, len(open_requests._scopes))

        anyio.run(main)


class RouteDurationsTests(testtools.TestCase):
    def test_the_longest_recent_request_counts(self) -> None:
        durations = RouteDurations()
        self.assertIsNone(durations.longest("r"))
        for seconds in (0.1, 2.0, 0.3):
            durations.record("r", seconds, 0.0)
        self.assertEqual(2.0, durations.longest("r"))

    def test_routes_without_recent_requests_are_dropped_first(self) -> None:
        durations = RouteDurations()
        durations.record("used", 1.0, 0.0)
        for number in range(MAXIMUM_ROUTES):
            durations.record(f"r{number}", 1.0, 0.0)
            durations.record("used", 1.0, 0.0)
        self.assertEqual(1.0, durations.longest("used"))
        self.assertIsNone(durations.longest("r0"))
