"""Prometheus metrics of the gateway, on a separate registry. Units are in the names.

Owns names, help texts and buckets of the metrics that are updated by events. Metrics that are read
at each scrape are in `state_metrics`.
"""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)

from stagewalk.common.logs.budget import LogBudget
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.state_metrics import GatewayState, StateCollector

_omit_creation_times: Callable[[], None] = disable_created_metrics

# Upper bounds of histogram buckets, in seconds.
_LAG_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0)
_CALL_BUCKETS = (0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0)
_VIEW_AGE_BUCKETS = (0.1, 0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 6.0)
_WAIT_BUCKETS = (0.0, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
_LATENCY_BUCKETS = (0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class GatewayMetrics:
    """Counters and histograms of one gateway."""

    def __init__(self, state: Callable[[], GatewayState], budget: LogBudget) -> None:
        _omit_creation_times()
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._registry.register(StateCollector(state, budget))
        self._log_calls = Histogram(
            "stagewalk_log_call_seconds",
            "Calls of the log, by operation and outcome, without the time a read offers to wait.",
            ["operation", "outcome"],
            buckets=_CALL_BUCKETS,
            registry=self._registry,
        )
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
        self._denials = Counter(
            "stagewalk_send_denials",
            "Requests that might not be sent to the worker chosen for them, by reason.",
            ["reason"],
            registry=self._registry,
        )
        self._cut_offs = Counter(
            "stagewalk_readers_cut_off",
            "Callers that were cut off as they read too slowly, by the bound.",
            ["reason"],
            registry=self._registry,
        )
        self._rejections = Counter(
            "stagewalk_admission_rejections",
            "Requests refused before any worker got them, by reason.",
            ["reason"],
            registry=self._registry,
        )
        self._raised = Counter(
            "stagewalk_attempts_raised",
            "Attempts at items and score calls that ended with an exception of this process.",
            registry=self._registry,
        )
        self._admission_waits = Histogram(
            "stagewalk_admission_wait_seconds",
            "How long admitted requests waited for a place, 0 if they got one at once.",
            buckets=_WAIT_BUCKETS,
            registry=self._registry,
        )
        self._loop_lag = Histogram(
            "stagewalk_loop_lag_seconds",
            "How late the process's event loop came back to a task that slept.",
            buckets=_LAG_BUCKETS,
            registry=self._registry,
        )
        self._item_view_age = Histogram(
            "stagewalk_item_view_age_seconds",
            "Age of the view by which a batch was open, as its items were started.",
            buckets=_VIEW_AGE_BUCKETS,
            registry=self._registry,
        )

    def attempt_raised(self) -> None:
        """Count an attempt at an item or a score call that ended with an exception."""
        self._raised.inc()

    def log_called(self, operation: str, outcome: str, seconds: float) -> None:
        """Record the duration of a log call."""
        self._log_calls.labels(operation, outcome).observe(seconds)

    def request_ended(self, kind: str, outcome: str, began: float) -> None:
        """Count a request, and record its latency since a time of the steady clock."""
        self._requests.labels(kind, outcome).inc()
        self._latency.labels(kind).observe(steady_seconds() - began)

    def send_denied(self, denial: Denial) -> None:
        """Count a request that might not be sent to its worker."""
        self._denials.labels(denial.value).inc()

    def reader_cut_off(self, reason: str) -> None:
        """Count a caller that was cut off for reading too slowly."""
        self._cut_offs.labels(reason).inc()

    def request_admitted(self, wait_seconds: float) -> None:
        """Record how long an admitted request waited."""
        self._admission_waits.observe(wait_seconds)

    def request_rejected(self, reason: str) -> None:
        """Count a request that admission rejected."""
        self._rejections.labels(reason).inc()

    def loop_woke_late(self, seconds: float) -> None:
        """Record how late the event loop woke a task that slept."""
        self._loop_lag.observe(seconds)

    def item_started(self, view_age_seconds: float) -> None:
        """Record the age of the view used to start an item."""
        self._item_view_age.observe(view_age_seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
