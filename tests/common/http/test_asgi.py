"""Dispatch of ASGI connections, and handling of a handler's exception or cancellation."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from unittest import mock

import anyio
import testtools

from stagewalk.common.http.asgi import (
    WEBSOCKET_POLICY_VIOLATION,
    BrokenResponseError,
    run_exchange,
    serve_connection,
)
from stagewalk.common.http.body_budget import BodyBudget
from stagewalk.common.http.exchange import Exchange
from stagewalk.common.settings.fields import Limits

SCOPE = {
    "type": "http",
    "method": "GET",
    "path": "/x",
    "query_string": b"",
    "http_version": "1.1",
    "headers": [],
}


class AsgiTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sent: list[dict] = []
        self.crashes: list[str] = []
        patched = mock.patch("stagewalk.common.http.asgi.log_event", self.log)
        patched.start()
        self.addCleanup(patched.stop)

    def log(self, event: str, _level: str, **_fields: object) -> None:
        self.crashes.append(event)

    async def send(self, message: dict) -> None:
        self.sent.append(message)

    async def receive(self) -> dict:
        await anyio.sleep_forever()
        raise AssertionError("unreachable")

    def run_handler(
        self, handle: Callable[[Exchange], Awaitable[None]], cancel_after: float | None = None
    ) -> None:
        async def main() -> None:
            limits = Limits(body_bytes=10, buffered_body_bytes=10)
            exchange = Exchange(
                SCOPE, self.receive, self.send, limits, BodyBudget(10), last=lambda: False
            )
            with anyio.move_on_after(cancel_after):
                await run_exchange(
                    exchange,
                    partial(handle, exchange),
                    partial(exchange.start_response, 500, ()),
                    partial(exchange.start_response, 504, ()),
                    cancel_on_disconnect=True,
                )

        anyio.run(main)

    def test_a_websocket_is_closed(self) -> None:
        async def unreached(*_arguments: object) -> None:
            self.fail("served as HTTP")

        anyio.run(serve_connection, {"type": "websocket"}, self.receive, self.send, unreached)
        self.assertEqual([WEBSOCKET_POLICY_VIOLATION], [message["code"] for message in self.sent])

    def test_a_crash_before_the_status_is_logged_and_gets_an_error_response(self) -> None:
        async def crash(_exchange: Exchange) -> None:
            raise ValueError("a fault of the code")

        self.run_handler(crash)
        self.assertEqual(["exchange_failed"], self.crashes)
        self.assertEqual([500], [message["status"] for message in self.sent])

    def test_a_crash_after_the_status_is_only_logged(self) -> None:
        async def crash(exchange: Exchange) -> None:
            await exchange.start_response(200, ())
            raise ValueError("a fault of the code")

        self.run_handler(crash)
        self.assertEqual(["exchange_failed"], self.crashes)
        self.assertEqual([200], [message["status"] for message in self.sent])

    def test_a_broken_response_raises_and_is_not_logged(self) -> None:
        async def abort(_exchange: Exchange) -> None:
            raise BrokenResponseError("r")

        self.assertRaises(BaseExceptionGroup, self.run_handler, abort)
        self.assertEqual([], self.crashes)

    def test_a_handler_that_is_cancelled_before_the_status_still_gets_a_response(self) -> None:
        async def hang(_exchange: Exchange) -> None:
            await anyio.sleep_forever()

        self.run_handler(hang, cancel_after=0.01)
        self.assertEqual(["exchange_stopped"], self.crashes)
        self.assertEqual([504], [message["status"] for message in self.sent])

    def test_nothing_follows_a_status_if_the_handler_is_cancelled(self) -> None:
        async def hang(exchange: Exchange) -> None:
            await exchange.start_response(200, ())
            await anyio.sleep_forever()

        self.run_handler(hang, cancel_after=0.01)
        self.assertEqual([200], [message["status"] for message in self.sent])

    def test_a_caller_that_has_disconnected_gets_no_response(self) -> None:
        async def disconnect() -> dict:
            return {"type": "http.disconnect"}

        async def hang(_exchange: Exchange) -> None:
            await anyio.sleep_forever()

        self.receive = disconnect  # type: ignore[method-assign]
        self.run_handler(hang)
        self.assertEqual([], self.sent)
