"""Each peer has a connection pool; idle and surplus pools are closed."""

from __future__ import annotations

from unittest import mock

import anyio
import testtools

from stagewalk.common.http.connection_pools import ConnectionPools


def open_pools(maximum: int) -> ConnectionPools:
    return ConnectionPools(maximum, maximum_connections=4, maximum_idle=2, keepalive_seconds=5.0)


class ConnectionPoolTests(testtools.TestCase):
    def test_each_peer_has_its_own_pool_and_keeps_it(self) -> None:
        async def scenario() -> None:
            pools = open_pools(2)
            async with pools.use("a") as first, pools.use("b") as other:
                self.assertIsNot(first, other)
            async with pools.use("a") as again:
                self.assertIs(first, again)

        anyio.run(scenario)

    def test_the_least_recently_used_pools_are_closed(self) -> None:
        async def scenario() -> None:
            pools = open_pools(2)
            async with pools.use("a") as first:
                pass
            async with pools.use("b"):
                pass
            async with pools.use("c"):
                pass
            self.assertEqual(2, len(pools))
            async with pools.use("a") as new:
                self.assertIsNot(first, new)

        anyio.run(scenario)

    def test_a_pool_in_use_is_never_closed(self) -> None:
        async def scenario() -> None:
            pools = open_pools(1)
            async with pools.use("a") as first:
                async with pools.use("b"), pools.use("c"):
                    self.assertEqual(3, len(pools))
                async with pools.use("a") as again:
                    self.assertIs(first, again)
            self.assertEqual(1, len(pools))

        anyio.run(scenario)

    def test_an_idle_pool_is_closed_when_another_is_used(self) -> None:
        now = [100.0]

        async def scenario() -> None:
            pools = open_pools(9)
            async with pools.use("a") as first:
                pass
            now[0] += 4.0
            async with pools.use("b"):
                now[0] += 1.0
            self.assertEqual(2, len(pools))
            now[0] += 0.5
            async with pools.use("c"):
                pass
            self.assertEqual(2, len(pools))
            async with pools.use("a") as new:
                self.assertIsNot(first, new)

        with mock.patch("stagewalk.common.http.connection_pools.steady_seconds", lambda: now[0]):
            anyio.run(scenario)

    def test_the_idle_time_of_a_pool_starts_when_its_use_ends(self) -> None:
        now = [100.0]

        async def scenario() -> None:
            pools = open_pools(9)
            async with pools.use("a") as first:
                now[0] += 60.0
                async with pools.use("b"):
                    pass
            now[0] += 5.0
            async with pools.use("a") as again:
                self.assertIs(first, again)

        with mock.patch("stagewalk.common.http.connection_pools.steady_seconds", lambda: now[0]):
            anyio.run(scenario)
