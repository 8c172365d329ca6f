"""Dispatches ASGI connections, and runs one HTTP exchange from its first byte to its end.

Owns what every application here does alike: the lifespan protocol, refusing WebSockets, noticing
that a caller went away, releasing the body's memory, and reporting a handler's crash. Relies on
`Exchange`; what is served is the application's own.
"""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable

import anyio
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

from stagewalk.common.http.exchange import Exchange
from stagewalk.common.http.lifespan import serve_lifespan
from stagewalk.common.logs.lines import log_event

WEBSOCKET_POLICY_VIOLATION = 1008
"""WebSocket close code (RFC 6455, 7.4.1): this server accepts no WebSockets."""

HttpHandler = Callable[[HTTPScope, ASGIReceiveCallable, ASGISendCallable], Awaitable[None]]


class BrokenResponseError(Exception):
    """A response that has begun can't be completed: its connection must break."""


async def serve_connection(
    scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable, serve_http: HttpHandler
) -> None:
    """Serve one ASGI connection: HTTP by a handler, no WebSockets."""
    if scope["type"] == "lifespan":
        await serve_lifespan(receive, send)
    elif scope["type"] == "http":
        await serve_http(scope, receive, send)
    else:
        await send({"type": "websocket.close", "code": WEBSOCKET_POLICY_VIOLATION, "reason": None})


async def run_exchange(
    exchange: Exchange,
    handle: Callable[[], Awaitable[None]],
    respond_crashed: Callable[[], Awaitable[None]],
    *,
    cancel_on_disconnect: bool = False,
) -> None:
    """Run an exchange's handler while what the caller sends is received.

    Parameters
    ----------
    handle
        Serves the exchange.
    respond_crashed
        Responds if the handler crashed before it sent a status.
    cancel_on_disconnect
        Whether the handler ends when the caller goes away.

    Raises
    ------
    BrokenResponseError
        As raised by the handler.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(exchange.watch)
        if cancel_on_disconnect:
            exchange.on_disconnect(tasks.cancel_scope.cancel)
        try:
            await handle()
        except BrokenResponseError:
            raise
        except Exception as error:
            trace = "".join(traceback.format_exception(error))
            log_event("exchange_failed", "error", path=exchange.path, trace=trace)
            if not exchange.started:
                await respond_crashed()
        finally:
            exchange.release_body()
        tasks.cancel_scope.cancel()
