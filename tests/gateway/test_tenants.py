"""Authentication by tenant keys, the tenant sent to workers, and isolation of tenants' batches."""

from __future__ import annotations

import io
from contextlib import redirect_stderr
from dataclasses import replace
from unittest import mock

import anyio
import testtools

from stagewalk.common.logs.lines import configure_logs
from stagewalk.gateway.tenants.tenant import Tenant
from tests.gateway.support import ROUTES, Running, Site, key_headers, run, until

A = Tenant("a", ("key-a1", "key-a2"))
B = Tenant("b", ("key-b1",))
PUBLIC = tuple(replace(route, public=route.name == "ask") for route in ROUTES)


async def send_request(
    site: Site, node: Running, key: str | None, path: str = "/once/x", **headers: str
):
    named = {"stagewalk_request_id": "q1", **key_headers(key), **headers}
    return await site.call(node, "POST", path, **named)


class TenantKeyTests(testtools.TestCase):
    def test_the_tenant_is_sent_to_the_worker(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A, B))
            node = await site.start("n1")
            self.assertEqual(200, (await send_request(site, node, "key-a2")).status_code)
            self.assertEqual("a", site.workers.tenants["q1"])
            self.assertEqual(200, (await send_request(site, node, "key-b1", "/ask/x")).status_code)
            self.assertEqual("b", site.workers.tenants["q1"])
            self.assertEqual(
                200, (await send_request(site, node, "key-b1", "/stream/x")).status_code
            )
            self.assertEqual("b", site.workers.tenants["q1"])

        run(scenario)

    def test_an_unknown_key_gets_401_on_every_route_and_nothing_runs(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A, B))
            node = await site.start("n1")
            for key in (None, "key-c"):
                for path in ("/once/x", "/run/x", "/none/x", "/v1/batches/b1", "/v1/items/b1"):
                    answer = await send_request(site, node, key, path)
                    self.assertEqual(401, answer.status_code, path)
                    self.assertEqual("Bearer", answer.headers["www-authenticate"])
            self.assertEqual(404, (await send_request(site, node, "key-a1", "/none/x")).status_code)
            self.assertEqual({}, dict(site.workers.arrivals))

        run(scenario)

    def test_a_public_route_serves_calls_without_a_key(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, routes=PUBLIC, tenants=(A,))
            node = await site.start("n1")
            for key, tenant in ((None, ""), ("key-c", ""), ("key-a1", "a")):
                answer = await send_request(site, node, key, "/ask/x")
                self.assertEqual(200, answer.status_code)
                self.assertEqual(tenant, site.workers.tenants["q1"])
            self.assertEqual(401, (await send_request(site, node, None)).status_code)

        run(scenario)

    def test_without_tenants_calls_need_no_key(self) -> None:
        async def scenario(site: Site) -> None:
            node = await site.start("n1")
            self.assertEqual(200, (await send_request(site, node, "any")).status_code)
            self.assertIsNone(site.workers.tenants["q1"])

        run(scenario)

    def test_a_key_published_just_now_is_accepted(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(B,))
            node = await site.start("n1")
            node.log.faults.sleep_through = True
            for version in range(3, 8):
                key = f"key-{version}"
                site.publish(version, tenants=(B, Tenant("a", (key,))))
                self.assertEqual(200, (await send_request(site, node, key)).status_code)

        run(scenario)

    def test_an_unknown_key_gets_503_while_the_log_is_down(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A,))
            node = await site.start("n1")
            node.log.faults.down = True
            await anyio.sleep(0.4)
            answer = await send_request(site, node, "key-c")
            self.assertEqual(503, answer.status_code)
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(503, (await send_request(site, node, "key-a1", "/none/x")).status_code)
            self.assertEqual(200, (await send_request(site, node, "key-a1")).status_code)

        run(scenario)

    def test_a_revoked_key_is_refused_by_a_node_without_the_log(self) -> None:
        for fault in ("down", "silent"):
            with self.subTest(fault=fault):
                self._revoke_while_one_node_has_no_log(fault)

    def _revoke_while_one_node_has_no_log(self, fault: str) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A, B))
            node = await site.start("n1")
            await site.start("n2")
            await until(lambda: _serving(node, 2))
            setattr(node.log.faults, fault, True)
            await anyio.sleep(0.3)
            site.publish(3, tenants=(Tenant("a", ("key-a2",)), B))

            async def refused() -> bool:
                return (await send_request(site, node, "key-a1")).status_code == 401

            with anyio.fail_after(3.0):
                await until(refused)
            self.assertEqual(200, (await send_request(site, node, "key-a2")).status_code)

        run(scenario)

    def test_keys_are_not_logged(self) -> None:
        lines: list[str] = []
        restore_logs = configure_logs("debug", lines.append)
        self.addCleanup(restore_logs)

        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A, B))
            node = await site.start("n1")
            with redirect_stderr(io.StringIO()):
                for key in ("key-a1", "key-c"):
                    await send_request(site, node, key)
                await site.submit(node, "b1", "i1", key="key-a1")
                await site.until_listed(node, "b1", 1, key="key-a2")

        run(scenario)
        self.assertTrue(any("caller_denied" in line for line in lines))
        self.assertEqual([], [line for line in lines if "key-" in line])


class TenantBatchTests(testtools.TestCase):
    def test_items_and_scores_run_for_the_tenant_that_submitted_them(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A, B))
            node = await site.start("n1")
            answer = await site.submit(node, "b1", "i1", scored_by="/score/x", key="key-a1")
            self.assertEqual(202, answer.status_code)
            await site.until_listed(node, "b1", 1, key="key-a1")
            self.assertEqual("a", site.workers.tenants["i1"])
            self.assertEqual("a", site.workers.tenants["i1-score"])

        run(scenario)

    def test_a_batch_outlives_its_key_and_is_read_with_another_key_of_its_tenant(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A, B))
            node = await site.start("n1")
            for name in ("e1", "e2"):
                site.workers.workers[name].event_seconds = 0.4
            await site.submit(node, "b1", "i1", "i2", key="key-a1")
            site.publish(3, tenants=(Tenant("a", ("key-a2",)), B))
            await site.until_listed(node, "b1", 2, key="key-a2")
            self.assertEqual("a", site.workers.tenants["i2"])
            answer = await site.submit(node, "b1", "i1", "i2", key="key-a2")
            self.assertEqual(202, answer.status_code)

        run(scenario)

    def test_another_tenants_batch_name_is_refused_by_a_node_without_a_replica(self) -> None:
        """A node without a replica of the ledger must not decide by its empty view."""
        patched = mock.patch("stagewalk.gateway.directory.ledger_replicas.LEDGER_REPLICAS", 1)
        patched.start()
        self.addCleanup(patched.stop)

        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A, B))
            nodes = [await site.start(name) for name in ("n1", "n2")]

            async def settled() -> bool:
                return sum(node.gateway.store.following for node in nodes) == 1

            await until(settled)
            nodes.sort(key=lambda node: not node.gateway.store.following)
            replica, other = nodes
            await site.submit(replica, "b1", "i1", key="key-a1")
            await site.until_listed(replica, "b1", 1, key="key-a1")
            answer = await site.submit(other, "b1", "i2", key="key-b1")
            self.assertEqual(409, answer.status_code)
            self.assertNotIn("i2", site.workers.arrivals)

        run(scenario)

    def test_another_tenant_cannot_read_end_or_resubmit_a_batch(self) -> None:
        async def scenario(site: Site) -> None:
            site.publish(2, tenants=(A, B))
            node = await site.start("n1")
            await site.submit(node, "b1", "i1", key="key-a1")
            await site.until_listed(node, "b1", 1, key="key-a1")
            for method, path in (
                ("GET", "/v1/batches/b1"),
                ("GET", "/v1/items/b1?item=i1"),
                ("DELETE", "/v1/batches/b1"),
            ):
                other = await site.call(node, method, path, **key_headers("key-b1"))
                self.assertEqual(404, other.status_code, (method, path))
            answer = await site.submit(node, "b1", "i1", key="key-b1")
            self.assertEqual(409, answer.status_code)
            self.assertEqual(["i1"], await site.results(node, "b1", key="key-a2"))
            own = await site.call(node, "DELETE", "/v1/batches/b1", **key_headers("key-a2"))
            self.assertEqual(200, own.status_code)

        run(scenario)


async def _serving(node: Running, count: int) -> bool:
    return len(node.gateway._nodes.serving()) >= count
