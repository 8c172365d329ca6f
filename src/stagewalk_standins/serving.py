"""HTTP serving with hypercorn and graceful shutdown on signals."""

from __future__ import annotations

import signal

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from stagewalk_standins.web import Application

GRACEFUL_TIMEOUT_SECONDS = 3.0
SERVER_KEEP_ALIVE_SECONDS = 75.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def set_on_stop_signal(stop: anyio.Event) -> None:
    """Set the event on the first stop signal."""
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for _ in signals:
            stop.set()
            return


async def serve_until(application: Application, listen: str, stop: anyio.Event) -> None:
    """Serve on `listen` (`IP:PORT`) until `stop` is set, then shut down gracefully."""
    config = Config()
    config.bind = [listen]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = GRACEFUL_TIMEOUT_SECONDS
    config.keep_alive_timeout = SERVER_KEEP_ALIVE_SECONDS
    await serve(application, config, shutdown_trigger=stop.wait)  # type: ignore[arg-type]


async def serve_until_signal(application: Application, listen: str) -> None:
    """Serve until a stop signal."""
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(set_on_stop_signal, stop)
        await serve_until(application, listen, stop)
        group.cancel_scope.cancel()
