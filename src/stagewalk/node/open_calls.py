"""Calls open at this node's edge: each an id, and a bounded buffer of what to tell the caller."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import anyio
from expression import Error, Ok, Result

from stagewalk.core.errors import ErrorKind, StagewalkError, Step
from stagewalk.core.identities import CallId
from stagewalk.core.instructions import AcceptLot, DeliverSamples, FailCall, FinishCall, SendChunk

CallAnswer = SendChunk | FinishCall | FailCall | AcceptLot | DeliverSamples

EDGE_PEER = "edge"
CALLER_PEER = "caller"
BUSY_RETRY_SECONDS = 1.0


class OpenCall:
    """One open call.

    The core's answers wait in a buffer of bounded length. A caller that lets it overflow reads
    too slowly: its call is cut, so that it can't hold the node's memory.
    """

    def __init__(self, call: CallId, streaming: bool, buffered: int) -> None:
        self.id = call
        self.streaming = streaming
        self.ended = False
        """Whether the core has given its last answer."""
        self.overflowed = False
        send, receive = anyio.create_memory_object_stream[CallAnswer](buffered)
        self._send = send
        self._receive = receive
        self._on_overflow: Callable[[], None] | None = None

    def on_overflow(self, action: Callable[[], None]) -> None:
        """Set what stops the call's task if it stands in a write that doesn't move."""
        self._on_overflow = action

    def offer(self, answer: CallAnswer) -> None:
        """Buffer an answer, or cut the call if its buffer is full."""
        try:
            self._send.send_nowait(answer)
        except anyio.WouldBlock:
            self._cut()
            return
        self.ended = not isinstance(answer, SendChunk)

    async def next_answer(self) -> CallAnswer:
        """Wait for the next answer."""
        return await self._receive.receive()

    def close(self) -> None:
        """Release the buffer."""
        self._send.close()
        self._receive.close()

    def _cut(self) -> None:
        self.overflowed = True
        if self._on_overflow is not None:
            self._on_overflow()


class OpenCalls:
    """All open calls of the node, limited in number."""

    def __init__(self, maximum: int, buffered_chunks: int) -> None:
        self._maximum = maximum
        self._buffered_chunks = buffered_chunks
        self._calls: dict[CallId, OpenCall] = {}
        self.stopping = False
        """Set at a planned stop: calls in flight go on, new ones are refused."""

    def __len__(self) -> int:
        return len(self._calls)

    def open(self, streaming: bool) -> Result[OpenCall, StagewalkError]:
        """Open a call, or refuse it: nothing was run for it."""
        if self.stopping:
            return Error(_refusal(ErrorKind.STOPPING, "this node is stopping; ask another one"))
        if len(self._calls) >= self._maximum:
            return Error(_refusal(ErrorKind.OVERLOADED, f"{self._maximum} calls are open"))
        call = OpenCall(CallId(uuid.uuid4().hex), streaming, self._buffered_chunks)
        self._calls[call.id] = call
        return Ok(call)

    def close(self, call: OpenCall) -> None:
        """Forget a call; answers that still come for it are dropped."""
        self._calls.pop(call.id, None)
        call.close()

    def offer(self, answer: CallAnswer) -> None:
        """Hand the core's answer to its call, if that is still open and wants it."""
        call = self._calls.get(answer.call)
        if call is None or call.ended or call.overflowed:
            return
        if isinstance(answer, SendChunk) and not call.streaming:
            return
        call.offer(answer)


def _refusal(kind: ErrorKind, detail: str) -> StagewalkError:
    return StagewalkError(
        kind=kind,
        step=Step.ADMISSION,
        peer=EDGE_PEER,
        detail=detail,
        retry_after_seconds=BUSY_RETRY_SECONDS,
    )
