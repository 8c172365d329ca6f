"""Workers of an evacuated zone get no new requests, also while the log or nodes fail."""

from __future__ import annotations

from dataclasses import replace

import anyio
import testtools

from stagewalk.common.identities import Placement
from stagewalk.common.steady_clock import steady_seconds
from tests.gateway.memory_workers import MemoryWorker
from tests.gateway.support import ROUTES, Running, Site, run, until

IN_FORCE_SECONDS = 3.0
"""Time limit for an evacuation to take effect; operators allow five seconds."""

EVACUATED_WORKERS = frozenset({"a1", "a2", "e1", "e2"})
"""Workers of the evacuated zone."""


async def add_second_zone(site: Site) -> None:
    """Add a worker of each service in a second zone."""
    site.add_worker("a3", "app", zone="z2")
    site.add_worker("e3", "engines", zone="z2")


async def send_requests(site: Site, node: Running, count: int = 12) -> set[int]:
    """Send requests of each kind; return the statuses."""
    statuses: set[int] = set()
    for number in range(count):
        for path in ("/ask/x", "/once/x", "/resume/x"):
            name = f"{path}{number}{steady_seconds()}"
            answer = await site.call(node, "POST", path, stagewalk_request_id=name)
            statuses.add(answer.status_code)
    return statuses


async def until_in_force(site: Site, node: Running, zones: int = 1) -> None:
    async def known() -> bool:
        return len(node.gateway._eligibility_services.evacuations.zones) == zones

    with anyio.fail_after(IN_FORCE_SECONDS):
        await until(known)


class EvacuationTests(testtools.TestCase):
    def test_requests_streams_items_and_score_calls_avoid_the_zone_until_the_evacuation_ends(
        self,
    ) -> None:
        async def scenario(site: Site) -> None:
            await add_second_zone(site)
            node = await site.start("n1")
            site.evacuate("z1")
            await until_in_force(site, node)
            since = steady_seconds()
            self.assertEqual({200}, await send_requests(site, node))
            await site.submit(node, "b1", "x", "y", "z", scored_by="/score/s")
            await site.until_listed(node, "b1", 3)
            self.assertEqual({"a3", "e3"}, site.workers.reached_since(since))
            site.evacuate("z1", in_force=False)
            await until_in_force(site, node, zones=0)
            since = steady_seconds()
            self.assertEqual({200}, await send_requests(site, node))
            self.assertTrue(EVACUATED_WORKERS & site.workers.reached_since(since))

        run(scenario)

    def test_a_node_without_the_log_learns_of_an_evacuation_through_another_node(self) -> None:
        async def scenario(site: Site) -> None:
            await add_second_zone(site)
            disconnected, _ = await site.start("n1"), await site.start("n2")

            async def both_known() -> bool:
                answer = await site.call(disconnected, "GET", "/v1/resolve")
                return answer.is_success and len(answer.json()["addresses"]) == 2

            await until(both_known)
            disconnected.log.faults.down = True
            site.evacuate("z1")
            await until_in_force(site, disconnected)

        run(scenario)

    def test_a_node_learns_of_evacuations_dropped_from_the_log_during_an_outage(self) -> None:
        """The newest record of each key shows the state after records were dropped unread."""

        async def scenario(site: Site) -> None:
            await add_second_zone(site)
            node = await site.start("n1", peers=None)
            site.evacuate("z2")
            await until_in_force(site, node)
            node.log.faults.down = True
            site.evacuate("z2", in_force=False)
            site.evacuate("z1")
            operators = site.dialect.operators
            site.log.drop_history(operators, site.log.kept(operators).end)
            node.log.faults.down = False

            async def known() -> bool:
                return node.gateway._eligibility_services.evacuations.zones == {"z1"}

            with anyio.fail_after(IN_FORCE_SECONDS):
                await until(known)

        run(scenario)

    def test_an_evacuation_stays_in_force_while_the_log_is_silent(self) -> None:
        async def scenario(site: Site) -> None:
            await add_second_zone(site)
            node = await site.start("n1", peers=None)
            site.evacuate("z1")
            await until_in_force(site, node)
            node.log.faults.silent = True
            since = steady_seconds()
            self.assertEqual({200}, await send_requests(site, node, count=3))
            self.assertEqual({"a3", "e3"}, site.workers.reached_since(since))

        run(scenario)

    def test_with_all_zones_evacuated_requests_are_refused_at_once(self) -> None:
        """Retry-After is at least a second, which avoids useless retries."""

        async def scenario(site: Site) -> None:
            await add_second_zone(site)
            node = await site.start("n1")
            site.evacuate("z1")
            site.evacuate("z2")
            await until_in_force(site, node, zones=2)
            since = steady_seconds()
            answer = await site.call(node, "POST", "/ask/x", stagewalk_request_id="q")
            self.assertLess(steady_seconds() - since, 0.1)
            self.assertEqual(503, answer.status_code)
            self.assertGreaterEqual(float(answer.headers["retry-after"]), 1.0)
            self.assertEqual({503}, await send_requests(site, node, count=2))
            self.assertEqual(set(), site.workers.reached_since(since))
            site.evacuate("z2", in_force=False)
            await until_in_force(site, node)
            self.assertEqual({200}, await send_requests(site, node, count=2))

        run(scenario)

    def test_a_request_waiting_for_its_connection_is_moved_when_the_zone_is_evacuated(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            site.add_worker("a3", "app", zone="z2")

            async def listed() -> bool:
                return node.gateway._workers.worker("a3") is not None

            await until(listed)
            site.workers.connect_seconds = 1.0
            answers = []

            async def call(path: str) -> None:
                answers.append(await site.call(node, "POST", path, stagewalk_request_id=path))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "/once/x")
                await anyio.sleep(0.1)
                site.evacuate("z1")
                await until_in_force(site, node)
                site.workers.connect_seconds = 0.0
            self.assertEqual([200], [answer.status_code for answer in answers])
            self.assertEqual({"a3"}, site.workers.reached_since(0.0))

        run(scenario)

    def test_running_streams_and_items_resume_in_another_zone(self) -> None:
        async def scenario(site: Site) -> None:
            for name in ("e1", "e2"):
                site.workers.workers[name] = slow = MemoryWorker(versions={"m": 1})
                slow.events, slow.event_seconds = 30, 0.1
            node = await site.start("n1")
            texts: list[str] = []

            async def stream() -> None:
                answer = await site.call(node, "POST", "/resume/x", stagewalk_request_id="q")
                texts.append(answer.text)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stream)
                await site.submit(node, "b1", "x")
                await anyio.sleep(1.0)
                site.add_worker("e3", "engines", zone="z2")
                site.workers.workers["e3"].events = 30

                async def listed() -> bool:
                    return node.gateway._workers.worker("e3") is not None

                await until(listed)
                site.evacuate("z1")
                began = steady_seconds()
                await site.until_listed(node, "b1", 1)
            self.assertLess(steady_seconds() - began, 2.0)
            self.assertEqual(["".join(f"q-{n}" for n in range(1, 31))], texts)
            self.assertEqual((2, 2), (site.workers.arrivals["q"], site.workers.arrivals["x"]))

        run(scenario)

    def test_the_directory_omits_nodes_of_the_evacuated_zone(self) -> None:
        async def scenario(site: Site) -> None:
            local = await site.start("n1")
            remote = await site.start("n2", placement=Placement("r1", "z2"))

            async def named(expected: set[str]) -> bool:
                answer = await site.call(local, "GET", "/v1/resolve?region=r1&zone=z1")
                return answer.is_success and set(answer.json()["addresses"]) == expected

            await until(lambda: named({local.address, remote.address}))
            site.evacuate("z1")
            await until(lambda: named({remote.address}))
            site.evacuate("z1", in_force=False)
            await until(lambda: named({local.address, remote.address}))

        run(scenario)


class AllowedRegionsTests(testtools.TestCase):
    def test_requests_items_and_scores_stay_in_allowed_regions(self) -> None:
        async def scenario(site: Site) -> None:
            await add_second_zone(site)
            regions = frozenset({"r2"})
            site.publish(2, tuple(replace(route, allowed_regions=regions) for route in ROUTES))
            zones = {"z1": "r1", "z2": "r2"}
            node = await site.start("n1", zones=zones)
            self.assertEqual({200}, await send_requests(site, node, count=3))
            refused = await site.submit(node, "b0", "x")
            self.assertEqual((503, "1"), (refused.status_code, refused.headers["retry-after"]))
            home = await site.start("n2", zones=zones, placement=Placement("r2", "z2"))

            async def taken() -> bool:
                answer = await site.submit(node, "b1", "x", "y", scored_by="/score/s")
                return answer.status_code == 202

            await until(taken)
            await site.until_listed(node, "b1", 2)
            self.assertFalse(node.gateway.store.following)
            self.assertTrue(home.gateway.store.following)
            self.assertEqual({"a3", "e3"}, site.workers.reached_since(0.0))
            site.log.drop_key(site.dialect.workers, "a3")

            async def gone() -> bool:
                return node.gateway._workers.worker("a3") is None

            await until(gone)
            answer = await site.call(node, "POST", "/ask/x", stagewalk_request_id="q")
            self.assertEqual(503, answer.status_code)
            self.assertEqual({"a3", "e3"}, site.workers.reached_since(0.0))

        run(scenario)
