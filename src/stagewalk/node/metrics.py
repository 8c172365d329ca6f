"""Metrics of the daemon, on a registry of its own. Units are in the names."""

from __future__ import annotations

from collections import Counter as Counted
from collections.abc import Callable, Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)

from stagewalk.node.node_core import NodeStatus

_LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0)
_EVENT_BUCKETS = (0.0001, 0.0005, 0.002, 0.01, 0.05, 0.25, 1.0)


_omit_creation_times: Callable[[], None] = disable_created_metrics


class NodeMetrics:
    """All counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        _omit_creation_times()
        registry = CollectorRegistry()
        self._registry = registry
        ProcessCollector(registry=registry)
        self.calls = Counter(
            "stagewalk_calls",
            "Calls ended, by endpoint and outcome (ok, an error kind, or abandoned).",
            ["endpoint", "outcome"],
            registry=registry,
        )
        self.request_latency = Histogram(
            "stagewalk_request_latency_seconds",
            "Time from a call's arrival to its last byte.",
            ["endpoint"],
            buckets=_LATENCY_BUCKETS,
            registry=registry,
        )
        self.first_chunk_latency = Histogram(
            "stagewalk_first_chunk_latency_seconds",
            "Time from a streaming call's arrival to its first chunk.",
            buckets=_LATENCY_BUCKETS,
            registry=registry,
        )
        self.open_calls = Gauge(
            "stagewalk_open_calls", "Calls open at the edge.", registry=registry
        )
        self.slow_readers = Counter(
            "stagewalk_slow_readers",
            "Streams cut because the caller read too slowly.",
            registry=registry,
        )
        self.attempts = Counter(
            "stagewalk_attempts",
            "Attempts at engines that ended, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.running_attempts = Gauge(
            "stagewalk_running_attempts", "Attempts running at engines.", registry=registry
        )
        self.answer_tokens = Counter(
            "stagewalk_answer_tokens", "Tokens received from engines.", registry=registry
        )
        self.service_errors = Counter(
            "stagewalk_service_errors",
            "Failed calls to engines' control and to platform services.",
            ["step", "kind"],
            registry=registry,
        )
        self.peer_messages = Counter(
            "stagewalk_peer_messages",
            "Messages between nodes.",
            ["direction", "transport"],
            registry=registry,
        )
        self.peer_bytes = Counter(
            "stagewalk_peer_bytes",
            "Bytes of messages between nodes, without IP headers.",
            ["direction", "transport"],
            registry=registry,
        )
        self.peer_messages_dropped = Counter(
            "stagewalk_peer_messages_dropped",
            "Messages between nodes dropped, by cause.",
            ["cause"],
            registry=registry,
        )
        self.event_queue_length = Gauge(
            "stagewalk_event_queue_length", "Events waiting for the core.", registry=registry
        )
        self.event_handling = Histogram(
            "stagewalk_event_handling_seconds",
            "Time the core spent on one event.",
            buckets=_EVENT_BUCKETS,
            registry=registry,
        )
        self.tick_lag = Gauge(
            "stagewalk_tick_lag_seconds", "How late the last tick was handled.", registry=registry
        )
        self.ready = Gauge("stagewalk_ready", "1 while the node takes calls.", registry=registry)
        self.configuration_offset = Gauge(
            "stagewalk_configuration_offset",
            "Offset after the last configuration record in force.",
            registry=registry,
        )
        self.members = Gauge(
            "stagewalk_members", "Nodes known, by state.", ["state"], registry=registry
        )

        self.requests_in_flight = Gauge(
            "stagewalk_requests_in_flight",
            "Requests in progress, those of lots included.",
            registry=registry,
        )
        self.tenant_revision = Gauge(
            "stagewalk_tenant_revision", "Revision in force.", ["tenant"], registry=registry
        )
        self.lease_epoch = Gauge(
            "stagewalk_lease_epoch",
            "Epoch of each lease this node holds.",
            ["duty"],
            registry=registry,
        )

    def show_status(self, status: NodeStatus, stopping: bool) -> None:
        """Set the gauges that come from the core's status."""
        self.ready.set(status.ready and not stopping)
        self.configuration_offset.set(status.configuration_offset)
        self.requests_in_flight.set(status.requests_in_flight)
        _set_all(self.members, Counted(status.members.values()))
        _set_all(self.tenant_revision, status.revisions)
        _set_all(self.lease_epoch, status.leases)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)


def _set_all(gauge: Gauge, values: Mapping[str, int]) -> None:
    """Set a gauge with one label to these values and no others."""
    gauge.clear()
    for label, value in values.items():
        gauge.labels(label).set(value)
