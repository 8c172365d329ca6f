"""Kept connections: a pool a peer, and no more pools than allowed."""

from __future__ import annotations

from unittest import mock

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

    def test_a_pool_whose_connections_idled_too_long_is_closed_as_another_is_used(self) -> None:
        now = [100.0]

        async def scenario() -> None:
            kept = pools(9)
            async with kept.use("a") as first:
                pass
            now[0] += 4.0
            async with kept.use("b"):
                now[0] += 1.0
            self.assertEqual(2, len(kept))
            now[0] += 0.5
            async with kept.use("c"):
                pass
            self.assertEqual(2, len(kept))
            async with kept.use("a") as new:
                self.assertIsNot(first, new)

        with mock.patch("stagewalk.common.http.connection_pools.steady_seconds", lambda: now[0]):
            anyio.run(scenario)

    def test_a_long_use_keeps_a_pool_and_its_end_starts_its_idle_time(self) -> None:
        now = [100.0]

        async def scenario() -> None:
            kept = pools(9)
            async with kept.use("a") as first:
                now[0] += 60.0
                async with kept.use("b"):
                    pass
            now[0] += 5.0
            async with kept.use("a") as again:
                self.assertIs(first, again)

        with mock.patch("stagewalk.common.http.connection_pools.steady_seconds", lambda: now[0]):
            anyio.run(scenario)
