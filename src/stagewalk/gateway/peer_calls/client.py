"""Calls other nodes over pooled connections.

Owns the limits on connections, and the classification of failed calls (`PeerFault`).
"""

from __future__ import annotations

from enum import StrEnum

import anyio
import httpx
from expression import Error, Ok, Result

from stagewalk.common.http.calls import NOT_SENT_ERRORS, describe_exception, url_for
from stagewalk.common.http.connection_pools import ConnectionPools
from stagewalk.common.identities import Address
from stagewalk.common.logs.lines import log_event

CONNECT_TIMEOUT_SECONDS = 0.3
"""A node that accepts no connection within this time is down or cut off."""

MAXIMUM_POOLS = 32
PEER_CONNECTIONS = 16
PEER_IDLE = 4
"""Maximum numbers of nodes with pooled connections, of connections to a node, and of idle
connections kept to a node."""

KEEPALIVE_EXPIRY_SECONDS = 10.0
"""How long an idle connection is kept."""


class PeerFault(StrEnum):
    """Why a call to another node has no answer."""

    NOT_SENT = "not_sent"
    """The node accepted no connection: it received no byte of the call."""
    UNKNOWN = "unknown"
    """The node may have executed the call."""


class PeerClient:
    """HTTP client for calls to other nodes."""

    def __init__(self) -> None:
        self._pools = ConnectionPools(
            MAXIMUM_POOLS, PEER_CONNECTIONS, PEER_IDLE, KEEPALIVE_EXPIRY_SECONDS
        )

    async def call(
        self, peer: Address, path: str, content: bytes, answer_seconds: float
    ) -> bytes | None:
        """Return the answer's bytes, None if the call failed; see `exchange`."""
        answer = await self.exchange(peer, path, content, answer_seconds)
        return answer.ok if answer.is_ok() else None

    async def exchange(
        self, peer: Address, path: str, content: bytes, answer_seconds: float
    ) -> Result[bytes, PeerFault]:
        """Return the answer's bytes, or whether the node may have executed the call.

        Parameters
        ----------
        peer
            Address at which the node listens for other nodes.
        path
            Path of the handler.
        answer_seconds
            Time-out of the answer.
        """
        timeout = httpx.Timeout(
            answer_seconds, connect=CONNECT_TIMEOUT_SECONDS, pool=CONNECT_TIMEOUT_SECONDS
        )
        request = httpx.Request(
            "POST",
            url_for(peer, path),
            content=content,
            extensions={"timeout": timeout.as_dict()},
        )
        try:
            with anyio.fail_after(answer_seconds + CONNECT_TIMEOUT_SECONDS):
                async with self._pools.use(str(peer)) as transport:
                    response = await transport.handle_async_request(request)
                    await response.aread()
        except (httpx.HTTPError, TimeoutError) as error:
            log_event("peer_call_failed", "debug", peer=str(peer), detail=describe_exception(error))
            not_sent = isinstance(error, NOT_SENT_ERRORS)
            return Error(PeerFault.NOT_SENT if not_sent else PeerFault.UNKNOWN)
        return Ok(response.content) if response.is_success else Error(PeerFault.UNKNOWN)
