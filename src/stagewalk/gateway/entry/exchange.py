"""An HTTP exchange that keeps the caller's target and headers byte for byte.

Defines which headers are hop-by-hop, in both directions. `common.http.exchange` reads the body,
applies its limits and sends the response.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import cached_property, partial

import anyio
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope

from stagewalk.common.http.asgi import BrokenResponseError
from stagewalk.common.http.body_budget import ByteBudget
from stagewalk.common.http.exchange import Exchange
from stagewalk.common.settings.fields import Limits
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.held_memory.readers import ReaderBacklog, ResponseReaders
from stagewalk.gateway.ports.workers import HeaderList

STREAM_STATUS = 200
CHUNK_BYTES = 65_536
"""A whole answer is written in chunks of this size, so that little of it is buffered twice."""

HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value: ": " and CRLF."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Hop-by-hop headers, and the content length, which is set again for each connection."""


class OpaqueExchange(Exchange):
    """An exchange that gives the request's target and headers exactly as received.

    Parameters
    ----------
    readers
        Counts the bytes that the caller has not read yet; None if they aren't counted.
    """

    def __init__(
        self,
        scope: HTTPScope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
        limits: Limits,
        budget: ByteBudget,
        *,
        last: Callable[[], bool],
        readers: ResponseReaders | None = None,
    ) -> None:
        super().__init__(scope, receive, send, limits, budget, last=last)
        self._readers = readers

    @cached_property
    def target(self) -> str:
        """Return the request's path and query as the caller spelled them."""
        path = self._scope["raw_path"].decode("latin-1")
        query = self._scope["query_string"].decode("latin-1")
        return f"{path}?{query}" if query else path

    @property
    def port(self) -> int | None:
        """Return the port of the listener that accepted the request."""
        server = self._scope.get("server")
        return None if server is None else server[1]

    @cached_property
    def header_list(self) -> HeaderList:
        """Return the headers in order, with names as the caller spelled them."""
        return tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._scope["headers"]
        )

    @property
    def head_bytes(self) -> int:
        """Return the size of the request's head: its target and its headers."""
        headers = sum(
            len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES for name, value in self.header_list
        )
        return len(self.target) + headers

    @property
    def host(self) -> str:
        """Return the host of the `Host` header, without the port."""
        return (self.header("host") or "").split(":")[0]

    def end_to_end_headers(self) -> HeaderList:
        """Return the headers without hop-by-hop ones; `Host` is kept."""
        named = {
            token.strip().lower() for token in (self.header("connection") or "").split(",") if token
        }
        dropped = HOP_BY_HOP_HEADERS | named
        return tuple(pair for pair in self.header_list if pair[0].lower() not in dropped)

    async def relay(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        request_id: str = "",
    ) -> None:
        """Send a whole response; `headers` include its content type.

        Raises
        ------
        BrokenResponseError
            The caller read too slowly and its connection was aborted.
        """
        kept = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP_HEADERS]
        length = ("content-length", str(len(body)))
        if self._readers is None:
            await self.start_response(status, (*kept, length))
            await self._write_chunks(body, lambda _size: None)
            return
        self.bound_write_buffer()
        with anyio.CancelScope() as writing:
            reader = ReaderBacklog(request_id, False, writing.cancel)
            self._readers.add(reader)
            try:
                self._readers.buffer_answer(reader, len(body), steady_seconds())
                await self.start_response(status, (*kept, length))
                await self._write_chunks(body, partial(self._readers.release, reader))
            finally:
                self._readers.remove(reader)
        if reader.was_cut_off:
            self.abort()
            raise BrokenResponseError(f"the caller of {request_id} read too slowly")

    async def _write_chunks(self, body: bytes, on_written: Callable[[int], None]) -> None:
        """Write a whole body in chunks; call `on_written` with the size of each written one."""
        for start in range(0, max(1, len(body)), CHUNK_BYTES):
            piece = body[start : start + CHUNK_BYTES]
            await self.write(piece, last=start + CHUNK_BYTES >= len(body))
            on_written(len(piece))

    async def begin_stream(self, headers: Iterable[tuple[str, str]]) -> None:
        """Send the response head of a stream of unknown length."""
        if self._readers is not None:
            self.bound_write_buffer()
        await self.start_response(
            STREAM_STATUS,
            tuple(pair for pair in headers if pair[0].lower() not in HOP_BY_HOP_HEADERS),
        )
