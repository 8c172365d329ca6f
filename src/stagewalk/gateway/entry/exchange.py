"""An exchange with a caller whose request is opaque: kept to the byte."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope

from stagewalk.common.http.body_budget import BodyBudget
from stagewalk.common.http.exchange import Exchange
from stagewalk.common.settings.fields import Limits
from stagewalk.gateway.ports.workers import HeaderList

STREAM_STATUS = 200
LINE_BYTES = 4
"""What a header's line takes beside its name and value."""

HOP_HEADERS = frozenset(
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
    """Knows the request's target and headers exactly as they came."""

    def __init__(
        self,
        scope: HTTPScope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
        limits: Limits,
        budget: BodyBudget,
        *,
        last: Callable[[], bool],
    ) -> None:
        super().__init__(scope, receive, send, limits, budget, last=last)
        self.target = _target(scope)
        server = scope.get("server")
        self.port: int | None = None if server is None else server[1]
        """Of the listener that it came to."""
        self.header_list: HeaderList = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]
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
        """Return the headers that are meant for whoever answers, the host among them."""
        named = {
            token.strip().lower() for token in (self.header("connection") or "").split(",") if token
        }
        dropped = HOP_HEADERS | named
        return tuple(pair for pair in self.header_list if pair[0].lower() not in dropped)

    async def relay(self, status: int, headers: Iterable[tuple[str, str]], body: bytes) -> None:
        """Send a whole answer whose headers are given, the content's type among them."""
        kept = [pair for pair in headers if pair[0].lower() not in HOP_HEADERS]
        await self.begin(status, (*kept, ("content-length", str(len(body)))))
        await self.write(body, last=True)

    async def begin_stream(self, headers: Iterable[tuple[str, str]]) -> None:
        """Send the head of a stream, whose length nobody knows yet."""
        await self.begin(
            STREAM_STATUS, tuple(pair for pair in headers if pair[0].lower() not in HOP_HEADERS)
        )


def _target(scope: HTTPScope) -> str:
    path = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path
