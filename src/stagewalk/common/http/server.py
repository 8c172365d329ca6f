"""Serves an ASGI application with `hypercorn`, with a graceful shutdown.

A shutdown first drops new connections (see `listener_filter`), then completes open requests, then
ends the server. `ShutdownTimes` limits it, also if callers don't read their answers.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import weakref
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import hypercorn.asyncio
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework, ASGIReceiveCallable, ASGISendCallable, Scope

from stagewalk.common.http.server_connection import transport_of
from stagewalk.common.identities import Address
from stagewalk.common.stop_times import StopTimes

LISTEN_BACKLOG = 1024
"""Connections the kernel accepts ahead of the server."""

MAXIMUM_HEAD_BYTES = 64 * 1024
"""Longest head of a request; well above the header limits that routes publish."""

SERVER_KEEP_ALIVE_SECONDS = 75.0
"""Longer than the usual idle timeout of clients, so that clients close idle connections first."""

GRACEFUL_TIMEOUT_SECONDS = 3.0
"""How long requests under way may go on once the listener is closed, by default."""

FLUSH_TIMEOUT_SECONDS = 0.25
"""How long callers may take to read the last answers, by default."""

EXIT_LINGER_SECONDS = 0.5
"""How long requests that arrive during a shutdown are still answered instead of reset."""

STALLED_WRITE_MILLISECONDS = 30_000
"""After this time the kernel drops a connection whose peer acknowledges no more data."""


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """How long the steps of a shutdown may take once the listener is closed, in seconds.

    Attributes
    ----------
    graceful_seconds
        How long open requests may go on; then their handlers are cancelled.
    flush_seconds
        How long answers may remain unread after that; then their connections are aborted.
    """

    graceful_seconds: float = GRACEFUL_TIMEOUT_SECONDS
    flush_seconds: float = FLUSH_TIMEOUT_SECONDS


def shutdown_times(stop: StopTimes, now: float) -> ShutdownTimes:
    """Return what is left of a planned stop for open requests and unread answers."""
    return ShutdownTimes(
        graceful_seconds=max(0.0, stop.connections_close_at - now),
        flush_seconds=stop.cleanup_ends_at - stop.connections_close_at,
    )


def open_listener(address: Address) -> socket.socket:
    """Bind and return the listening socket; raises `OSError` if the address is taken."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.create_server(
        (address.host, address.port), family=family, backlog=LISTEN_BACKLOG
    )
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, STALLED_WRITE_MILLISECONDS)
    return listener


async def serve_http(
    app: ASGIFramework,
    listener: socket.socket,
    stop: anyio.Event,
    linger_seconds: float = EXIT_LINGER_SECONDS,
    times: Callable[[], ShutdownTimes] = ShutdownTimes,
) -> None:
    """Serve the application on a listening socket until `stop` is set.

    Closing the socket at once would reset connections that the kernel has accepted but the
    server has not, and requests in transit; so new connections are dropped first.

    `hypercorn` can't be cancelled during its shutdown, so a cancellation of this call sets `stop`
    and waits for the graceful shutdown, for at most the shutdown times.

    Parameters
    ----------
    linger_seconds
        How long requests that arrive while the listener closes are still answered.
    times
        Called once the listener is closed.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_shielded, app, listener, stop, linger_seconds, times)
        try:
            await stop.wait()
        finally:
            stop.set()


async def _serve_shielded(
    app: ASGIFramework,
    listener: socket.socket,
    stop: anyio.Event,
    linger_seconds: float,
    times: Callable[[], ShutdownTimes],
) -> None:
    connections = _Connections(app)
    with anyio.CancelScope(shield=True), listener.dup() as duplicate:
        config = _configuration(listener)
        async with anyio.create_task_group() as tasks:

            async def wait_for_stop() -> None:
                await stop.wait()
                # Imported here, since loading `ctypes` would add much to the startup time.
                from stagewalk.common.http.listener_filter import drop_new_connections

                drop_new_connections(duplicate)
                await anyio.sleep(linger_seconds)
                left = times()
                config.graceful_timeout = left.graceful_seconds
                tasks.start_soon(
                    connections.abort_after, left.graceful_seconds + left.flush_seconds
                )

            await hypercorn.asyncio.serve(
                connections, config, shutdown_trigger=wait_for_stop, mode="asgi"
            )
            tasks.cancel_scope.cancel()


class _Connections:
    """An application that keeps track of its connections, to abort them at the end of a shutdown.

    `hypercorn` waits without a limit until a connection that it closes has written its data, which
    never ends if the caller doesn't read.
    """

    def __init__(self, app: ASGIFramework) -> None:
        self._app = app
        self._transports: weakref.WeakSet[asyncio.WriteTransport] = weakref.WeakSet()

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        transport = transport_of(send)
        if transport is not None:
            self._transports.add(transport)
        await self._app(scope, receive, send)

    async def abort_after(self, seconds: float) -> None:
        """Abort all connections that are still open after some time; unwritten data is lost."""
        await anyio.sleep(seconds)
        for transport in list(self._transports):
            transport.abort()


def _configuration(listener: socket.socket) -> Config:
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.backlog = LISTEN_BACKLOG
    config.keep_alive_timeout = SERVER_KEEP_ALIVE_SECONDS
    config.graceful_timeout = GRACEFUL_TIMEOUT_SECONDS
    config.include_server_header = False
    config.h11_max_incomplete_size = MAXIMUM_HEAD_BYTES
    return config
