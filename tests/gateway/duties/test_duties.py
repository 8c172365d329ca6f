"""Usage reports and orders for workers by whole gateways, while the holder changes."""

from __future__ import annotations

import time

import msgspec
import testtools

from stagewalk.common.identities import Address
from stagewalk.gateway.ports.duties import DutyOutcome, WorkerGroup
from stagewalk.gateway.routes.route import Scaling, Service
from stagewalk.gateway.settings import Autoscaling, DutySettings
from stagewalk.gateway.tenants.tenant import Tenant
from stagewalk.gateway.usage.reporting import SUM_DELAY_SECONDS
from tests.gateway.support import Running, Site, key_headers, run, until
from tests.gateway.workers.support import announcement

A = Tenant("a", ("key-a1",))
B = Tenant("b", ("key-b1",))
WINDOW = 1.0
DUTIES = DutySettings(Address("127.0.0.1", 1), WINDOW, 10.0)
SCALING = Scaling(1, 4, 0.2, 0.2, {"z1": 1.0, "z2": 0.8})
SCALED = Service("engines", SCALING)


async def start(site: Site, name: str, mode: str = "off") -> Running:
    return await site.start(name, duties=DUTIES, autoscaling=Autoscaling(mode=mode))


async def ask(site: Site, node: Running, key: str, path: str = "/ask/x") -> None:
    answer = await site.call(node, "POST", path, **key_headers(key))
    assert answer.status_code == 200, answer


def reported(site: Site) -> dict[str, int]:
    total: dict[str, int] = {}
    for counts in site.duties.reports.values():
        for tenant, count in counts.items():
            total[tenant] = total.get(tenant, 0) + count
    return total


async def holder_of(nodes: dict[str, Running]) -> Running:
    def held() -> list[Running]:
        return [node for node in nodes.values() if node.gateway._duties.lease.held]

    async def someone_holds() -> bool:
        return bool(held())

    await until(someone_holds)
    return held()[0]


async def until_reported(site: Site, expected: dict[str, int]) -> None:
    async def done() -> bool:
        return reported(site) == expected

    await until(done)


class UsageTests(testtools.TestCase):
    def test_requests_of_all_nodes_are_reported_once_by_tenant_and_items_are_not(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A, B))
            nodes = [await start(site, name) for name in ("n1", "n2")]
            for node in nodes:
                await ask(site, node, "key-a1")
                await ask(site, node, "key-b1", "/stream/x")
            await ask(site, nodes[0], "key-a1", "/once/x")
            await site.submit(nodes[0], "b1", "i1", key="key-a1")
            await site.until_listed(nodes[0], "b1", 1, key="key-a1")
            await until_reported(site, {"a": 3, "b": 2})
            self.assertEqual(set(), site.duties.conflicting)

        run(scenario)

    def test_windows_are_reported_without_gaps(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A,))
            await start(site, "n1")

            async def several() -> bool:
                return len(site.duties.reports) >= 3

            await until(several)
            windows = sorted(site.duties.reports)
            self.assertEqual(list(range(windows[0], windows[0] + len(windows))), windows)
            self.assertLessEqual(windows[-1] + 1, (time.time() - SUM_DELAY_SECONDS) / WINDOW)

        run(scenario)

    def test_a_report_without_an_answer_is_repeated_unchanged(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A,))
            site.duties.outcomes = [
                DutyOutcome.UNKNOWN,
                DutyOutcome.REFUSED,
                DutyOutcome.UNKNOWN,
            ]
            node = await start(site, "n1")
            await ask(site, node, "key-a1")
            await until_reported(site, {"a": 1})
            self.assertEqual(set(), site.duties.conflicting)

        run(scenario)

    def test_counts_of_a_stopped_node_are_reported(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A,))
            nodes = {name: await start(site, name) for name in ("n1", "n2")}
            for node in nodes.values():
                await ask(site, node, "key-a1")
            holder = await holder_of(nodes)
            await holder.gateway.stop()
            await holder.ended.wait()
            await until_reported(site, {"a": 2})
            self.assertEqual(set(), site.duties.conflicting)
            fences = [holder.fence for holder in site.duties.holders]
            self.assertEqual(sorted(fences), fences)

        run(scenario)

    def test_a_request_tried_at_two_workers_counts_once(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A,))
            node = await start(site, "n1")
            site.workers.workers["a1"].answer_seconds = 0.5
            for _ in range(2):
                await ask(site, node, "key-a1")
            await until_reported(site, {"a": 2})

        run(scenario)


class WorkerOrderTests(testtools.TestCase):
    def test_workers_are_ordered_for_open_items_and_kept_if_a_zone_has_none(
        self,
    ) -> None:
        async def scenario(site: Site) -> None:
            site.services = (site.services[0], SCALED)
            site.publish(2)
            site.duties.none_left = {"z2"}
            node = await start(site, "n1", mode="demand")
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 4.0
            await site.submit(node, "b1", *(f"i{n}" for n in range(14)))

            async def ordered() -> bool:
                return site.duties.ordered.get(WorkerGroup("engines", "z1", True), 0) == 2

            await until(ordered)
            group = WorkerGroup("engines", "z1", False)
            self.assertEqual(2, site.duties.ordered[group])
            self.assertNotIn(WorkerGroup("engines", "z2", True), site.duties.ordered)

        run(scenario)

    def test_a_lost_worker_is_ordered_again_by_the_next_holder(self) -> None:
        async def scenario(site: Site) -> None:
            site.services = (site.services[0], SCALED)
            site.publish(2)
            nodes = {name: await start(site, name, mode="restore") for name in ("n1", "n2")}
            group = WorkerGroup("engines", "z1", False)

            async def ordered() -> bool:
                return site.duties.ordered.get(group, 0) == 2

            await until(ordered)
            holder = await holder_of(nodes)
            await holder.gateway.stop()
            await holder.ended.wait()
            site.duties.ordered.clear()
            site.log.drop_key(site.dialect.workers, "e2")
            await until(ordered)

        run(scenario)

    def test_nothing_is_ordered_if_autoscaling_is_off(self) -> None:
        async def scenario(site: Site) -> None:
            site.services = (site.services[0], SCALED)
            site.publish(2)
            node = await start(site, "n1", mode="off")

            async def held() -> bool:
                return node.gateway._duties.lease.held

            await until(held)
            await site.submit(node, "b1", *(f"i{n}" for n in range(14)))
            await site.until_listed(node, "b1", 14)
            self.assertEqual({}, site.duties.ordered)

        run(scenario)

    def test_entries_show_whether_a_worker_is_a_spot_worker(self) -> None:
        entry = msgspec.json.encode(announcement("e9", service="engines"))
        self.assertIn(b'"spot":false', entry)
