"""Gateways share the request rate of a cold worker through leases in the log."""

from __future__ import annotations

import anyio
import testtools

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.cold_lease_service import COLD_STARTS_PARTITION
from stagewalk.gateway.routes.route import Service
from tests.gateway.memory_workers import Arrival
from tests.gateway.support import Running, Site, run, until

RATE = 4.0
COLD_SECONDS = 3.0


def maximum_per_second(arrivals: list[Arrival]) -> int:
    times = [arrival.at for arrival in arrivals]
    return max((sum(a <= at < a + 1.0 for at in times) for a in times), default=0)


async def send_request(site: Site, node: Running, name: str) -> int:
    answer = await site.call(node, "POST", "/ask/x", stagewalk_request_id=name)
    return answer.status_code


async def send_until(site: Site, node: Running, end: float) -> None:
    number = 0
    while steady_seconds() < end:
        number += 1
        name = f"{node.address}-{number}"
        await send_request(site, node, name)
        await anyio.sleep(0.01)


class ColdStartTests(testtools.TestCase):
    def start(self, site: Site) -> None:
        """Publish a service with a limited request rate for cold workers."""
        cold = Service("app", cold_seconds=COLD_SECONDS, cold_rate=RATE)
        site.services = (cold, site.services[1])
        site.publish(2)

    async def ready(self, site: Site, count: int) -> list[Running]:
        nodes = [await site.start(f"n{number}") for number in range(count)]

        async def warm() -> bool:
            answers = [await send_request(site, node, "q") for node in nodes]
            leases = [n.gateway._eligibility_services.cold_leases(steady_seconds()) for n in nodes]
            return answers == [200] * count and not any(leases)

        await anyio.sleep(2.0)
        await until(warm)
        return nodes

    def test_all_nodes_together_keep_to_the_rate_of_a_cold_worker(self) -> None:
        async def scenario(site: Site) -> None:
            self.start(site)
            nodes = await self.ready(site, 3)
            site.add_worker("cold", "app", slots=64, cold_seconds=COLD_SECONDS)
            began = steady_seconds()
            # Without other workers, all requests go to the cold one.
            for name in ("a1", "a2"):
                site.log.drop_key(site.dialect.workers, name)
            async with anyio.create_task_group() as tasks:
                for node in nodes:
                    tasks.start_soon(send_until, site, node, began + COLD_SECONDS)
            cold = [a for a in site.workers.log if a.worker == "cold"]
            self.assertLessEqual(maximum_per_second(cold), RATE)
            self.assertGreaterEqual(len(cold), RATE)

        run(scenario)

    def test_no_request_is_sent_to_a_cold_worker_while_the_log_is_down(self) -> None:
        async def scenario(site: Site) -> None:
            self.start(site)
            (node,) = await self.ready(site, 1)
            site.add_worker("cold", "app", slots=64, cold_seconds=COLD_SECONDS)

            async def listed() -> bool:
                return node.gateway._workers.worker("cold") is not None

            await until(listed)
            began = steady_seconds()
            node.log.faults.down = True
            await send_until(site, node, began + 1.5)
            self.assertNotIn("cold", site.workers.reached_since(began))

        run(scenario)

    def test_no_lease_is_appended_for_a_service_without_a_cold_rate(self) -> None:
        async def scenario(site: Site) -> None:
            site.add_worker("cold", "app", slots=64, cold_seconds=COLD_SECONDS)
            for name in ("a1", "a2"):
                site.log.drop_key(site.dialect.workers, name)
            node = await site.start("n1")
            self.assertEqual(200, await send_request(site, node, "q"))
            self.assertEqual([], site.log.payloads(COLD_STARTS_PARTITION))

        run(scenario)
