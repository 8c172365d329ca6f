"""Server-sent event stream of an engine attempt.

Keeps all chunks, so that a client can reconnect and resume from any token offset.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator

import anyio
import msgspec

from stagewalk.history.answer_text import content_key, render_chunk
from stagewalk.node.core.completions import TokenChunk
from stagewalk.simulation.engine_messages import AttemptDone, EngineRequest, WorkOutcome

DONE_EVENT = b"data: [DONE]\n\n"
_ENCODER = msgspec.json.Encoder()


class Choice(msgspec.Struct, frozen=True):
    """A choice of a completion chunk, as in the OpenAI API."""

    index: int
    text: str
    finish_reason: str | None


class Frame(msgspec.Struct, frozen=True):
    """Position of a chunk in its answer, and the weight version that generated it."""

    sequence: int
    offset: int
    token_count: int
    version: int


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a whole answer."""

    prompt_tokens: int
    completion_tokens: int


class CompletionEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One server-sent event of a completion."""

    id: str
    object: str
    model: str
    choices: tuple[Choice, ...]
    frame: Frame | None = None
    usage: Usage | None = None


class AttemptStream:
    """Chunks of one attempt, for any number of readers with their own offsets.

    Attributes
    ----------
    readers
        Number of clients reading the stream.
    unread_since
        Time in seconds when the last reader left, or when the stream began.
    """

    def __init__(self, request: EngineRequest, now: float) -> None:
        self.readers = 0
        self.unread_since = now
        self._request = request
        self._content_key = content_key(request.prompt, request.seed)
        self._chunks: list[TokenChunk] = []
        self._done: AttemptDone | None = None
        self._changed = anyio.Event()

    @property
    def done(self) -> bool:
        """Return whether the attempt has ended."""
        return self._done is not None

    @property
    def cut(self) -> bool:
        """Return whether the attempt has ended without its whole answer."""
        return self._done is not None and self._done.outcome is not WorkOutcome.FINISHED

    def add(self, chunk: TokenChunk) -> None:
        """Append the next chunk."""
        self._chunks.append(chunk)
        self._wake()

    def end(self, done: AttemptDone) -> None:
        """End the stream; readers see it truncated unless the outcome is `FINISHED`."""
        self._done = done
        self._wake()

    async def events(self, offset: int) -> AsyncGenerator[bytes, None]:
        """Yield the server-sent events from token `offset` on."""
        position = 0
        while True:
            changed = self._changed
            while position < len(self._chunks):
                chunk = self._from_offset(self._chunks[position], offset)
                position += 1
                if chunk is not None:
                    yield self._chunk_event(chunk)
            if self._done is not None:
                if self._done.outcome is WorkOutcome.FINISHED:
                    yield self._final_event(self._done) + DONE_EVENT
                return
            await changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _from_offset(self, chunk: TokenChunk, offset: int) -> TokenChunk | None:
        end = chunk.offset + chunk.token_count
        if end <= offset:
            return None
        if chunk.offset >= offset:
            return chunk
        text = render_chunk(self._content_key, offset, end, chunk.version)
        return TokenChunk(chunk.sequence, offset, end - offset, text, chunk.version)

    def _chunk_event(self, chunk: TokenChunk) -> bytes:
        frame = Frame(chunk.sequence, chunk.offset, chunk.token_count, chunk.version)
        return self._encode(Choice(0, chunk.text, None), frame, None)

    def _final_event(self, done: AttemptDone) -> bytes:
        usage = Usage(done.prompt_tokens, done.token_count)
        return self._encode(Choice(0, "", done.finish_reason), None, usage)

    def _encode(self, choice: Choice, frame: Frame | None, usage: Usage | None) -> bytes:
        event = CompletionEvent(
            id=self._request.attempt,
            object="text_completion",
            model=self._request.model,
            choices=(choice,),
            frame=frame,
            usage=usage,
        )
        return b"data: " + _ENCODER.encode(event) + b"\n\n"
