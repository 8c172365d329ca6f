"""Serves other nodes' calls of the log with this node's straight way to it."""

from __future__ import annotations

from typing import TypeVar

from expression import Result
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

from stagewalk.log_relay.messages import (
    AppendAtCall,
    AppendCall,
    AppendKeyedCall,
    LogAnswer,
    LogCall,
    NewestCall,
    ReadCall,
    ReadKeyedCall,
    decode_call,
    encode_message,
)
from stagewalk.log_relay.relayed_log import RELAY_PATH
from stagewalk.node.lifespan import serve_lifespan
from stagewalk.ports.partitioned_log import LogFailure, PartitionedLog

MAXIMUM_CALL_BYTES = 8 * 1024 * 1024
MAXIMUM_CALLS = 64
"""Calls under way for other nodes; further ones are refused."""

Value = TypeVar("Value")


class RelayApp:
    """ASGI application of the listener for other nodes."""

    def __init__(self, straight: PartitionedLog) -> None:
        self._straight = straight
        self._calls = 0

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(
        self, scope: HTTPScope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        content = await _body(receive)
        call = None if content is None else decode_call(content)
        if scope["path"] != RELAY_PATH or call is None:
            await _respond(send, 400, b"")
            return
        if self._calls >= MAXIMUM_CALLS:
            await _respond(send, 503, b"")
            return
        self._calls += 1
        try:
            answer = await self._carry_out(call)
        finally:
            self._calls -= 1
        await _respond(send, 200, encode_message(answer))

    async def _carry_out(self, call: LogCall) -> LogAnswer:
        log = self._straight
        match call:
            case AppendCall():
                appended = await log.append(call.partition, call.payloads, call.sequence)
                return _offset_answer(appended)
            case AppendAtCall():
                return _offset_answer(await log.append_at(call.partition, call.payload, call.end))
            case AppendKeyedCall():
                return _offset_answer(await log.append_keyed(call.partition, call.key, call.value))
            case ReadCall():
                page = await log.read(call.partition, call.offset, call.wait_seconds)
                if page.is_ok():
                    return LogAnswer(page=page.ok)
                return LogAnswer(failure=page.error)
            case ReadKeyedCall():
                keyed = await log.read_keyed(call.partition, call.offset, call.wait_seconds)
            case NewestCall():
                keyed = await log.newest(call.partition)
        return LogAnswer(keyed=keyed.ok) if keyed.is_ok() else LogAnswer(failure=keyed.error)


def _offset_answer(result: Result[int, LogFailure]) -> LogAnswer:
    return LogAnswer(offset=result.ok) if result.is_ok() else LogAnswer(failure=result.error)


async def _body(receive: ASGIReceiveCallable) -> bytes | None:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        body += message.get("body", b"")
        if len(body) > MAXIMUM_CALL_BYTES:
            return None
        if not message.get("more_body", False):
            return bytes(body)


async def _respond(send: ASGISendCallable, status: int, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers, "trailers": False}
    )
    await send({"type": "http.response.body", "body": body, "more_body": False})
