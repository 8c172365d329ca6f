"""The lifespan protocol of ASGI, for applications that do nothing on startup and shutdown."""

from __future__ import annotations

from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable


async def serve_lifespan(receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
    """Acknowledge startup and shutdown."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
