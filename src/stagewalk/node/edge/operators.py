"""The operators' endpoints: health, readiness, metrics, status and the list of models.

Holds no state: reads the core's status and the metrics at each call.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stagewalk.common.http.exchange import JSON_CONTENT_TYPE, Exchange
from stagewalk.node.edge.schemas import ModelList, ModelRow
from stagewalk.node.metrics import NodeMetrics
from stagewalk.node.node_core import NodeStatus

TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class OperatorEndpoints:
    """`GET /healthz`, `/readyz`, `/metrics`, `/control/status` and `/v1/models`."""

    def __init__(
        self,
        status: Callable[[], NodeStatus],
        stopping: Callable[[], bool],
        metrics: NodeMetrics,
        queue_length: Callable[[], int],
    ) -> None:
        self._status = status
        self._stopping = stopping
        self._metrics = metrics
        self._queue_length = queue_length

    async def health(self, exchange: Exchange) -> None:
        """Answer 200 while the process serves requests."""
        await exchange.respond(200, TEXT_CONTENT_TYPE, b"ok\n")

    async def readiness(self, exchange: Exchange) -> None:
        """Answer 200 if the node takes new calls, else 503."""
        status = self._status()
        if self._stopping() or status.stopping:
            await exchange.respond(503, TEXT_CONTENT_TYPE, b"stopping\n")
        elif not status.ready:
            await exchange.respond(503, TEXT_CONTENT_TYPE, b"not ready\n")
        else:
            await exchange.respond(200, TEXT_CONTENT_TYPE, b"ready\n")

    async def metrics(self, exchange: Exchange) -> None:
        """Answer with all metrics."""
        self._metrics.set_status(self._status(), self._stopping())
        self._metrics.core.queue_length.set(self._queue_length())
        await exchange.respond(200, METRICS_CONTENT_TYPE, self._metrics.render())

    async def status(self, exchange: Exchange) -> None:
        """Answer with the fields of `NodeStatus`."""
        await exchange.respond(200, JSON_CONTENT_TYPE, msgspec.json.encode(self._status()))

    async def models(self, exchange: Exchange) -> None:
        """Answer with the models of all tenants."""
        rows = [ModelRow(model) for model in sorted(self._status().models)]
        await exchange.respond(200, JSON_CONTENT_TYPE, msgspec.json.encode(ModelList(rows)))
