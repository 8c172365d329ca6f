"""Calls open at this node's edge, each with an id and a bounded buffer of text for the caller.

Owns the buffers and the number of open calls. Relies on the edge to read them and to close each
call.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.common.http.peer_names import BUSY_RETRY_AFTER_SECONDS, EDGE_PEER
from stagewalk.common.identities import CallId
from stagewalk.node.core.instructions import (
    AcceptLot,
    DeliverSamples,
    FailCall,
    FinishCall,
    SendChunk,
)

FinalAnswer = FinishCall | FailCall | AcceptLot | DeliverSamples


@dataclass(frozen=True, slots=True)
class TextDelta:
    """Text of one or more chunks that was not yet sent to the caller."""

    text: str


class OpenCall:
    """One open call.

    Chunks that come faster than the caller reads are joined, up to a bounded length. A call whose
    buffer would grow beyond it is ended, since a slow reader must not exhaust the node's memory.
    The bound counts characters, not chunks, since the core may return many chunks at once.
    """

    def __init__(self, call: CallId, streaming: bool, maximum_characters: int) -> None:
        self.id = call
        self.streaming = streaming
        self.overflowed = False
        self._maximum_characters = maximum_characters
        self._buffered_texts: list[str] = []
        self._buffered_length = 0
        self._final_answer: FinalAnswer | None = None
        self._updated = anyio.Event()
        self._on_overflow: Callable[[], None] | None = None

    @property
    def ended(self) -> bool:
        """Whether the core has given its last answer."""
        return self._final_answer is not None

    def on_overflow(self, action: Callable[[], None]) -> None:
        """Set the action that stops the call's task, which may be blocked in a write."""
        self._on_overflow = action

    def add_text(self, text: str) -> None:
        """Buffer a piece of the answer, or end the call if the buffer is too full."""
        if self._buffered_length + len(text) > self._maximum_characters:
            self._overflow()
            return
        self._buffered_texts.append(text)
        self._buffered_length += len(text)
        self._updated.set()

    def end(self, answer: FinalAnswer) -> None:
        """Set the core's last answer."""
        self._final_answer = answer
        self._updated.set()

    async def next_answer(self) -> TextDelta | FinalAnswer:
        """Wait for the core's next answer."""
        while not self._buffered_texts and self._final_answer is None:
            self._updated = anyio.Event()
            await self._updated.wait()
        if self._buffered_texts:
            return self._drain_texts()
        assert self._final_answer is not None
        return self._final_answer

    def _drain_texts(self) -> TextDelta:
        piece = TextDelta("".join(self._buffered_texts))
        self._buffered_texts.clear()
        self._buffered_length = 0
        return piece

    def _overflow(self) -> None:
        self.overflowed = True
        self._buffered_texts.clear()
        if self._on_overflow is not None:
            self._on_overflow()


class OpenCalls:
    """All open calls of the node, limited in number."""

    def __init__(self, maximum: int, buffered_characters: int) -> None:
        self._maximum = maximum
        self._buffered_characters = buffered_characters
        self._calls: dict[CallId, OpenCall] = {}
        self.closed = False
        """Set when the node exits: from then on calls are refused."""

    def __len__(self) -> int:
        return len(self._calls)

    def open(self, streaming: bool) -> Result[OpenCall, StagewalkError]:
        """Open a call, or return the error that refuses it.

        During a planned stop calls are still opened: the core refuses those that don't join a
        request in flight.
        """
        if self.closed:
            return Error(_refusal(ErrorKind.STOPPING, "this node exits; ask another one"))
        if len(self._calls) >= self._maximum:
            return Error(_refusal(ErrorKind.OVERLOADED, f"{self._maximum} calls are open"))
        call = OpenCall(CallId(uuid.uuid4().hex), streaming, self._buffered_characters)
        self._calls[call.id] = call
        return Ok(call)

    def close(self, call: OpenCall) -> None:
        """Remove a call; answers that still come for it are dropped."""
        self._calls.pop(call.id, None)

    def send_chunk(self, send: SendChunk) -> None:
        """Buffer a chunk for its call, if that is still open and streams."""
        call = self._find(send.call)
        if call is not None and call.streaming:
            call.add_text(send.chunk.text)

    def end(self, answer: FinalAnswer) -> None:
        """Set the core's last answer to a call, if that is still open."""
        call = self._find(answer.call)
        if call is not None:
            call.end(answer)

    def _find(self, name: CallId) -> OpenCall | None:
        call = self._calls.get(name)
        if call is None or call.ended or call.overflowed:
            return None
        return call


def _refusal(kind: ErrorKind, detail: str) -> StagewalkError:
    return StagewalkError(
        kind=kind,
        step=ErrorStep.ADMISSION,
        peer=EDGE_PEER,
        detail=detail,
        retry_after_seconds=BUSY_RETRY_AFTER_SECONDS,
    )
