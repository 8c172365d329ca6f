"""Gauges of a gateway's state, read when they are scraped. Units are in the names.

Owns names and help texts of the gauges, and of the counters that other parts keep. Relies on
`GatewayState` for their values, and on the logs' budget for the counts of events.
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


class StateCollector(Collector):
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
        yield from _plain_gauges(state)
        yield _view_ages(state)
        yield _load_reports(state)
        yield from _claimant_gauges(state.claimant_places)
        yield _engine_tokens(state)
        yield _opened_connections(state)
        yield _events(self._budget)


def _plain_gauges(state: GatewayState) -> Iterable[Metric]:
    """Return the gauges that have no labels."""
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
    """Return how old the view of each followed partition is."""
    ages = GaugeMetricFamily(
        "stagewalk_view_age_seconds", "Age of a partition's view.", labels=["partition"]
    )
    for partition, age in sorted(state.view_ages.items()):
        ages.add_metric([partition], age)
    return ages


def _load_reports(state: GatewayState) -> Metric:
    """Return how many workers reported their load, and how."""
    reports = GaugeMetricFamily(
        "stagewalk_load_reports", "Workers by the load report known of them.", labels=["kind"]
    )
    for kind, count in state.load_reports.items():
        reports.add_metric([kind], count)
    return reports


def _engine_tokens(state: GatewayState) -> Metric:
    """Return what engines are expected to hold."""
    tokens = GaugeMetricFamily(
        "stagewalk_engine_expected_tokens",
        "Most tokens that an engine with runs of this node is expected to hold.",
        labels=["engine"],
    )
    for engine, count in sorted(state.engine_tokens.items()):
        tokens.add_metric([engine], float(count))
    return tokens


def _opened_connections(state: GatewayState) -> Metric:
    """Return connections opened to workers."""
    opened = CounterMetricFamily(
        "stagewalk_worker_connections_opened",
        "Connections opened to workers, by what for and why no kept one was used.",
        labels=["purpose", "reason"],
    )
    for (purpose, reason), count in sorted(state.opened_connections.items()):
        opened.add_metric([purpose, reason], count)
    return opened


def _events(budget: LogBudget) -> Metric:
    """Return how often each event was logged, or would have been."""
    events = CounterMetricFamily(
        "stagewalk_events", "Log events, dropped ones too.", labels=["event", "failure"]
    )
    for (event, failure), count in sorted(budget.events.items()):
        events.add_metric([event, str(failure).lower()], count)
    return events


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
