"""A machine that was suspended: what it believed before is judged anew when it wakes.

The usual steady clock does not count the time of a suspension, and neither do the event loop's
timers; so here only the clock that does count it is moved on, all at once. That shows what is
decided on waking; it does not show how long the loop's own timers still run after that.
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

ASLEEP_SECONDS = 30.0


class Machine:
    """The machine's clock that counts suspensions, in the test's hands."""

    def __init__(self) -> None:
        self._slept = 0.0
        self._read = time.clock_gettime

    def sleep(self) -> None:
        """Let the machine have been suspended just now."""
        self._slept += ASLEEP_SECONDS

    def clock_gettime(self, clock: int) -> float:
        return self._read(clock) + self._slept


def scenario(body: Callable[[Site, Machine], Awaitable[None]]) -> None:
    machine = Machine()

    async def main(site: Site) -> None:
        await body(site, machine)

    with mock.patch("stagewalk.common.steady_clock.time.clock_gettime", machine.clock_gettime):
        run(main)


async def _is(condition: bool) -> bool:
    return condition


class SuspensionTests(testtools.TestCase):
    def test_a_holder_of_the_lease_on_duties_holds_it_no_more(self) -> None:
        async def body(site: Site, machine: Machine) -> None:
            node = await site.start("n1")
            lease = node.gateway._duties.lease
            await until(lambda: _is(lease.may_act()))
            machine.sleep()
            self.assertFalse(lease.may_act())

        scenario(body)

    def test_a_batch_that_was_open_is_not_known_to_be(self) -> None:
        async def body(site: Site, machine: Machine) -> None:
            node = await site.start("n1")
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 9.0
            await site.submit(node, "b1", "x")
            views = node.gateway._batches.runner._views
            await until(lambda: _is(views.may_start("b1", steady_seconds())))
            machine.sleep()
            self.assertFalse(views.may_start("b1", steady_seconds()))
            self.assertIsNotNone(views.denial("b1", steady_seconds()))

        scenario(body)

    def test_a_lease_on_a_cold_worker_is_over(self) -> None:
        async def body(site: Site, machine: Machine) -> None:
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
            machine.sleep()
            self.assertEqual(0, node.gateway._eligibility_services.cold_leases(steady_seconds()))

        scenario(body)

    def test_a_request_whose_time_ran_out_meanwhile_is_not_sent(self) -> None:
        """It waited for its connection as the machine went to sleep."""

        async def body(site: Site, machine: Machine) -> None:
            node = await site.start("n1")
            site.workers.connect_seconds = 0.3
            answers: list[httpx.Response] = []

            async def call() -> None:
                answers.append(await site.call(node, "POST", "/once/x", stagewalk_request_id="q"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await anyio.sleep(0.15)
                machine.sleep()
            self.assertEqual(0, site.workers.arrivals["q"])
            self.assertEqual([503], [answer.status_code for answer in answers])

        scenario(body)

    def test_an_answer_that_is_ready_is_delivered_though_late(self) -> None:
        async def body(site: Site, machine: Machine) -> None:
            node = await site.start("n1")
            for name in ("a1", "a2"):
                site.workers.workers[name].answer_seconds = 0.3
            answers: list[httpx.Response] = []

            async def call() -> None:
                answers.append(await site.call(node, "POST", "/once/x"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await anyio.sleep(0.15)
                machine.sleep()
            self.assertEqual([200], [answer.status_code for answer in answers])

        scenario(body)

    def test_routes_that_changed_meanwhile_are_in_force_for_the_first_request(self) -> None:
        async def body(site: Site, machine: Machine) -> None:
            node = await self.asleep(site, machine)
            site.publish(2, (*ROUTES, route("new", "/new/", RouteKind.REPEATABLE, "app")))
            machine.sleep()
            self.assertEqual(200, (await site.call(node, "GET", "/new/x")).status_code)

        scenario(body)

    def test_a_zone_that_was_evacuated_meanwhile_gets_nothing(self) -> None:
        async def body(site: Site, machine: Machine) -> None:
            site.add_worker("a3", "app", zone="z2")
            node = await self.asleep(site, machine)
            site.evacuate("z1")
            machine.sleep()
            answers = [await site.call(node, "GET", "/ask/x") for _ in range(4)]
            self.assertEqual({"a3"}, {answer.headers["x-worker"] for answer in answers})

        scenario(body)

    def test_a_key_that_was_taken_away_meanwhile_opens_nothing(self) -> None:
        async def body(site: Site, machine: Machine) -> None:
            site.publish(2, tenants=(Tenant("t", ("key-1",)),))
            node = await self.asleep(site, machine)
            headers = key_headers("key-1")
            self.assertEqual(200, (await site.call(node, "GET", "/ask/x", **headers)).status_code)
            site.publish(3, tenants=(Tenant("t", ("key-2",)),))
            machine.sleep()
            self.assertEqual(401, (await site.call(node, "GET", "/ask/x", **headers)).status_code)

        scenario(body)

    def test_a_worker_that_left_meanwhile_gets_nothing(self) -> None:
        async def body(site: Site, machine: Machine) -> None:
            node = await self.asleep(site, machine)
            site.log.drop_key(site.dialect.workers, "a1")
            machine.sleep()
            answers = [await site.call(node, "GET", "/ask/x") for _ in range(4)]
            self.assertEqual({"a2"}, {answer.headers["x-worker"] for answer in answers})

        scenario(body)

    def test_a_node_that_stopped_meanwhile_is_not_named_to_callers(self) -> None:
        async def body(site: Site, machine: Machine) -> None:
            node, other = await site.start("n1"), await site.start("n2")

            async def named(*addresses: str) -> bool:
                answer = await site.call(node, "GET", "/v1/resolve?region=r1&zone=z1")
                return answer.is_success and set(answer.json()["addresses"]) == set(addresses)

            await until(lambda: named(node.address, other.address))
            other.scope.cancel()
            await other.ended.wait()
            machine.sleep()
            await until(lambda: named(node.address))

        scenario(body)

    async def asleep(self, site: Site, machine: Machine) -> Running:
        """Return a node whose reads that wait for news are not woken by any."""
        node = await site.start("n1")
        node.log.faults.sleep_through_keyed = True
        await until(lambda: _is(node.gateway._published.view_age(steady_seconds()) < 0.3))
        return node
