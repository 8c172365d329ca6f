"""Place shares in complete gateways: a small step beside a large one, and mixed builds."""

from __future__ import annotations

import math

import anyio
import testtools
from msgspec.structs import replace
from prometheus_client.parser import text_string_to_metric_families

from stagewalk.gateway.assembly import NODES_PARTITION
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.tenants.tenant import Tenant
from tests.gateway.support import Running, Site, run, until

TENANTS = (
    Tenant("large", ("key-of-large-0123456789",)),
    Tenant("small", ("key-of-small-0123456789",)),
)
LARGE_KEY, SMALL_KEY = (tenant.keys[0] for tenant in TENANTS)
LARGE_STEP, SMALL_STEP = 40, 4
EVENT_SECONDS = 0.1

NODE_WITHOUT_CLAIMS = NodeAnnouncement("n7", 1, "10.0.0.7:80", "", "z1", "r1", False, 1, True)
"""Announcement of a node that runs batches, by a build without claims."""


async def shares(site: Site, node: Running) -> dict[str, float]:
    """Return the place limit of each tenant, from the metrics."""
    text = (await site.call(node, "GET", "/metrics")).text
    return {
        sample.labels["tenant"]: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == "stagewalk_place_share"
    }


async def begin_large_step(site: Site, **changes: object) -> Running:
    site.publish(2, tenants=TENANTS)
    for name in ("e1", "e2"):
        site.workers.workers[name].event_seconds = EVENT_SECONDS
    node = await site.start("n1", **changes)
    items = [f"large-{n}" for n in range(LARGE_STEP)]
    await site.submit(node, "b1", *items, key=LARGE_KEY)
    return node


async def listed_of_large_step_when_small_is_whole(site: Site, node: Running) -> int:
    items = [f"small-{n}" for n in range(SMALL_STEP)]
    await site.submit(node, "b2", *items, key=SMALL_KEY)
    await site.until_listed(node, "b2", SMALL_STEP, key=SMALL_KEY)
    return len(await site.results(node, "b1", key=LARGE_KEY))


class SharedSiteTests(testtools.TestCase):
    def test_a_small_step_does_not_wait_for_a_large_one(self) -> None:
        async def scenario(site: Site) -> None:
            node = await begin_large_step(site)
            listed = await listed_of_large_step_when_small_is_whole(site, node)
            self.assertLess(listed, LARGE_STEP * 0.75)
            await site.until_listed(node, "b1", LARGE_STEP, key=LARGE_KEY)

        run(scenario)

    def test_without_the_policy_nothing_is_limited_or_announced(self) -> None:
        async def scenario(site: Site) -> None:
            node = await begin_large_step(site, policy=Policy(place_shares=False))
            listed = await listed_of_large_step_when_small_is_whole(site, node)
            self.assertGreaterEqual(listed, LARGE_STEP * 0.75)
            self.assertIsNone(node.gateway._nodes._own.claims)

        run(scenario)

    def test_limits_end_while_a_node_of_an_earlier_build_may_run_batches(self) -> None:
        async def scenario(site: Site) -> None:
            node = await begin_large_step(site)
            items = [f"small-{n}" for n in range(LARGE_STEP)]
            await site.submit(node, "b2", *items, key=SMALL_KEY)

            async def limited() -> bool:
                found = await shares(site, node)
                return len(found) == 2 and all(math.isfinite(most) for most in found.values())

            async def unlimited() -> bool:
                found = await shares(site, node)
                return len(found) == 2 and all(math.isinf(most) for most in found.values())

            await until(limited)
            site.log.put_key(NODES_PARTITION, "n7", NODE_WITHOUT_CLAIMS.encode())
            with anyio.fail_after(2.0):
                await until(unlimited)
            gone = replace(NODE_WITHOUT_CLAIMS, beat=2, ledger_replica=False)
            site.log.put_key(NODES_PARTITION, "n7", gone.encode())
            with anyio.fail_after(2.0):
                await until(limited)

        run(scenario)
