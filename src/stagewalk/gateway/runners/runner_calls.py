"""Calls between nodes about runners: client and handler.

Owns the response timeout. Relies on `peer_calls` for the transport.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from stagewalk.common.identities import Address
from stagewalk.gateway.peer_calls.client import PeerClient
from stagewalk.gateway.runners.runner_messages import (
    AskRunner,
    RunBatch,
    RunnerAnswer,
    RunnerCall,
    decode_answer,
    decode_call,
    encode_message,
)

RUNNER_PATH = "/runner"
RESPONSE_TIMEOUT_SECONDS = 0.3
"""A process that takes longer than this to answer is too slow to run a batch."""


class RunnerClient:
    """Asks other nodes about their runner, and notifies them of batches they are to run."""

    def __init__(self, client: PeerClient) -> None:
        self._client = client

    async def ask(self, peer: Address, trainer: str = "") -> RunnerAnswer | None:
        """Ask a node about its runner; None if no answer came."""
        return await self._call(peer, AskRunner(trainer))

    async def notify(self, peer: Address, run: RunBatch) -> RunnerAnswer | None:
        """Notify a node of a batch it is to run; None if no answer came."""
        return await self._call(peer, run)

    async def _call(self, peer: Address, call: RunnerCall) -> RunnerAnswer | None:
        content = await self._client.call(
            peer, RUNNER_PATH, encode_message(call), RESPONSE_TIMEOUT_SECONDS
        )
        return None if content is None else decode_answer(content)


class RunnerCallHandler:
    """Answers other nodes' calls about this node's runner.

    Parameters
    ----------
    describe
        Returns this process, whether it runs batches, and its load from all but one trainer.
    accept
        Runs a batch; returns whether it indexed the batch's place.
    """

    def __init__(
        self,
        describe: Callable[[str], RunnerAnswer],
        accept: Callable[[RunBatch], Awaitable[bool]],
    ) -> None:
        self._describe = describe
        self._accept = accept

    async def handle(self, content: bytes) -> bytes | None:
        """Return the answer to a call; None if the bytes are no valid call."""
        call = decode_call(content)
        if call is None:
            return None
        if isinstance(call, AskRunner):
            return encode_message(self._describe(call.trainer))
        noted = await self._accept(call)
        return encode_message(msgspec.structs.replace(self._describe(""), noted=noted))
