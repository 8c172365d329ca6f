"""The transport of a response is found in the installed version of the server."""

from __future__ import annotations

import asyncio

import anyio
import testtools
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope

from stagewalk.common.http.lifespan import serve_lifespan
from stagewalk.common.http.server import open_listener, serve_http
from stagewalk.common.http.server_connection import transport_of
from tests.node.running_node import free_address


class ServerConnectionTests(testtools.TestCase):
    def test_the_transport_is_connected_to_the_caller(self) -> None:
        found: list[asyncio.WriteTransport | None] = []

        async def app(scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
            if scope["type"] == "lifespan":
                await serve_lifespan(receive, send)
                return
            found.append(transport_of(send))
            await send({"type": "http.response.start", "status": 204, "headers": []})
            await send({"type": "http.response.body", "body": b"", "more_body": False})

        async def main() -> None:
            address, stop = free_address(), anyio.Event()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve_http, app, open_listener(address), stop, 0.0)
                async with await anyio.connect_tcp(address.host, address.port) as stream:
                    await stream.send(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
                    await stream.receive()
                    local_address = stream.extra(anyio.abc.SocketAttribute.local_address)
                    transport = found[0]
                    assert transport is not None
                    self.assertEqual(local_address, transport.get_extra_info("peername"))
                stop.set()

        anyio.run(main)

    def test_no_transport_is_found_in_another_server(self) -> None:
        async def send(_message: object) -> None:
            pass

        self.assertIsNone(transport_of(send))
