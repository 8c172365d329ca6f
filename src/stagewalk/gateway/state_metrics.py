"""Gauges of a gateway's state, read when they are scraped. Units are in the names.

Owns names and help texts of the gauges, and of counters maintained by other parts. Relies on
`GatewayState` for their values and on the log budget for event counts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from stagewalk.common.logs.budget import LogBudget
from stagewalk.gateway.batches.place_demand import ClaimantPlaces
from stagewalk.gateway.ports.workers import ConnectionReason, SendPurpose
from stagewalk.gateway.workers.worker import ReportKind


@dataclass(frozen=True, slots=True)
class GatewayState:
    """Snapshot of a gateway's state for its gauges.

    Attributes
    ----------
    view_ages
        Age of the view of each followed partition, in seconds.
    claimant_places
        Engine places of each trainer whose items run here.
    engine_tokens
        Maximum expected tokens of each engine that runs items of this node.
    opened_connections
        Number of connections opened to workers, by purpose and reason.
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


class StateCollector(Collector):
    """Collects gauges and event counts at each scrape."""

    def __init__(self, state: Callable[[], GatewayState], budget: LogBudget) -> None:
        self._state = state
        self._budget = budget

    def describe(self) -> Iterable[Metric]:
        """Return nothing: the metrics are known only at collection."""
        return ()

    def collect(self) -> Iterable[Metric]:
        """Return all gauges, and the event counts of the log budget."""
        state = self._state()
        yield from _unlabelled_gauges(state)
        yield _view_ages(state)
        yield _load_reports(state)
        yield from _claimant_gauges(state.claimant_places)
        yield _engine_tokens(state)
        yield _opened_connections(state)
        yield _events(self._budget)


def _unlabelled_gauges(state: GatewayState) -> Iterable[Metric]:
    """Return the gauges without labels."""
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


def _view_ages(state: GatewayState) -> Metric:
    """Return the age of the view of each followed partition."""
    ages = GaugeMetricFamily(
        "stagewalk_view_age_seconds", "Age of a partition's view.", labels=["partition"]
    )
    for partition, age in sorted(state.view_ages.items()):
        ages.add_metric([partition], age)
    return ages


def _load_reports(state: GatewayState) -> Metric:
    """Return the number of workers by kind of load report."""
    reports = GaugeMetricFamily(
        "stagewalk_load_reports", "Workers by the load report known of them.", labels=["kind"]
    )
    for kind, count in state.load_reports.items():
        reports.add_metric([kind], count)
    return reports


def _engine_tokens(state: GatewayState) -> Metric:
    """Return the expected tokens of each engine."""
    tokens = GaugeMetricFamily(
        "stagewalk_engine_expected_tokens",
        "Most tokens that an engine with runs of this node is expected to hold.",
        labels=["engine"],
    )
    for engine, count in sorted(state.engine_tokens.items()):
        tokens.add_metric([engine], float(count))
    return tokens


def _opened_connections(state: GatewayState) -> Metric:
    """Return the number of connections opened to workers."""
    opened = CounterMetricFamily(
        "stagewalk_worker_connections_opened",
        "Connections opened to workers, by what for and why no kept one was used.",
        labels=["purpose", "reason"],
    )
    for (purpose, reason), count in sorted(state.opened_connections.items()):
        opened.add_metric([purpose, reason], count)
    return opened


def _events(budget: LogBudget) -> Metric:
    """Return the count of each log event, including dropped lines."""
    events = CounterMetricFamily(
        "stagewalk_events", "Log events, dropped ones too.", labels=["event", "failure"]
    )
    for (event, failure), count in sorted(budget.events.items()):
        events.add_metric([event, str(failure).lower()], count)
    return events


def _claimant_gauges(places: Sequence[ClaimantPlaces]) -> Iterable[Metric]:
    """Return demand, use and share of places; an unlimited share is infinity."""
    labels = ["tenant", "trainer", "service"]
    for name, text, value in (
        ("place_demand", "Places that a trainer's items here ask for.", _places_demanded),
        ("places_taken", "Places that they have.", _places_taken),
        ("place_share", "Places that they may have.", _places_allowed),
    ):
        gauge = GaugeMetricFamily(f"stagewalk_{name}", text, labels=labels)
        for found in places:
            claimant = found.claimant
            gauge.add_metric([claimant.tenant or "", claimant.trainer, found.service], value(found))
        yield gauge


def _places_demanded(places: ClaimantPlaces) -> float:
    return float(places.taken + places.waiting)


def _places_taken(places: ClaimantPlaces) -> float:
    return float(places.taken)


def _places_allowed(places: ClaimantPlaces) -> float:
    return places.most
