"""Metrics of the gateway, on a registry of its own. Units are in the names.

Owns names, help texts and buckets. Gauges are read from `GatewayState` when they are scraped.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from stagewalk.common.logs.budget import LogBudget
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batches.place_demand import ClaimantPlaces
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import ConnectionReason, SendPurpose
from stagewalk.gateway.workers.worker import ReportKind

_omit_creation_times: Callable[[], None] = disable_created_metrics

# Upper bounds of histogram buckets, in seconds.
_LAG_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0)
_CALL_BUCKETS = (0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0)
_VIEW_AGE_BUCKETS = (0.1, 0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 6.0)
_WAIT_BUCKETS = (0.0, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
_LATENCY_BUCKETS = (0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


@dataclass(frozen=True, slots=True)
class GatewayState:
    """State of a gateway at one moment, for its gauges.

    Attributes
    ----------
    view_ages
        By followed partition, seconds since its view was complete.
    claimant_places
        Engines' places of each trainer whose items run here.
    engine_tokens
        By engine with runs of this node, the most tokens that it is expected to hold.
    opened_connections
        To workers, by purpose and reason.
    """

    configuration: int
    serving_nodes: int
    workers: int
    load_reports: dict[ReportKind, int]
    holds_replica: bool
    listed: bool
    holds_lease: bool
    running_batches: int
    running_attempts: int
    awaited_scores: int
    evacuated_zones: int
    cold_leases: int
    worker_ends: int
    requests_held_back: int
    held_bytes: int
    peak_held_bytes: int
    requests_waiting: int
    view_ages: dict[str, float]
    engine_tokens: dict[str, int]
    opened_connections: Mapping[tuple[SendPurpose, ConnectionReason], int]
    claimant_places: Sequence[ClaimantPlaces] = ()


class _StateCollector(Collector):
    """Reads gauges and event counts when they are scraped; nothing is updated in between."""

    def __init__(self, state: Callable[[], GatewayState], budget: LogBudget) -> None:
        self._state = state
        self._budget = budget

    def describe(self) -> Iterable[Metric]:
        """Return nothing: names are known once they are collected."""
        return ()

    def collect(self) -> Iterable[Metric]:
        """Return all gauges, and the events counted by the logs' budget."""
        state = self._state()
        for name, text, value in (
            ("configuration_version", "Configuration in force.", state.configuration),
            ("serving_nodes", "Nodes known to serve.", state.serving_nodes),
            ("workers", "Workers listed.", state.workers),
            ("ledger_replica", "1 while this node follows the batches.", state.holds_replica),
            ("listed", "1 while callers are sent to this node.", state.listed),
            ("orders_lease", "1 while this node holds the lease on orders.", state.holds_lease),
            ("running_batches", "Batches run here.", state.running_batches),
            ("running_attempts", "Attempts at items under way.", state.running_attempts),
            ("awaited_scores", "Items whose text is whole, not scored.", state.awaited_scores),
            ("evacuated_zones", "Zones whose workers get nothing.", state.evacuated_zones),
            ("worker_ends", "Worker ends remembered, by request.", state.worker_ends),
            ("requests_held_back", "Requests that crash workers.", state.requests_held_back),
            ("held_bytes", "Bytes held for callers and workers.", state.held_bytes),
            ("peak_held_bytes", "Most of them at any time.", state.peak_held_bytes),
            ("requests_waiting", "Requests that wait for a place.", state.requests_waiting),
            ("cold_leases", "Cold workers that this node may send to.", state.cold_leases),
        ):
            yield GaugeMetricFamily(f"stagewalk_{name}", text, value=float(value))
        ages = GaugeMetricFamily(
            "stagewalk_view_age_seconds", "Age of a partition's view.", labels=["partition"]
        )
        for partition, age in sorted(state.view_ages.items()):
            ages.add_metric([partition], age)
        yield ages
        reports = GaugeMetricFamily(
            "stagewalk_load_reports", "Workers by the load report known of them.", labels=["kind"]
        )
        for kind, count in state.load_reports.items():
            reports.add_metric([kind], count)
        yield reports
        yield from _claimant_gauges(state.claimant_places)
        tokens = GaugeMetricFamily(
            "stagewalk_engine_expected_tokens",
            "Most tokens that an engine with runs of this node is expected to hold.",
            labels=["engine"],
        )
        for engine, count in sorted(state.engine_tokens.items()):
            tokens.add_metric([engine], float(count))
        yield tokens
        opened = CounterMetricFamily(
            "stagewalk_worker_connections_opened",
            "Connections opened to workers, by what for and why no kept one was used.",
            labels=["purpose", "reason"],
        )
        for (purpose, reason), count in sorted(state.opened_connections.items()):
            opened.add_metric([purpose, reason], count)
        yield opened
        events = CounterMetricFamily(
            "stagewalk_events", "Log events, dropped ones too.", labels=["event", "failure"]
        )
        for (event, failure), count in sorted(self._budget.events.items()):
            events.add_metric([event, str(failure).lower()], count)
        yield events


def _claimant_gauges(places: Sequence[ClaimantPlaces]) -> Iterable[Metric]:
    """Return demand, use and share of places; one without a limit has a share of infinity."""
    labels = ["tenant", "trainer", "service"]
    for name, text, value in (
        ("place_demand", "Places that a trainer's items here ask for.", _asked),
        ("places_taken", "Places that they have.", _taken),
        ("place_share", "Places that they may have.", _most),
    ):
        gauge = GaugeMetricFamily(f"stagewalk_{name}", text, labels=labels)
        for found in places:
            claimant = found.claimant
            gauge.add_metric([claimant.tenant or "", claimant.trainer, found.service], value(found))
        yield gauge


def _asked(places: ClaimantPlaces) -> float:
    return float(places.taken + places.waiting)


def _taken(places: ClaimantPlaces) -> float:
    return float(places.taken)


def _most(places: ClaimantPlaces) -> float:
    return places.most


class GatewayMetrics:
    """Counters and histograms of one gateway."""

    def __init__(self, state: Callable[[], GatewayState], budget: LogBudget) -> None:
        _omit_creation_times()
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._registry.register(_StateCollector(state, budget))
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

    def log_called(self, operation: str, outcome: str, seconds: float) -> None:
        """Count a call of the log."""
        self._log_calls.labels(operation, outcome).observe(seconds)

    def request_ended(self, kind: str, outcome: str, began: float) -> None:
        """Count a request that began at a steady time."""
        self._requests.labels(kind, outcome).inc()
        self._latency.labels(kind).observe(steady_seconds() - began)

    def send_denied(self, denial: Denial) -> None:
        """Count a request that was denied a worker."""
        self._denials.labels(denial.value).inc()

    def reader_cut_off(self, reason: str) -> None:
        """Count a caller that read too slowly."""
        self._cut_offs.labels(reason).inc()

    def request_admitted(self, wait_seconds: float) -> None:
        """Count a request that got its place after so many seconds."""
        self._admission_waits.observe(wait_seconds)

    def request_rejected(self, reason: str) -> None:
        """Count a request that was refused a place."""
        self._rejections.labels(reason).inc()

    def loop_woke_late(self, seconds: float) -> None:
        """Record how late the event loop woke a task that slept."""
        self._loop_lag.observe(seconds)

    def item_started(self, view_age_seconds: float) -> None:
        """Record the age of the view by which an item was started."""
        self._item_view_age.observe(view_age_seconds)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)
