"""ASGI application: routes each exchange to its endpoint.

Owns the paths. An exception in an endpoint is logged and answered as an unknown outcome.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

from stagewalk.common.errors import ErrorKind, ErrorStep, ExecutionStatus, StagewalkError
from stagewalk.common.http.asgi import run_exchange, serve_connection
from stagewalk.common.http.body_budget import BodyBudget
from stagewalk.common.http.exchange import PROBLEM_CONTENT_TYPE, Exchange
from stagewalk.common.http.peer_names import EDGE_PEER
from stagewalk.common.http.problems import render_problem
from stagewalk.common.settings.fields import Limits
from stagewalk.node.edge.completions import CompletionEndpoints
from stagewalk.node.edge.operators import OperatorEndpoints
from stagewalk.node.edge.rollouts import RolloutEndpoints
from stagewalk.node.edge.schemas import invalid

Endpoint = Callable[[Exchange], Awaitable[None]]

RETAINED_ANSWER_PREFIX = "/v1/requests/"


class EdgeApp:
    """Application of the node's HTTP edge."""

    def __init__(
        self,
        completions: CompletionEndpoints,
        rollouts: RolloutEndpoints,
        operators: OperatorEndpoints,
        limits: Limits,
        stopping: Callable[[], bool],
    ) -> None:
        self._stopping = stopping
        self._completions = completions
        self._limits = limits
        self._budget = BodyBudget(limits.buffered_body_bytes)
        self._endpoints: dict[str, dict[str, Endpoint]] = {
            "/v1/completions": {"POST": completions.complete},
            "/v1/models": {"GET": operators.models},
            "/v1/rollouts": {"POST": rollouts.submit},
            "/v1/rollouts/pull": {"POST": rollouts.pull},
            "/healthz": {"GET": operators.health},
            "/readyz": {"GET": operators.readiness},
            "/metrics": {"GET": operators.metrics},
            "/control/status": {"GET": operators.status},
        }

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one ASGI connection."""
        await serve_connection(scope, receive, send, self._serve_exchange)

    async def _serve_exchange(
        self, scope: HTTPScope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        exchange = Exchange(scope, receive, send, self._limits, self._budget, last=self._stopping)
        await run_exchange(
            exchange,
            partial(self._route, exchange),
            partial(_respond_unknown, exchange, "internal error"),
            partial(_respond_unknown, exchange, "the node exits before the call has ended"),
        )

    async def _route(self, exchange: Exchange) -> None:
        if exchange.path.startswith(RETAINED_ANSWER_PREFIX):
            await self._route_retained_answer(exchange)
            return
        methods = self._endpoints.get(exchange.path)
        if methods is None:
            await _respond_error(exchange, 404, f"there is no {exchange.path}")
            return
        endpoint = methods.get(exchange.method)
        if endpoint is None:
            await _respond_error(exchange, 405, f"use {', '.join(methods)}")
            return
        await endpoint(exchange)

    async def _route_retained_answer(self, exchange: Exchange) -> None:
        if exchange.method != "GET":
            await _respond_error(exchange, 405, "use GET")
            return
        request_id = exchange.path.removeprefix(RETAINED_ANSWER_PREFIX)
        await self._completions.retained_answer(exchange, request_id)


async def _respond_error(exchange: Exchange, status: int, detail: str) -> None:
    await exchange.respond(
        status, PROBLEM_CONTENT_TYPE, render_problem(invalid("", detail), status)
    )


async def _respond_unknown(exchange: Exchange, detail: str) -> None:
    failure = StagewalkError(
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorStep.DELIVERY,
        EDGE_PEER,
        detail,
        ExecutionStatus.UNKNOWN,
    )
    await exchange.fail(failure)
