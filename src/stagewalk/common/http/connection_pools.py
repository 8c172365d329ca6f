"""A separate connection pool for each peer.

An `httpx` pool checks all its idle connections on every request, with a system call for each, so
the cost of a request would grow with the number of peers in a shared pool. A pool that is not used
never closes its idle connections, even if the peer has closed them, so idle pools are closed here.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import httpx

from stagewalk.common.http.calls import open_transport
from stagewalk.common.steady_clock import steady_seconds


@dataclass(slots=True)
class _Pool:
    transport: httpx.AsyncHTTPTransport
    users: int = 0
    released_at: float = 0.0
    """Steady-clock time at which its last use ended."""


class ConnectionPools:
    """Connection pools by peer, closed when they were idle too long or there are too many.

    Parameters
    ----------
    maximum_pools
        Most pools that are open at once; pools in use are never closed and may exceed it.
    maximum_connections, maximum_idle
        Limits of one pool.
    keepalive_seconds
        How long an idle connection is kept.
    """

    def __init__(
        self,
        maximum_pools: int,
        maximum_connections: int,
        maximum_idle: int,
        keepalive_seconds: float,
    ) -> None:
        self._maximum_pools = maximum_pools
        self._maximum_connections = maximum_connections
        self._maximum_idle = maximum_idle
        self._keepalive_seconds = keepalive_seconds
        self._pools: OrderedDict[str, _Pool] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pools)

    @asynccontextmanager
    async def use(self, peer: str) -> AsyncIterator[httpx.AsyncHTTPTransport]:
        """Yield the pool of a peer for one request."""
        pool = self._pools.get(peer)
        if pool is None:
            pool = _Pool(
                open_transport(
                    self._maximum_connections, self._maximum_idle, self._keepalive_seconds
                )
            )
            self._pools[peer] = pool
        self._pools.move_to_end(peer)
        pool.users += 1
        try:
            yield pool.transport
        finally:
            pool.users -= 1
            pool.released_at = steady_seconds()
            self._pools.move_to_end(peer)
            await self._close_unused(pool.released_at)

    async def _close_unused(self, now: float) -> None:
        """Close pools that were idle too long, and the least recently used surplus ones."""
        closing: list[str] = []
        for peer, pool in self._pools.items():
            if pool.users > 0:
                continue
            surplus = len(self._pools) - len(closing) - self._maximum_pools
            if surplus <= 0 and now - pool.released_at <= self._keepalive_seconds:
                break
            closing.append(peer)
        closed = [self._pools.pop(peer) for peer in closing]
        with anyio.CancelScope(shield=True):
            for pool in closed:
                await pool.transport.aclose()
