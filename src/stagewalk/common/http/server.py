"""Serves an ASGI application with `hypercorn`, with a graceful shutdown.

A shutdown first drops new connections (see `listener_filter`), then completes open requests, then
ends the server.
"""

from __future__ import annotations

import logging
import socket

import anyio
import hypercorn.asyncio
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from stagewalk.common.identities import Address

LISTEN_BACKLOG = 1024
"""Connections the kernel accepts ahead of the server."""

MAXIMUM_HEAD_BYTES = 64 * 1024
"""Longest head of a request; well above the header limits that routes publish."""

SERVER_KEEP_ALIVE_SECONDS = 75.0
"""Longer than the usual idle timeout of clients, so that clients close idle connections first."""

GRACEFUL_TIMEOUT_SECONDS = 3.0
"""How long requests under way may go on once the listener is closed."""

EXIT_LINGER_SECONDS = 0.5
"""How long requests that arrive during a shutdown are still answered instead of reset."""

STALLED_WRITE_MILLISECONDS = 30_000
"""After this time the kernel drops a connection whose peer acknowledges no more data."""


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
) -> None:
    """Serve the application on a listening socket until `stop` is set.

    Closing the socket at once would reset connections that the kernel has accepted but the
    server has not, and requests in transit; so new connections are dropped first.

    `hypercorn` can't be cancelled during its shutdown, so a cancellation of this call sets `stop`
    and waits for the graceful shutdown, at most `GRACEFUL_TIMEOUT_SECONDS`.

    Parameters
    ----------
    linger_seconds
        How long requests that arrive while the listener closes are still answered.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_shielded, app, listener, stop, linger_seconds)
        try:
            await stop.wait()
        finally:
            stop.set()


async def _serve_shielded(
    app: ASGIFramework, listener: socket.socket, stop: anyio.Event, linger_seconds: float
) -> None:
    with anyio.CancelScope(shield=True), listener.dup() as duplicate:

        async def wait_for_stop() -> None:
            await stop.wait()
            # Imported here, since loading `ctypes` would add much to the process's startup time.
            from stagewalk.common.http.listener_filter import drop_new_connections

            drop_new_connections(duplicate)
            await anyio.sleep(linger_seconds)

        config = _configuration(listener)
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=wait_for_stop, mode="asgi")


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
