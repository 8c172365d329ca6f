"""The gateway's ASGI application: own calls by path, everything else by routes."""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable

import anyio
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

from stagewalk.common.http.body_budget import BodyBudget
from stagewalk.common.http.lifespan import serve_lifespan
from stagewalk.common.logs.lines import log_event
from stagewalk.common.settings.fields import Limits
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.dialect import Dialect
from stagewalk.gateway.directory.caller_subset import CallerPlace
from stagewalk.gateway.eligibility.retry_after import RETRY_AFTER_SECONDS
from stagewalk.gateway.entry.batch_calls import BatchCalls
from stagewalk.gateway.entry.caller_gate import Caller, CallerGate
from stagewalk.gateway.entry.exchange import OpaqueExchange
from stagewalk.gateway.entry.held_requests import HeldRequests
from stagewalk.gateway.entry.replies import reply_empty, reply_error, reply_json
from stagewalk.gateway.forwarding.forwarder import Forwarder
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.policy import Ending, Unanswered
from stagewalk.gateway.forwarding.stream_forwarder import StreamForwarder
from stagewalk.gateway.metrics import GatewayMetrics
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.ports.workers import StreamHead, StreamPart
from stagewalk.gateway.routes.route import CallerLimits, Route, RouteKind
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.zones.evacuations import Evacuations

Endpoint = Callable[[OpaqueExchange], Awaitable[None]]

METRICS_PATH = "/metrics"
MOST_ADDRESSES = 64
SECONDS_TO_LIVE = 1.0
"""How long callers may keep the directory's answer."""

UNANSWERED_STATUS = {
    Ending.NOT_RUN: 503,
    Ending.UNKNOWN: 502,
    Ending.OUT_OF_TIME: 504,
}
UNANSWERED_DETAIL = {
    Ending.NOT_RUN: "no worker ran the request",
    Ending.UNKNOWN: "a worker may have run the request",
    Ending.OUT_OF_TIME: "the request's time is over",
}


class BrokenStreamError(Exception):
    """A stream that has begun can't be ended whole: its connection must break."""


class GatewayApp:
    """Application of all the gateway's listeners."""

    def __init__(
        self,
        *,
        routes: RouteTable,
        forwarder: Forwarder,
        streams: StreamForwarder,
        batches: BatchCalls,
        nodes: NodeService,
        dialect: Dialect,
        buffered_body_bytes: int,
        metrics: GatewayMetrics,
        ready: Callable[[], bool],
        stopping: Callable[[], bool],
        refresh: Callable[[], Awaitable[None]],
        gate: CallerGate,
        evacuations: Evacuations,
        held: HeldRequests,
    ) -> None:
        self._routes = routes
        self._forwarder = forwarder
        self._streams = streams
        self._batches = batches
        self._nodes = nodes
        self._dialect = dialect
        self._spelling = dialect.callers
        self._batch_prefixes = (self._spelling.batches_prefix, self._spelling.items_prefix)
        self._buffered_body_bytes = buffered_body_bytes
        self._budget = BodyBudget(buffered_body_bytes)
        self._metrics = metrics
        self._ready = ready
        self._stopping = stopping
        self._refresh = refresh
        self._gate = gate
        self._evacuations = evacuations
        self._held = held
        self._fixed: dict[str, Endpoint] = {
            dialect.callers.ready_path: self._readiness,
            dialect.callers.resolve_path: self._resolve,
            METRICS_PATH: self._show_metrics,
        }

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_exchange(scope, receive, send)
        else:
            await send({"type": "websocket.close", "code": 1008, "reason": None})

    async def _serve_exchange(
        self, scope: HTTPScope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        published = self._published_limits()
        limits = Limits(
            body_bytes=published.body_bytes, buffered_body_bytes=self._buffered_body_bytes
        )
        exchange = OpaqueExchange(scope, receive, send, limits, self._budget, last=self._stopping)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(exchange.watch)
            exchange.on_disconnect(tasks.cancel_scope.cancel)
            try:
                if exchange.head_bytes > published.header_bytes:
                    await reply_error(exchange, 431, "the head is larger than is published")
                else:
                    await self._serve(exchange)
            except BrokenStreamError:
                raise
            except Exception as error:
                await _report_crash(exchange, error)
            finally:
                exchange.release_body()
            tasks.cancel_scope.cancel()

    def _published_limits(self) -> CallerLimits:
        """Return what callers may send now: as published, or the defaults before that."""
        configuration = self._routes.configuration
        return CallerLimits() if configuration is None else configuration.limits

    async def _serve(self, exchange: OpaqueExchange) -> None:
        fixed = self._fixed.get(exchange.path)
        if fixed is not None:
            await fixed(exchange)
            return
        if self._held.takes(exchange):
            await self._held.serve(exchange)
            return
        await self._refresh()
        if self._routes.configuration is None:
            await reply_error(exchange, 503, "no configuration is known yet", RETRY_AFTER_SECONDS)
        elif exchange.path.startswith(self._batch_prefixes):
            caller = await self._gate.admit_to_batches(exchange)
            if caller is not None:
                await self._serve_batch(exchange, caller)
        else:
            admitted = await self._gate.admit_to_route(exchange)
            if admitted is not None:
                await self._serve_route(exchange, *admitted)

    async def _serve_batch(self, exchange: OpaqueExchange, caller: Caller) -> None:
        path = exchange.path
        batches = self._spelling.batches_prefix
        if not path.startswith(batches):
            item_of = path.removeprefix(self._spelling.items_prefix)
            await self._batches.item(exchange, item_of, caller)
        elif exchange.method == "DELETE":
            await self._batches.end(exchange, path.removeprefix(batches), caller)
        else:
            await self._batches.results(exchange, path.removeprefix(batches), caller)

    async def _serve_route(self, exchange: OpaqueExchange, caller: Caller, route: Route) -> None:
        if route.kind is RouteKind.BATCH:
            await self._batches.submit(exchange, caller)
        elif route.kind is RouteKind.STREAM:
            await self._forward_stream(exchange, caller, route)
        else:
            await self._forward(exchange, caller, route)

    async def _forward(self, exchange: OpaqueExchange, caller: Caller, route: Route) -> None:
        began = steady_seconds()
        body = await exchange.body()
        if body.is_error():
            await reply_error(exchange, 413, body.error.detail)
            return
        request = self._inbound(exchange, caller, body.ok)
        deadline_at = began + self._allowed_seconds(exchange, route)
        outcome = await self._forwarder.forward(request, route, deadline_at)
        if outcome.is_ok():
            answer = outcome.ok
            self._metrics.request_ended(route.kind.value, str(answer.status), began)
            await exchange.relay(answer.status, answer.headers, answer.body)
            return
        await self._reply_unanswered(exchange, route, outcome.error, began)

    async def _forward_stream(self, exchange: OpaqueExchange, caller: Caller, route: Route) -> None:
        began = steady_seconds()
        body = await exchange.body()
        if body.is_error():
            await reply_error(exchange, 413, body.error.detail)
            return

        async def consume(part: StreamPart) -> None:
            if isinstance(part, StreamHead):
                await exchange.begin_stream(part.headers)
            else:
                await exchange.write(part.raw)

        resumed = exchange.header(self._spelling.last_event) or ""
        outcome = await self._streams.forward(
            self._inbound(exchange, caller, body.ok),
            route,
            began + self._allowed_seconds(exchange, route),
            int(resumed) if resumed.isdecimal() else 0,
            consume,
        )
        if outcome.is_error():
            if exchange.started:
                raise BrokenStreamError(route.name)
            await self._reply_unanswered(exchange, route, outcome.error, began)
            return
        ended = outcome.ok
        self._metrics.request_ended(route.kind.value, str(ended.status), began)
        if exchange.started:
            await exchange.write(b"", last=True)
        else:
            await exchange.relay(ended.status, ended.headers, ended.body)

    def _inbound(self, exchange: OpaqueExchange, caller: Caller, body: bytes) -> InboundRequest:
        return InboundRequest(
            request_id=exchange.header(self._spelling.request_id) or "",
            method=exchange.method,
            target=exchange.target,
            headers=exchange.end_to_end_headers(),
            body=body,
            tenant=caller.tenant,
            priority=self._routes.priority_of(caller.tenant),
        )

    async def _reply_unanswered(
        self, exchange: OpaqueExchange, route: Route, unanswered: Unanswered, began: float
    ) -> None:
        ending = unanswered.ending
        self._metrics.request_ended(route.kind.value, ending.value, began)
        await reply_error(
            exchange,
            UNANSWERED_STATUS[ending],
            UNANSWERED_DETAIL[ending],
            unanswered.retry_after_seconds,
        )

    def _allowed_seconds(self, exchange: OpaqueExchange, route: Route) -> float:
        text = exchange.header(self._spelling.deadline_milliseconds) or ""
        if text.isdecimal():
            return min(route.timeout_seconds, int(text) / 1000.0)
        return route.timeout_seconds

    async def _readiness(self, exchange: OpaqueExchange) -> None:
        if self._ready() and not self._stopping():
            await reply_empty(exchange, 200)
        else:
            await reply_error(exchange, 503, "starting or stopping")

    async def _resolve(self, exchange: OpaqueExchange) -> None:
        caller = CallerPlace(
            exchange.query.get("region", ""),
            exchange.query.get("zone", ""),
            self._evacuations.zones,
            self._routes.homes_of(exchange.query.get("name", "")),
        )
        await self._nodes.refresh()
        addresses = self._nodes.serving_nodes(caller, MOST_ADDRESSES)
        if not addresses:
            known = self._nodes.known
            region, zone = caller.region, caller.zone
            log_event("lookup_refused", "warning", region=region, zone=zone, nodes_known=known)
            await reply_error(exchange, 503, "no node is known to serve")
            return
        await reply_json(exchange, self._dialect.addresses(addresses, SECONDS_TO_LIVE))

    async def _show_metrics(self, exchange: OpaqueExchange) -> None:
        await exchange.respond(200, "text/plain; version=0.0.4", self._metrics.render())


async def _report_crash(exchange: OpaqueExchange, error: Exception) -> None:
    trace = "".join(traceback.format_exception(error))
    log_event("exchange_failed", "error", path=exchange.path, trace=trace)
    if not exchange.started:
        await reply_error(exchange, 500, "internal error")
