"""What the duty holder knows of one engine: its reports, and the order it is under.

Owns when a report is news and how long a failed engine pauses; `swap_rules` and the pool decide the
rest.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from stagewalk.common.identities import Address, EngineName, WeightVersion
from stagewalk.node.core.backoff import retry_delay
from stagewalk.node.core.platform import EngineOrder, EngineReport, EngineState, OrderKind
from stagewalk.node.weights.config import WeightRolloutConfig


@dataclass(slots=True)
class OpenOrder:
    """An order whose effect no report has shown yet.

    Attributes
    ----------
    first_sent_at, sent_at
        When it was sent first, and last (with a newer id), in seconds.
    fetches
        Whether it makes the engine fetch weights from the store.
    seen_loading
        Whether a report showed the engine loading since.
    """

    order: EngineOrder
    first_sent_at: float
    sent_at: float
    fetches: bool = False
    seen_loading: bool = False


@dataclass(slots=True)
class EngineView:
    """An engine of a pool, as its reports show it.

    Attributes
    ----------
    listed_at
        When this holder first found it in the machine list.
    reported_at
        When its newest report came here; None before the first.
    polled_at
        When it was last polled for a report.
    failures
        Orders in a row that failed.
    retry_at
        Time before which it is not ordered again.
    quarantined_until
        Until when it is left alone; None if it is not in quarantine.
    """

    name: EngineName
    address: Address
    listed_at: float
    leaving: bool = False
    report: EngineReport | None = None
    reported_at: float | None = None
    polled_at: float | None = None
    open_order: OpenOrder | None = None
    failures: int = 0
    retry_at: float = 0.0
    quarantined_until: float | None = None

    def apply_report(self, report: EngineReport, now: float) -> bool:
        """Apply a report unless a newer one is known; return whether it was news."""
        known = self.report
        if known is not None and _report_order(report) <= _report_order(known):
            # Late, or the same again from another node: no fresh evidence that it lives.
            return False
        if known is not None and report.incarnation != known.incarnation:
            # A restarted engine has forgotten its orders and its staged versions.
            self.open_order = None
        self.report = report
        self.reported_at = now
        if self.open_order is not None and report.state is EngineState.LOADING:
            self.open_order.seen_loading = True
        return True

    def has_evidence(self, now: float, config: WeightRolloutConfig) -> bool:
        """Return whether a fresh enough report shows that it is alive."""
        return self.reported_at is not None and now - self.reported_at <= config.evidence_seconds

    def is_draining(self) -> bool:
        """Return whether it is draining or leaving, by its report or the machine list."""
        gone = {EngineState.LEAVING, EngineState.DRAINING}
        return self.leaving or (self.report is not None and self.report.state in gone)

    def holds(self) -> frozenset[WeightVersion]:
        """Return the versions it runs or has staged."""
        if self.report is None:
            return frozenset()
        return frozenset((self.report.active_version, *self.report.staged_versions))

    def active_version(self) -> WeightVersion:
        """Return the version it runs by its last report, 0 if there is none."""
        return WeightVersion(0) if self.report is None else self.report.active_version

    def is_loading(self) -> bool:
        """Return whether it is out of service for a swap, by its report or by an open order."""
        reported = self.report is not None and self.report.state is EngineState.LOADING
        return reported or self.is_under(OrderKind.ACTIVATE)

    def is_under(self, kind: OrderKind) -> bool:
        """Return whether an order of a kind is open."""
        return self.open_order is not None and self.open_order.order.kind is kind

    def is_fetching(self) -> bool:
        """Return whether it is under an order to fetch weights that it did not hold."""
        return self.open_order is not None and self.open_order.fetches

    def record_success(self) -> None:
        """Close the open order: a report shows its effect."""
        self.open_order = None
        self.failures = 0
        self.retry_at = 0.0

    def record_failure(self, now: float, config: WeightRolloutConfig) -> None:
        """Close the open order as failed, and wait before the next."""
        self.open_order = None
        self.failures += 1
        base, limit = config.retry_base_seconds, config.retry_limit_seconds
        self.retry_at = now + retry_delay(base, limit, self.failures, self._jitter())

    def _jitter(self) -> float:
        """Return a fraction that differs between engines and tries, but not between runs."""
        digest = xxhash.xxh32_intdigest(f"{self.name}/{self.failures}".encode())
        return digest / float(1 << 32)


def _report_order(report: EngineReport) -> tuple[int, float]:
    return (report.incarnation, report.generated_at)
