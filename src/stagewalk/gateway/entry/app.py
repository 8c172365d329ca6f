"""The gateway's ASGI application: dispatches its own calls by path, all others by route.

Applies the published limits to callers' requests and dispatches each request to the endpoint class
of its kind.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

from stagewalk.common.http.asgi import run_exchange, serve_connection
from stagewalk.common.http.body_budget import BodyBudget, ByteBudget
from stagewalk.common.settings.fields import Limits
from stagewalk.gateway.dialect import CallerInterface
from stagewalk.gateway.eligibility.retry_after import DEFAULT_RETRY_AFTER_SECONDS
from stagewalk.gateway.entry.batch_calls import BatchEndpoints
from stagewalk.gateway.entry.caller_authentication import Caller, CallerAuthenticator
from stagewalk.gateway.entry.directory_calls import DirectoryEndpoint
from stagewalk.gateway.entry.exchange import OpaqueExchange
from stagewalk.gateway.entry.forwarded_calls import (
    STOPPING_RETRY_AFTER_SECONDS,
    ForwardingEndpoints,
)
from stagewalk.gateway.entry.quarantine_calls import QuarantineEndpoints
from stagewalk.gateway.entry.replies import reply_empty, reply_error
from stagewalk.gateway.held_memory.bodies import BodyReservation
from stagewalk.gateway.held_memory.readers import ResponseReaders
from stagewalk.gateway.metrics import GatewayMetrics
from stagewalk.gateway.routes.route import CallerLimits, Route, RouteKind
from stagewalk.gateway.routes.table import RouteTable

Endpoint = Callable[[OpaqueExchange], Awaitable[None]]

METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
"""The Prometheus text format."""

BUFFERED_BODY_BYTES = 96 * 1024 * 1024
"""Bound on request bodies being received at once, over all callers, if no memory limit is set."""


@dataclass(frozen=True, slots=True)
class Endpoints:
    """The endpoints, one for each kind of call."""

    forwarded: ForwardingEndpoints
    batches: BatchEndpoints
    directory: DirectoryEndpoint
    quarantine: QuarantineEndpoints


class GatewayApp:
    """ASGI application shared by all of the gateway's listeners.

    Parameters
    ----------
    ready
        Whether this node has the state it needs to serve.
    stopping
        Whether a stop was requested: each response then closes its connection.
    readers
        Charges bytes buffered for callers to the node's memory budget; None if no memory limit is
        set.
    refresh
        Refreshes the views that a caller's request is served from, if they are stale.
    """

    def __init__(
        self,
        *,
        routes: RouteTable,
        endpoints: Endpoints,
        authenticator: CallerAuthenticator,
        metrics: GatewayMetrics,
        caller_interface: CallerInterface,
        ready: Callable[[], bool],
        stopping: Callable[[], bool],
        refresh: Callable[[], Awaitable[None]],
        readers: ResponseReaders | None = None,
    ) -> None:
        self._routes = routes
        self._endpoints = endpoints
        self._authenticator = authenticator
        self._metrics = metrics
        self._caller_interface = caller_interface
        self._ready = ready
        self._stopping = stopping
        self._refresh = refresh
        self._batch_prefixes = (caller_interface.batches_prefix, caller_interface.items_prefix)
        self._readers = readers
        self._body_budget = BodyBudget(BUFFERED_BODY_BYTES)
        self._endpoints_by_path: dict[str, Endpoint] = {
            caller_interface.ready_path: self._readiness,
            caller_interface.resolve_path: endpoints.directory.resolve,
            METRICS_PATH: self._show_metrics,
        }

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one ASGI connection."""
        await serve_connection(scope, receive, send, self._serve_exchange)

    async def _serve_exchange(
        self, scope: HTTPScope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        if self._readers is None:
            await self._run_exchange(scope, receive, send, self._body_budget)
            return
        held = BodyReservation(self._readers.budget)
        try:
            await self._run_exchange(scope, receive, send, held)
        finally:
            held.close()

    async def _run_exchange(
        self,
        scope: HTTPScope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
        budget: ByteBudget,
    ) -> None:
        published = self._published_limits()
        limits = Limits(body_bytes=published.body_bytes, buffered_body_bytes=BUFFERED_BODY_BYTES)
        exchange = OpaqueExchange(
            scope, receive, send, limits, budget, last=self._stopping, readers=self._readers
        )
        await run_exchange(
            exchange,
            partial(self._serve_within_limits, exchange, published),
            partial(reply_error, exchange, 500, "internal error"),
            partial(_reply_stopped, exchange),
            cancel_on_disconnect=True,
        )

    def _published_limits(self) -> CallerLimits:
        """Return the published limits, or the defaults until a configuration was read."""
        configuration = self._routes.configuration
        return CallerLimits() if configuration is None else configuration.limits

    async def _serve_within_limits(self, exchange: OpaqueExchange, limits: CallerLimits) -> None:
        if exchange.head_bytes > limits.header_bytes:
            await reply_error(exchange, 431, "the head is larger than is published")
        else:
            await self._serve(exchange)

    async def _serve(self, exchange: OpaqueExchange) -> None:
        fixed = self._endpoints_by_path.get(exchange.path)
        if fixed is not None:
            await fixed(exchange)
            return
        if self._endpoints.quarantine.serves(exchange):
            await self._endpoints.quarantine.serve(exchange)
            return
        await self._refresh()
        if self._routes.configuration is None:
            await reply_error(
                exchange, 503, "no configuration is known yet", DEFAULT_RETRY_AFTER_SECONDS
            )
        elif exchange.path.startswith(self._batch_prefixes):
            caller = await self._authenticator.admit_to_batches(exchange)
            if caller is not None:
                await self._serve_batch(exchange, caller)
        else:
            call = await self._authenticator.admit_to_route(exchange)
            if call is not None:
                await self._serve_route(exchange, call.caller, call.route)

    async def _serve_batch(self, exchange: OpaqueExchange, caller: Caller) -> None:
        path, prefix = exchange.path, self._caller_interface.batches_prefix
        batches = self._endpoints.batches
        if not path.startswith(prefix):
            item_of = path.removeprefix(self._caller_interface.items_prefix)
            await batches.item(exchange, item_of, caller)
        elif exchange.method == "DELETE":
            await batches.end(exchange, path.removeprefix(prefix), caller)
        else:
            await batches.results(exchange, path.removeprefix(prefix), caller)

    async def _serve_route(self, exchange: OpaqueExchange, caller: Caller, route: Route) -> None:
        if route.kind is RouteKind.BATCH:
            await self._endpoints.batches.submit(exchange, caller)
        elif route.kind is RouteKind.STREAM:
            await self._endpoints.forwarded.forward_stream(exchange, caller, route)
        else:
            await self._endpoints.forwarded.forward(exchange, caller, route)

    async def _readiness(self, exchange: OpaqueExchange) -> None:
        if self._ready() and not self._stopping():
            await reply_empty(exchange, 200)
        else:
            await reply_error(exchange, 503, "starting or stopping")

    async def _show_metrics(self, exchange: OpaqueExchange) -> None:
        await exchange.respond(200, METRICS_CONTENT_TYPE, self._metrics.render())


async def _reply_stopped(exchange: OpaqueExchange) -> None:
    """Reply to a request that is unanswered when the process exits."""
    if exchange.received_whole:
        await reply_error(exchange, 504, "the node stops, and the outcome is unknown")
    else:
        detail = "the node stops, and the request has not arrived whole"
        await reply_error(exchange, 503, detail, STOPPING_RETRY_AFTER_SECONDS)
