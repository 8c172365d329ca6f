"""An exchange with a caller whose request is opaque: kept to the byte.

Owns which headers concern one connection only, in both directions. Relies on
`common.http.exchange` for the body, its limits and the response.
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
"""A whole answer is written in such pieces, so that little of it is held twice."""

LINE_BYTES = 4
"""What a header's line has beside its name and value: ": " and the line's end."""

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
"""Headers that concern one connection only, and the length, which is set anew."""


class OpaqueExchange(Exchange):
    """Knows the request's target and headers exactly as they came.

    Parameters
    ----------
    readers
        Counts what its caller has not read; None: that isn't counted.
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
        """Return the port of the listener that the request came to."""
        server = self._scope.get("server")
        return None if server is None else server[1]

    @cached_property
    def header_list(self) -> HeaderList:
        """Return the headers in their order, with names as the caller spelled them."""
        return tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._scope["headers"]
        )

    @property
    def head_bytes(self) -> int:
        """Return the size of the request's head: its target and its headers."""
        headers = sum(len(name) + len(value) + LINE_BYTES for name, value in self.header_list)
        return len(self.target) + headers

    @property
    def host(self) -> str:
        """Return the host the caller named, without a port."""
        return (self.header("host") or "").split(":")[0]

    def end_to_end_headers(self) -> HeaderList:
        """Return the end-to-end headers, the host among them."""
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
        """Send a whole response with given headers, its content type among them.

        Raises
        ------
        BrokenResponseError
            Its caller read too slowly, and was cut off.
        """
        kept = [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP_HEADERS]
        length = ("content-length", str(len(body)))
        if self._readers is None:
            await self.start_response(status, (*kept, length))
            await self._write_pieces(body, lambda _size: None)
            return
        self.bound_write_buffer()
        with anyio.CancelScope() as writing:
            reader = ReaderBacklog(request_id, False, writing.cancel)
            self._readers.add(reader)
            try:
                self._readers.buffer_answer(reader, len(body), steady_seconds())
                await self.start_response(status, (*kept, length))
                await self._write_pieces(body, partial(self._readers.release, reader))
            finally:
                self._readers.remove(reader)
        if reader.was_cut_off:
            self.abort()
            raise BrokenResponseError(f"the caller of {request_id} read too slowly")

    async def _write_pieces(self, body: bytes, on_written: Callable[[int], None]) -> None:
        """Write a whole body in pieces; tell the size of each that its caller has taken."""
        for start in range(0, max(1, len(body)), CHUNK_BYTES):
            piece = body[start : start + CHUNK_BYTES]
            await self.write(piece, last=start + CHUNK_BYTES >= len(body))
            on_written(len(piece))

    async def begin_stream(self, headers: Iterable[tuple[str, str]]) -> None:
        """Send the head of a stream of unknown length."""
        if self._readers is not None:
            self.bound_write_buffer()
        await self.start_response(
            STREAM_STATUS,
            tuple(pair for pair in headers if pair[0].lower() not in HOP_BY_HOP_HEADERS),
        )
