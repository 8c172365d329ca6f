"""A shutdown ends in its time, whatever callers and handlers do."""

from __future__ import annotations

import socket

import anyio
import testtools
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope

from stagewalk.common.http.lifespan import serve_lifespan
from stagewalk.common.http.server import ShutdownTimes, open_listener, serve_http
from tests.node.running_node import free_address

TIMES = ShutdownTimes(graceful_seconds=0.5, flush_seconds=0.2)
EXIT_SECONDS = 0.5
"""Time for the server itself, beyond the shutdown times."""

ENDLESS_BYTES = 1_000_000


class ShutdownTests(testtools.TestCase):
    def test_a_caller_that_reads_nothing_does_not_delay_the_end_of_the_server(self) -> None:
        async def app(scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
            if scope["type"] == "lifespan":
                await serve_lifespan(receive, send)
                return
            await send({"type": "http.response.start", "status": 200, "headers": []})
            while True:
                body = b"." * ENDLESS_BYTES
                await send({"type": "http.response.body", "body": body, "more_body": True})

        async def main() -> None:
            address, stop = free_address(), anyio.Event()
            with socket.socket() as caller:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        serve_http, app, open_listener(address), stop, 0.0, lambda: TIMES
                    )
                    await anyio.sleep(0.1)
                    caller.connect((address.host, address.port))
                    caller.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
                    await anyio.sleep(0.3)
                    stop.set()
                    began = anyio.current_time()
                took = anyio.current_time() - began
            self.assertLess(took, TIMES.graceful_seconds + TIMES.flush_seconds + EXIT_SECONDS)

        anyio.run(main)
