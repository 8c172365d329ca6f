"""Dispatches ASGI connections and runs the handler of an HTTP exchange.

Covers what all applications share: the lifespan protocol, rejecting WebSockets, detecting
disconnects, releasing the body's memory, logging crashes of a handler, and the last answer when the
server cancels a handler at the end of its shutdown.
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

LAST_ANSWER_SECONDS = 0.1
"""How long writing the answer of a cancelled handler may take."""

HttpHandler = Callable[[HTTPScope, ASGIReceiveCallable, ASGISendCallable], Awaitable[None]]


class BrokenResponseError(Exception):
    """A started response can't be completed, so its connection has to be closed."""


async def serve_connection(
    scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable, serve_http: HttpHandler
) -> None:
    """Serve one ASGI connection: passes HTTP to the handler and rejects WebSockets."""
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
    respond_stopped: Callable[[], Awaitable[None]],
    *,
    cancel_on_disconnect: bool = False,
) -> None:
    """Run an exchange's handler while receiving the caller's messages.

    Parameters
    ----------
    handle
        Serves the exchange.
    respond_crashed
        Responds if the handler crashed before it sent a status.
    respond_stopped
        Responds if the server cancelled the handler before it sent a status.
    cancel_on_disconnect
        Whether to cancel the handler when the caller disconnects.

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
        except anyio.get_cancelled_exc_class():
            if not exchange.started and not exchange.disconnected:
                log_event("exchange_stopped", "warning", path=exchange.path)
                with anyio.move_on_after(LAST_ANSWER_SECONDS, shield=True):
                    await respond_stopped()
            raise
        finally:
            exchange.release_body()
        tasks.cancel_scope.cancel()
