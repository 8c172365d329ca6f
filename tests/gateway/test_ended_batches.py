"""Nothing of a batch reaches a worker once its end was acknowledged longer ago than the bound.

Users saw hundreds of items run seconds after their batch's end, whole batches at a time, sent by
nodes that had only just begun to follow the log. The order of events: nodes fall away; a batch that
had ended is handed in again at a node that doesn't know it, which appends it a second time. No
replica answers, so this node runs it itself, and reads the log from the second submission on, which
lies behind the end. Or: a batch is begun from its own records while the node's view of the log is
still to be read, or stands still; its end is acknowledged, and the node that runs it doesn't hear
of it.

The cause: a view of the log that lacks its beginning or its newest part was taken for a whole one,
so that not having seen an end counted as there being none. The evidence: the lines
`batch_submitted ... offset=` behind the end, `batch_opened ... read_from=` that offset, and
`item_started ... view_age=` far above the bound.
"""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from tests.gateway.support import Running, Site, run, until

NEVER = 1_000.0
BOUND_SECONDS = 3.0
LONGER_SECONDS = 2.0
"""How long is watched after the bound: several items' time."""

MANY = tuple(f"x{n}" for n in range(40))
"""More items than the engines run at once, so that most wait for a place."""


def slow_engines(site: Site, *, places: int = 2) -> None:
    for name in ("e1", "e2"):
        site.workers.workers[name].slots = places
        site.workers.workers[name].event_seconds = 0.2


async def started(site: Site) -> None:
    async def any_arrived() -> bool:
        return site.workers.arrivals.total() > 0

    await until(any_arrived)


async def replica_and_other(nodes: list[Running]) -> tuple[Running, Running]:
    """Return the one node of two that follows the batches, and the one that doesn't."""

    async def settled() -> bool:
        return sum(node.gateway.store.following for node in nodes) == 1

    await until(settled)
    first, second = nodes
    return (first, second) if first.gateway.store.following else (second, first)


class EndedBatchTests(testtools.TestCase):
    def patch(self, name: str, value: float) -> None:
        patched = mock.patch(name, value)
        patched.start()
        self.addCleanup(patched.stop)

    async def end(self, site: Site, node: Running, batch: str) -> None:
        async def ended() -> bool:
            answer = await site.call(node, "DELETE", f"/v1/batches/{batch}")
            return answer.status_code == 200

        await until(ended)

    async def assert_nothing_starts_after_the_bound(self, site: Site) -> None:
        await anyio.sleep(BOUND_SECONDS)
        before = dict(site.workers.arrivals)
        await anyio.sleep(LONGER_SECONDS)
        self.assertEqual(before, dict(site.workers.arrivals))

    def test_a_batch_that_ended_is_not_run_again_where_it_is_handed_in_again(self) -> None:
        """The node without a replica finds none that answers, and is left to run it itself."""
        self.patch("stagewalk.directory.node_table.ALIVE_SECONDS", NEVER)
        self.patch("stagewalk.directory.ledger_replicas.LEDGER_REPLICAS", 1)

        async def scenario(site: Site) -> None:
            replica, other = await replica_and_other([await site.start(n) for n in ("n1", "n2")])
            await site.submit(replica, "b1", "x", "y")
            await site.until_listed(replica, "b1", 1)
            await self.end(site, replica, "b1")
            replica.scope.cancel()
            before = dict(site.workers.arrivals)
            self.assertEqual(202, (await site.submit(other, "b1", "x", "y")).status_code)
            await anyio.sleep(LONGER_SECONDS)
            self.assertEqual(before, dict(site.workers.arrivals))

        run(scenario)

    def test_a_run_begun_before_the_log_was_read_hears_of_the_end(self) -> None:
        """After a restart of all nodes the log is left to those who look for open batches."""

        async def scenario(site: Site) -> None:
            slow_engines(site)
            node = await site.start("n1")
            await site.submit(node, "b1", *MANY)
            await started(site)
            node.scope.cancel()
            await node.ended.wait()
            site.workers.arrivals.clear()
            self.patch("stagewalk.gateway.daemon.RESTART_SECONDS", NEVER)
            self.patch("stagewalk.gateway.daemon.RESUME_SECONDS", NEVER)
            again = await site.start("n1")
            await started(site)
            self.assertFalse(again.gateway.store.following)
            await self.end(site, again, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)

    def test_a_runner_that_the_log_does_not_answer_starts_nothing_after_the_bound(self) -> None:
        """The log answers others, so the end is acknowledged there; no node relays to it."""

        async def scenario(site: Site) -> None:
            slow_engines(site)
            nodes = [await site.start(name, peers=None) for name in ("n1", "n2")]
            await site.submit(nodes[0], "b1", *MANY)
            await started(site)
            runner = next(node for node in nodes if node.gateway._runner.runs("b1"))
            other = next(node for node in nodes if node is not runner)
            runner.log.faults.silent = True
            await self.end(site, other, "b1")
            await self.assert_nothing_starts_after_the_bound(site)

        run(scenario)
