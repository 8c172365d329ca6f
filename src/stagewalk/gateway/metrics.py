"""Metrics of the gateway, on a registry of its own. Units are in the names."""

from __future__ import annotations

import time
from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    disable_created_metrics,
    generate_latest,
)

_LAG_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0)
_LATENCY_BUCKETS = (0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)
_omit_creation_times: Callable[[], None] = disable_created_metrics


class GatewayMetrics:
    """Counters and histograms of one gateway."""

    def __init__(self) -> None:
        _omit_creation_times()
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "stagewalk_forwarded_requests",
            "Forwarded requests, by route kind and outcome (a status, or how it ended without).",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self._latency = Histogram(
            "stagewalk_forwarded_latency_seconds",
            "Time from a forwarded request's head to its answer.",
            ["kind"],
            buckets=_LATENCY_BUCKETS,
            registry=self._registry,
        )

        self.loop_lag = Histogram(
            "stagewalk_loop_lag_seconds",
            "How late the process's event loop came back to a task that slept.",
            buckets=_LAG_BUCKETS,
            registry=self._registry,
        )

    def request_ended(self, kind: str, outcome: str, began: float) -> None:
        """Count a request that began at a steady time."""
        self._requests.labels(kind, outcome).inc()
        self._latency.labels(kind).observe(time.monotonic() - began)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)
