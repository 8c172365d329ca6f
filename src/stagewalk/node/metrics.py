"""Prometheus metrics of the node, in their own registry, grouped by the part that records them.

Owns names, labels and buckets; units are in the names. Gauges of the core's status are set when the
metrics are read.
"""

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

from stagewalk.common.errors import StagewalkError
from stagewalk.node.node_core import NodeStatus

_LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0)
"""Bounds in seconds."""

_EVENT_BUCKETS = (0.0001, 0.0005, 0.002, 0.01, 0.05, 0.25, 1.0)
"""Bounds in seconds."""

_omit_creation_times: Callable[[], None] = disable_created_metrics


class NodeMetrics:
    """All counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        _omit_creation_times()
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self.edge = EdgeMetrics(self._registry)
        self.engines = EngineMetrics(self._registry)
        self.services = ServiceMetrics(self._registry)
        self.peers = PeerMetrics(self._registry)
        self.core = CoreMetrics(self._registry)
        self._status = StatusMetrics(self._registry)

    def set_status(self, status: NodeStatus, stopping: bool) -> None:
        """Set the gauges that come from the core's status."""
        self._status.set(status, stopping)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)


class EdgeMetrics:
    """Calls of callers and trainers."""

    def __init__(self, registry: CollectorRegistry) -> None:
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


class EngineMetrics:
    """Attempts at engines."""

    def __init__(self, registry: CollectorRegistry) -> None:
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


class ServiceMetrics:
    """Control calls to engines, and calls to platform services."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._errors = Counter(
            "stagewalk_service_errors",
            "Failed calls to engines' control and to platform services.",
            ["step", "kind"],
            registry=registry,
        )

    def count_error(self, error: StagewalkError) -> None:
        """Count a failed call by the step and kind of its error."""
        self.count(error.step.value, error.kind.value)

    def count(self, step: str, kind: str) -> None:
        """Count a failed call."""
        self._errors.labels(step=step, kind=kind).inc()


class PeerMetrics:
    """Messages between nodes."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.messages = Counter(
            "stagewalk_peer_messages",
            "Messages between nodes.",
            ["direction", "transport"],
            registry=registry,
        )
        self.bytes = Counter(
            "stagewalk_peer_bytes",
            "Bytes of messages between nodes, without IP headers.",
            ["direction", "transport"],
            registry=registry,
        )
        self._dropped = Counter(
            "stagewalk_peer_messages_dropped",
            "Messages between nodes dropped, by cause.",
            ["cause"],
            registry=registry,
        )

    def count_message(self, direction: str, transport: str, size_bytes: int) -> None:
        """Count a message that was sent or received."""
        self.messages.labels(direction, transport).inc()
        self.bytes.labels(direction, transport).inc(size_bytes)

    def count_dropped(self, cause: str) -> None:
        """Count a message that was dropped."""
        self._dropped.labels(cause=cause).inc()


class CoreMetrics:
    """The core's event loop."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.queue_length = Gauge(
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


class StatusMetrics:
    """Gauges of the core's status."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._ready = Gauge("stagewalk_ready", "1 while the node takes calls.", registry=registry)
        self._configuration_offset = Gauge(
            "stagewalk_configuration_offset",
            "Offset after the last configuration record in force.",
            registry=registry,
        )
        self._members = Gauge(
            "stagewalk_members", "Nodes known, by state.", ["state"], registry=registry
        )
        self._requests_in_flight = Gauge(
            "stagewalk_requests_in_flight",
            "Requests in progress, those of lots included.",
            registry=registry,
        )
        self._tenant_revision = Gauge(
            "stagewalk_tenant_revision", "Revision in force.", ["tenant"], registry=registry
        )
        self._lease_epoch = Gauge(
            "stagewalk_lease_epoch",
            "Epoch of each lease this node holds.",
            ["duty"],
            registry=registry,
        )

    def set(self, status: NodeStatus, stopping: bool) -> None:
        """Set all gauges."""
        self._ready.set(status.ready and not stopping)
        self._configuration_offset.set(status.configuration_offset)
        self._requests_in_flight.set(status.requests_in_flight)
        _set_all(self._members, Counted(status.members.values()))
        _set_all(self._tenant_revision, status.revisions)
        _set_all(self._lease_epoch, status.leases)


def _set_all(gauge: Gauge, values: Mapping[str, int]) -> None:
    """Set a gauge with one label to these values and no others."""
    gauge.clear()
    for label, value in values.items():
        gauge.labels(label).set(value)
