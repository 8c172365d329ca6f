"""Routes calls about batches to a replica of the ledger: on this node, or on another one.

Owns which replicas to avoid temporarily. Relies on the list of nodes for the replicas, on
`peer_calls` for the transport, and on `ledger_call_handler` for calls that this node answers.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.ledger_call_handler import (
    END_TIMEOUT_SECONDS,
    LedgerCallHandler,
)
from stagewalk.gateway.batch_service.ledger_messages import (
    LedgerAnswer,
    LedgerCall,
    ResultsCall,
    decode_answer,
    encode_message,
    refusal,
)
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.eligibility.retry_after import DEFAULT_RETRY_AFTER_SECONDS
from stagewalk.gateway.peer_calls.client import PeerClient
from stagewalk.gateway.zones.distance import Proximity

LEDGER_PATH = "/ledger"
RESPONSE_TIMEOUT_SECONDS = 1.0
"""How long another node may take in addition to the time that the call may wait."""

REPLICAS_TRIED = 2
"""Number of replicas asked before the node reads the log itself, or refuses the call."""

REPLICA_AVOIDANCE_SECONDS = 2.0
"""How long a replica that gave no conclusive answer is asked last."""


class LedgerCallRouter:
    """Answers calls about batches on any node.

    A node without a replica asks one, and a second one if that fails. It reads the log itself only
    if none answers at all: replicas with an inconclusive answer are reading the log already, and if
    every node read it as well after a restart of all, no read would finish in time.

    Parameters
    ----------
    may_hold
        Whether batches may be kept in this node's region: otherwise it never reads them itself.
    """

    def __init__(
        self,
        local: LedgerCallHandler,
        client: PeerClient,
        proximity: Proximity,
        replicas: Callable[[], list[NodeAnnouncement]],
        following: Callable[[], bool],
        *,
        may_hold: Callable[[], bool] = lambda: True,
    ) -> None:
        self._local = local
        self._client = client
        self._proximity = proximity
        self._replicas = replicas
        self._following = following
        self._may_hold = may_hold
        self._avoid_until: dict[str, float] = {}

    async def call(self, call: LedgerCall) -> LedgerAnswer:
        """Return the answer to a call."""
        if self._following():
            return await self._local.execute(call)
        inconclusive: LedgerAnswer | None = None
        for replica in self._nearest()[:REPLICAS_TRIED]:
            answer = await self._ask(replica, call)
            if answer is not None and not answer.inconclusive:
                return answer
            inconclusive = answer or inconclusive
            self._avoid_until[replica.node] = steady_seconds() + REPLICA_AVOIDANCE_SECONDS
            log_event(
                "ledger_call_failed",
                "warning",
                batch=call.batch,
                replica=replica.node,
                call=type(call).__name__,
                status=0 if answer is None else answer.status,
            )
        if inconclusive is None and not self._may_hold():
            return refusal(
                503, "no node that may hold the batch answers", DEFAULT_RETRY_AFTER_SECONDS
            )
        return inconclusive or await self._local.execute(call)

    def _nearest(self) -> list[NodeAnnouncement]:
        """Return the replicas in the order to ask them: avoided ones last, then by distance."""
        now = steady_seconds()

        def order(replica: NodeAnnouncement) -> tuple[bool, int, float]:
            avoided = now < self._avoid_until.get(replica.node, 0.0)
            return avoided, self._proximity.distance(replica.zone), random.random()

        return sorted((r for r in self._replicas() if r.peer), key=order)

    async def _ask(self, replica: NodeAnnouncement, call: LedgerCall) -> LedgerAnswer | None:
        address = replica.peer_address
        if address is None:
            return None
        seconds = RESPONSE_TIMEOUT_SECONDS
        if isinstance(call, ResultsCall):
            seconds += call.wait_seconds
        else:
            seconds += END_TIMEOUT_SECONDS
        content = await self._client.call(address, LEDGER_PATH, encode_message(call), seconds)
        return None if content is None else decode_answer(content)
