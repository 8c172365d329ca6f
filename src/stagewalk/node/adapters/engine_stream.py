"""Streamed attempts at model engines over server-sent events.

Owns the recovery of a lost stream: it is resumed at the same engine, which does not run the
attempt again. Relies on the core for further attempts.
"""

from __future__ import annotations

import dataclasses

import anyio
import httpx
import msgspec

from stagewalk.common.errors import ExecutionStatus
from stagewalk.common.http.calls import (
    NOT_SENT_ERRORS,
    call_timeout,
    describe_exception,
    quote_path_segment,
    url_for,
)
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.node.adapters.engine_frames import (
    StreamEvent,
    decode_event,
    decode_problem,
    encode_attempt,
)
from stagewalk.node.core.completions import TokenChunk
from stagewalk.node.core.events import AttemptChunk, AttemptFailed, AttemptFinished, AttemptRefused
from stagewalk.node.core.instructions import StartAttempt
from stagewalk.node.ports.engines import AttemptSink, FinalAttemptEvent

ATTEMPT_GRACE_SECONDS = 5.0
"""How long a stream may outlive its request's deadline before it is aborted."""

MAXIMUM_RECONNECTIONS = 3
"""Consecutive reconnections without a new chunk, after which the attempt has failed."""

RECONNECTION_DELAY_SECONDS = 0.2
"""Pause before a lost stream is resumed."""

_DATA_FIELD = "data:"
_STREAM_END = "[DONE]"
_DUPLICATE_STATUS = 409
_MAXIMUM_PROBLEM_BYTES = 4096
"""Bytes of an error response after which reading stops."""


class AttemptStream:
    """One attempt at an engine, over one or more connections.

    An attempt counts as sent unless connecting failed. If its stream is lost, the engine is asked
    for the rest of the same attempt without running it again; the attempt has failed when the
    engine can't be reached or no longer has it.
    """

    def __init__(
        self, client: httpx.AsyncClient, start: StartAttempt, deliver: AttemptSink
    ) -> None:
        self._client = client
        self._start = start
        self._deliver = deliver
        self._next_offset = start.resume_offset
        self._next_sequence = 0
        self._reconnections_left = MAXIMUM_RECONNECTIONS

    async def run(self) -> None:
        """Deliver the attempt's chunks, then exactly one final event."""
        try:
            with anyio.fail_after(self._seconds_left()):
                final = await self._follow()
        except TimeoutError:
            final = self._failed("the stream outlived its deadline")
        await self._deliver(final)

    def _seconds_left(self) -> float:
        left = self._start.request.deadline - steady_seconds()
        return max(0.0, left) + ATTEMPT_GRACE_SECONDS

    async def _follow(self) -> FinalAttemptEvent:
        final = await self._send()
        while isinstance(final, _ConnectionLost):
            if self._reconnections_left == 0:
                return self._failed(final.detail)
            self._reconnections_left -= 1
            await anyio.sleep(RECONNECTION_DELAY_SECONDS)
            final = await self._reconnect(final)
        return final

    async def _send(self) -> FinalAttemptEvent | _ConnectionLost:
        request = self._client.stream(
            "POST",
            url_for(self._start.address, "/v1/completions"),
            content=encode_attempt(self._start),
            headers={"Content-Type": "application/json", "X-Request-Id": self._start.attempt},
            timeout=call_timeout(None),
        )
        try:
            async with request as response:
                if response.is_success:
                    return await self._relay(response)
                return await self._refusal(response)
        except NOT_SENT_ERRORS as error:
            return AttemptFailed(self._start.attempt, False, describe_exception(error))
        except httpx.HTTPError as error:
            return _ConnectionLost(describe_exception(error))

    async def _reconnect(self, lost: _ConnectionLost) -> FinalAttemptEvent | _ConnectionLost:
        path = f"/v1/streams/{quote_path_segment(self._start.attempt)}?offset={self._next_offset}"
        request = self._client.stream(
            "GET", url_for(self._start.address, path), timeout=call_timeout(None)
        )
        try:
            async with request as response:
                if response.is_success:
                    return await self._relay(response, renumber=True)
                return self._failed(f"{lost.detail}; asked again: status {response.status_code}")
        except NOT_SENT_ERRORS as error:
            return self._failed(f"{lost.detail}; asked again: {describe_exception(error)}")
        except httpx.HTTPError as error:
            return _ConnectionLost(describe_exception(error))

    async def _relay(
        self, response: httpx.Response, *, renumber: bool = False
    ) -> FinalAttemptEvent | _ConnectionLost:
        async for line in response.aiter_lines():
            if not line.startswith(_DATA_FIELD):
                continue
            data = line.removeprefix(_DATA_FIELD).strip()
            if data == _STREAM_END:
                break
            try:
                event = decode_event(data)
            except msgspec.DecodeError as error:
                return _ConnectionLost(f"bad frame: {error}")
            final = await self._handle(event, renumber)
            if final is not None:
                return final
        return _ConnectionLost("the stream ended without its final frame")

    async def _handle(self, event: StreamEvent, renumber: bool) -> FinalAttemptEvent | None:
        if event.id != self._start.attempt:
            return self._failed(f"the stream carries attempt {event.id}")
        chunk = event.chunk()
        if chunk is not None:
            await self._deliver_chunk(chunk, renumber)
        reason = event.choice.finish_reason
        if reason is not None and event.usage is not None:
            return AttemptFinished(self._start.attempt, event.usage.completion_tokens, reason)
        return None

    async def _deliver_chunk(self, chunk: TokenChunk, renumber: bool) -> None:
        """Deliver a chunk; those of a resumed stream are renumbered to continue the lost one."""
        if renumber:
            chunk = dataclasses.replace(chunk, sequence=self._next_sequence)
        self._next_sequence = max(self._next_sequence, chunk.sequence + 1)
        if chunk.offset <= self._next_offset:
            self._next_offset = max(self._next_offset, chunk.offset + chunk.token_count)
        self._reconnections_left = MAXIMUM_RECONNECTIONS
        await self._deliver(AttemptChunk(self._start.attempt, chunk))

    async def _refusal(self, response: httpx.Response) -> FinalAttemptEvent:
        content = b""
        async for part in response.aiter_bytes():
            content += part
            if len(content) >= _MAXIMUM_PROBLEM_BYTES:
                break
        problem = decode_problem(content)
        detail = f"status {response.status_code}: {problem.detail}"
        if problem.ran != ExecutionStatus.NO or response.status_code == _DUPLICATE_STATUS:
            return self._failed(detail)
        return AttemptRefused(self._start.attempt, detail, _retry_after(response))

    def _failed(self, detail: str) -> AttemptFailed:
        return AttemptFailed(self._start.attempt, True, detail)


@dataclasses.dataclass(frozen=True, slots=True)
class _ConnectionLost:
    """A connection ended before the attempt's final frame."""

    detail: str


def _retry_after(response: httpx.Response) -> float | None:
    try:
        return max(0.0, float(response.headers["Retry-After"]))
    except (KeyError, ValueError):
        return None
