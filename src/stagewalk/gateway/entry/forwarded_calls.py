"""Forwards callers' requests to workers and relays the answers.

Sets the deadline of a forwarded request and the status of one that got no answer, and refuses
requests that a stop would cut off. `forwarding` makes the attempts and retries.
"""

from __future__ import annotations

from collections.abc import Callable

from stagewalk.common.http.asgi import BrokenResponseError
from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.dialect import CallerInterface
from stagewalk.gateway.entry.caller_authentication import Caller
from stagewalk.gateway.entry.exchange import OpaqueExchange
from stagewalk.gateway.entry.replies import reply_body_refused, reply_error
from stagewalk.gateway.forwarding.forwarder import Forwarder
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.policy import Ending, Unanswered
from stagewalk.gateway.forwarding.route_durations import RouteDurations
from stagewalk.gateway.forwarding.stream_forwarder import StreamForwarder
from stagewalk.gateway.metrics import GatewayMetrics
from stagewalk.gateway.ports.workers import StreamHead, StreamPart
from stagewalk.gateway.routes.route import Route
from stagewalk.gateway.routes.table import RouteTable
from stagewalk.gateway.stop_schedule import StopSchedule

STOPPING_RETRY_AFTER_SECONDS = 0.05
"""Retry delay for a request that a stopping node refuses: another node can serve it at once."""

UNANSWERED_STATUS = {
    Ending.NOT_RUN: 503,
    Ending.UNKNOWN: 502,
    Ending.DEADLINE_EXCEEDED: 504,
}
UNANSWERED_DETAIL = {
    Ending.NOT_RUN: "no worker ran the request",
    Ending.UNKNOWN: "a worker may have run the request",
    Ending.DEADLINE_EXCEEDED: "the request's time is over",
}
REFUSED_BY_STOP = Unanswered(Ending.NOT_RUN, STOPPING_RETRY_AFTER_SECONDS)


class ForwardingEndpoints:
    """Endpoints of routes that workers answer, with a whole response or a stream.

    Parameters
    ----------
    stop
        Returns the schedule of the requested stop, None before one is requested.
    """

    def __init__(
        self,
        routes: RouteTable,
        forwarder: Forwarder,
        streams: StreamForwarder,
        metrics: GatewayMetrics,
        caller_interface: CallerInterface,
        *,
        stop: Callable[[], StopSchedule | None] = lambda: None,
    ) -> None:
        self._routes = routes
        self._forwarder = forwarder
        self._streams = streams
        self._metrics = metrics
        self._caller_interface = caller_interface
        self._stop = stop
        self._durations = RouteDurations()

    async def forward(self, exchange: OpaqueExchange, caller: Caller, route: Route) -> None:
        """Forward a request and relay its whole answer."""
        began = steady_seconds()
        deadline_at = began + self._timeout_seconds(exchange, route)
        request = await self._accept(exchange, caller, route, began, deadline_at)
        if request is None:
            return
        outcome = await self._forwarder.forward(request, route, deadline_at)
        if outcome.is_error():
            await self._reply_unanswered(exchange, route, outcome.error, began)
            return
        answer = outcome.ok
        self._record_answered(route, answer.status, began)
        await exchange.relay(answer.status, answer.headers, answer.body, request.request_id)

    async def forward_stream(self, exchange: OpaqueExchange, caller: Caller, route: Route) -> None:
        """Forward a request and relay the answer's events as they arrive.

        Raises
        ------
        BrokenResponseError
            The stream had started and can't be completed.
        """
        began = steady_seconds()
        deadline_at = began + self._timeout_seconds(exchange, route)
        request = await self._accept(exchange, caller, route, began, deadline_at)
        if request is None:
            return

        async def relay_part(part: StreamPart) -> None:
            if isinstance(part, StreamHead):
                await exchange.begin_stream(part.headers)
            else:
                await exchange.write(part.raw)

        outcome = await self._streams.forward(
            request,
            route,
            deadline_at,
            self._last_event_number(exchange),
            relay_part,
            on_cut_off=exchange.abort,
        )
        if outcome.is_error():
            if exchange.started:
                self._metrics.request_ended(route.kind.value, outcome.error.ending.value, began)
                raise BrokenResponseError(route.name)
            await self._reply_unanswered(exchange, route, outcome.error, began)
            return
        ended = outcome.ok
        self._record_answered(route, ended.status, began)
        if exchange.started:
            await exchange.write(b"", last=True)
        else:
            await exchange.relay(ended.status, ended.headers, ended.body, request.request_id)

    async def _accept(
        self,
        exchange: OpaqueExchange,
        caller: Caller,
        route: Route,
        began: float,
        deadline_at: float,
    ) -> InboundRequest | None:
        """Return the whole request; None if it was refused and a reply was sent."""
        if self._is_served(exchange, route, began, deadline_at):
            return await self._read_request(exchange, caller)
        await self._reply_unanswered(exchange, route, REFUSED_BY_STOP, began)
        return None

    async def _read_request(
        self, exchange: OpaqueExchange, caller: Caller
    ) -> InboundRequest | None:
        """Return the whole request; None if its body was refused and an error was sent."""
        request_id = exchange.header(self._caller_interface.request_id) or ""
        body = await exchange.body()
        if body.is_error():
            await reply_body_refused(exchange, body.error, request_id)
            return None
        return InboundRequest(
            request_id=request_id,
            method=exchange.method,
            target=exchange.target,
            headers=exchange.end_to_end_headers(),
            body=body.ok,
            tenant=caller.tenant,
            priority=self._routes.priority_of(caller.tenant),
        )

    def _last_event_number(self, exchange: OpaqueExchange) -> int:
        """Return the number of the event to resume after, 0 for a new stream."""
        resumed = exchange.header(self._caller_interface.last_event) or ""
        return int(resumed) if resumed.isdecimal() else 0

    def _timeout_seconds(self, exchange: OpaqueExchange, route: Route) -> float:
        """Return the route's timeout, or the caller's deadline if that is sooner."""
        text = exchange.header(self._caller_interface.deadline_milliseconds) or ""
        if text.isdecimal():
            return min(route.timeout_seconds, int(text) / 1000.0)
        return route.timeout_seconds

    def _is_served(
        self, exchange: OpaqueExchange, route: Route, arrived_at: float, deadline_at: float
    ) -> bool:
        """Whether a request is served, which a requested stop may prevent; logs a refusal."""
        stop, longest = self._stop(), self._durations.longest(route.name)
        if stop is None or stop.serves(arrived_at, deadline_at, longest):
            return True
        log_event(
            "request_rejected",
            "warning",
            reason="stopping",
            request=exchange.header(self._caller_interface.request_id) or "",
            route=route.name,
            deadline_seconds=deadline_at - arrived_at,
            longest_seconds=longest,
            allowed_seconds=stop.times.requests_end_at - arrived_at,
            retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS,
        )
        return False

    def _record_answered(self, route: Route, status: int, began: float) -> None:
        self._metrics.request_ended(route.kind.value, str(status), began)
        now = steady_seconds()
        self._durations.record(route.name, now - began, now)

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
