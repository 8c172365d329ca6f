"""Asks other nodes whether they run batches, and tells them of batches that are theirs."""

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
ANSWER_SECONDS = 0.3
"""A process that takes longer than this to say who it is runs no batch well."""


class RunnerCalls:
    """Client and handler of calls about runners.

    Parameters
    ----------
    describe
        Tells of this process, and how busy it is for others than a trainer.
    accept
        Takes a batch that this process is to run; returns whether it noted the batch's place.
    """

    def __init__(
        self,
        client: PeerClient,
        describe: Callable[[str], RunnerAnswer],
        accept: Callable[[RunBatch], Awaitable[bool]],
    ) -> None:
        self._client = client
        self._describe = describe
        self._accept = accept

    async def ask(self, peer: Address, trainer: str = "") -> RunnerAnswer | None:
        """Ask a node about itself; None if no answer came."""
        return await self._call(peer, AskRunner(trainer))

    async def notify(self, peer: Address, run: RunBatch) -> RunnerAnswer | None:
        """Tell a node of a batch it is to run; None if no answer came."""
        return await self._call(peer, run)

    async def handle(self, content: bytes) -> bytes | None:
        """Answer another node's call; None if the bytes spell none."""
        call = decode_call(content)
        if call is None:
            return None
        if isinstance(call, AskRunner):
            return encode_message(self._describe(call.trainer))
        noted = await self._accept(call)
        return encode_message(msgspec.structs.replace(self._describe(""), noted=noted))

    async def _call(self, peer: Address, call: RunnerCall) -> RunnerAnswer | None:
        content = await self._client.call(peer, RUNNER_PATH, encode_message(call), ANSWER_SECONDS)
        return None if content is None else decode_answer(content)
