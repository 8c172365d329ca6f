"""Nodes without a replica of the ledger relay calls, or read the log if no replica answers."""

from __future__ import annotations

from unittest import mock

import testtools

from tests.gateway.support import Running, Site, run, until

TWO_NODES = ("n1", "n2")


def one_replica() -> mock._patch[int]:
    return mock.patch("stagewalk.gateway.directory.ledger_replicas.LEDGER_REPLICAS", 1)


async def start_holder_and_other(site: Site) -> tuple[Running, Running]:
    """Start two nodes; return the one that holds the replica, and the other one."""
    nodes = [await site.start(name) for name in TWO_NODES]

    async def settled() -> bool:
        return sorted(node.gateway.store.following for node in nodes) == [False, True]

    with mock.patch("stagewalk.gateway.directory.ledger_replicas.LINGER_SECONDS", 0.2):
        await until(settled)
    holder, other = sorted(nodes, key=lambda node: not node.gateway.store.following)
    return holder, other


class ReplicaTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.patched = one_replica()
        self.patched.start()
        self.addCleanup(self.patched.stop)

    def test_any_node_accepts_reads_and_ends_batches_that_the_replica_runs(self) -> None:
        async def scenario(site: Site) -> None:
            holder, other = await start_holder_and_other(site)
            self.assertEqual(202, (await site.submit(other, "b1", "x", "y", "z")).status_code)
            listed = await site.until_listed(other, "b1", 3)
            self.assertEqual(listed, await site.results(holder, "b1"))
            self.assertFalse(other.gateway.store.following)
            body = await site.call(other, "GET", "/v1/items/b1?item=x")
            self.assertEqual((200, b"body x"), (body.status_code, body.content))
            self.assertEqual(200, (await site.call(other, "DELETE", "/v1/batches/b1")).status_code)
            self.assertEqual(404, (await site.call(other, "GET", "/v1/batches/b7")).status_code)

        run(scenario)

    def test_a_batch_submitted_again_at_another_node_is_the_same_batch(self) -> None:
        async def scenario(site: Site) -> None:
            holder, other = await start_holder_and_other(site)
            await site.submit(holder, "b1", "x", "y")
            listed = await site.until_listed(holder, "b1", 2)
            self.assertEqual(202, (await site.submit(other, "b1", "x", "y")).status_code)
            self.assertEqual(listed, await site.results(other, "b1"))

        run(scenario)

    def test_if_the_replica_is_gone_the_other_node_reads_the_log_and_takes_over(self) -> None:
        async def scenario(site: Site) -> None:
            holder, other = await start_holder_and_other(site)
            for worker in site.workers.workers.values():
                worker.event_seconds = 1.5
            await site.submit(other, "b1", "x", "y")
            await until(lambda: self.running(holder))
            holder.scope.cancel()
            answer = await site.call(other, "GET", "/v1/batches/b1")
            self.assertEqual(200, answer.status_code)
            for worker in site.workers.workers.values():
                worker.event_seconds = 0.01
            self.assertEqual({"x", "y"}, set(await site.until_listed(other, "b1", 2)))
            self.assertTrue(other.gateway.store.following)

        run(scenario)

    async def running(self, node: Running) -> bool:
        return node.gateway.store.ledger.get("b1") is not None
