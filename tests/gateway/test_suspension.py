"""After a suspension of the machine, leases, views and deadlines from before it are not trusted.

The tests advance only `CLOCK_BOOTTIME`, which includes suspended time; the event loop's timers do
not. They cover the decisions after waking, not how long timers of the loop still run.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
import httpx
import testtools

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.routes.route import RouteKind, Service
from stagewalk.gateway.tenants.tenant import Tenant
from tests.gateway.support import ROUTES, Running, Site, key_headers, route, run, until

SUSPENSION_SECONDS = 30.0


class SuspendableClock:
    """Fake of the clock that includes suspended time."""

    def __init__(self) -> None:
        self._suspended_seconds = 0.0
        self._read = time.clock_gettime

    def suspend(self) -> None:
        """Advance the clock as a suspension does."""
        self._suspended_seconds += SUSPENSION_SECONDS

    def clock_gettime(self, clock_id: int) -> float:
        return self._read(clock_id) + self._suspended_seconds


def scenario(body: Callable[[Site, SuspendableClock], Awaitable[None]]) -> None:
    clock = SuspendableClock()

    async def main(site: Site) -> None:
        await body(site, clock)

    with mock.patch("stagewalk.common.steady_clock.time.clock_gettime", clock.clock_gettime):
        run(main)


async def _as_async(condition: bool) -> bool:
    return condition


class SuspensionTests(testtools.TestCase):
    def test_the_duty_lease_has_expired(self) -> None:
        async def body(site: Site, clock: SuspendableClock) -> None:
            node = await site.start("n1")
            lease = node.gateway._duties.lease
            await until(lambda: _as_async(lease.may_act()))
            clock.suspend()
            self.assertFalse(lease.may_act())

        scenario(body)

    def test_items_of_an_open_batch_may_not_start(self) -> None:
        async def body(site: Site, clock: SuspendableClock) -> None:
            node = await site.start("n1")
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 9.0
            await site.submit(node, "b1", "x")
            views = node.gateway._batches.runner._views
            await until(lambda: _as_async(views.may_start("b1", steady_seconds())))
            clock.suspend()
            self.assertFalse(views.may_start("b1", steady_seconds()))
            self.assertIsNotNone(views.denial("b1", steady_seconds()))

        scenario(body)

    def test_a_lease_on_a_cold_worker_has_expired(self) -> None:
        async def body(site: Site, clock: SuspendableClock) -> None:
            site.services = (
                Service("app", cold_seconds=60.0, cold_rate=5.0),
                Service("engines"),
            )
            site.publish(2)
            node = await site.start("n1")
            site.add_worker("a1", "app", cold_seconds=60.0)

            async def held() -> bool:
                await site.call(node, "GET", "/ask/x")
                return node.gateway._eligibility_services.cold_leases(steady_seconds()) > 0

            await until(held)
            clock.suspend()
            self.assertEqual(0, node.gateway._eligibility_services.cold_leases(steady_seconds()))

        scenario(body)

    def test_a_request_past_its_deadline_is_not_sent(self) -> None:
        """The suspension happens while the request waits for its connection."""

        async def body(site: Site, clock: SuspendableClock) -> None:
            node = await site.start("n1")
            site.workers.connect_seconds = 0.3
            answers: list[httpx.Response] = []

            async def call() -> None:
                answers.append(await site.call(node, "POST", "/once/x", stagewalk_request_id="q"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await anyio.sleep(0.15)
                clock.suspend()
            self.assertEqual(0, site.workers.arrivals["q"])
            self.assertEqual([503], [answer.status_code for answer in answers])

        scenario(body)

    def test_a_late_answer_is_still_delivered(self) -> None:
        async def body(site: Site, clock: SuspendableClock) -> None:
            node = await site.start("n1")
            for name in ("a1", "a2"):
                site.workers.workers[name].answer_seconds = 0.3
            answers: list[httpx.Response] = []

            async def call() -> None:
                answers.append(await site.call(node, "POST", "/once/x"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await anyio.sleep(0.15)
                clock.suspend()
            self.assertEqual([200], [answer.status_code for answer in answers])

        scenario(body)

    def test_changed_routes_apply_to_the_first_request(self) -> None:
        async def body(site: Site, clock: SuspendableClock) -> None:
            node = await self.node_with_stale_views(site, clock)
            site.publish(2, (*ROUTES, route("new", "/new/", RouteKind.REPEATABLE, "app")))
            clock.suspend()
            self.assertEqual(200, (await site.call(node, "GET", "/new/x")).status_code)

        scenario(body)

    def test_a_zone_evacuated_meanwhile_gets_no_requests(self) -> None:
        async def body(site: Site, clock: SuspendableClock) -> None:
            site.add_worker("a3", "app", zone="z2")
            node = await self.node_with_stale_views(site, clock)
            site.evacuate("z1")
            clock.suspend()
            answers = [await site.call(node, "GET", "/ask/x") for _ in range(4)]
            self.assertEqual({"a3"}, {answer.headers["x-worker"] for answer in answers})

        scenario(body)

    def test_a_key_revoked_meanwhile_is_refused(self) -> None:
        async def body(site: Site, clock: SuspendableClock) -> None:
            site.publish(2, tenants=(Tenant("t", ("key-1",)),))
            node = await self.node_with_stale_views(site, clock)
            headers = key_headers("key-1")
            self.assertEqual(200, (await site.call(node, "GET", "/ask/x", **headers)).status_code)
            site.publish(3, tenants=(Tenant("t", ("key-2",)),))
            clock.suspend()
            self.assertEqual(401, (await site.call(node, "GET", "/ask/x", **headers)).status_code)

        scenario(body)

    def test_a_worker_that_left_meanwhile_gets_no_requests(self) -> None:
        async def body(site: Site, clock: SuspendableClock) -> None:
            node = await self.node_with_stale_views(site, clock)
            site.log.drop_key(site.dialect.workers, "a1")
            clock.suspend()
            answers = [await site.call(node, "GET", "/ask/x") for _ in range(4)]
            self.assertEqual({"a2"}, {answer.headers["x-worker"] for answer in answers})

        scenario(body)

    def test_the_directory_omits_a_node_that_stopped_meanwhile(self) -> None:
        async def body(site: Site, clock: SuspendableClock) -> None:
            node, other = await site.start("n1"), await site.start("n2")

            async def named(*addresses: str) -> bool:
                answer = await site.call(node, "GET", "/v1/resolve?region=r1&zone=z1")
                return answer.is_success and set(answer.json()["addresses"]) == set(addresses)

            await until(lambda: named(node.address, other.address))
            other.scope.cancel()
            await other.ended.wait()
            clock.suspend()
            await until(lambda: named(node.address))

        scenario(body)

    async def node_with_stale_views(self, site: Site, clock: SuspendableClock) -> Running:
        """Return a node whose waiting reads are not woken by new records."""
        node = await site.start("n1")
        node.log.faults.sleep_through_keyed = True
        await until(lambda: _as_async(node.gateway._published.view_age(steady_seconds()) < 0.3))
        return node
