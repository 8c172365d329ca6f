"""Kept connections: a pool a peer, and no more pools than allowed."""

from __future__ import annotations

import anyio
import testtools

from stagewalk.common.http.connection_pools import ConnectionPools


def pools(maximum: int) -> ConnectionPools:
    return ConnectionPools(maximum, maximum_connections=4, maximum_idle=2, keepalive_seconds=5.0)


class ConnectionPoolTests(testtools.TestCase):
    def test_each_peer_has_a_pool_of_its_own_and_keeps_it(self) -> None:
        async def scenario() -> None:
            kept = pools(2)
            async with kept.use("a") as first, kept.use("b") as other:
                self.assertIsNot(first, other)
            async with kept.use("a") as again:
                self.assertIs(first, again)

        anyio.run(scenario)

    def test_the_pools_unused_longest_are_closed(self) -> None:
        async def scenario() -> None:
            kept = pools(2)
            async with kept.use("a") as first:
                pass
            async with kept.use("b"):
                pass
            async with kept.use("c"):
                pass
            self.assertEqual(2, len(kept))
            async with kept.use("a") as new:
                self.assertIsNot(first, new)

        anyio.run(scenario)

    def test_a_pool_in_use_stays_however_many_there_are(self) -> None:
        async def scenario() -> None:
            kept = pools(1)
            async with kept.use("a") as first:
                async with kept.use("b"), kept.use("c"):
                    self.assertEqual(3, len(kept))
                async with kept.use("a") as again:
                    self.assertIs(first, again)
            self.assertEqual(1, len(kept))

        anyio.run(scenario)
