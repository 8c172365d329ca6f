"""State of one engine at the lease holder: its last report, open order and failures."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from stagewalk.common.identities import Address, EngineName, WeightVersion
from stagewalk.node.core.backoff import retry_delay
from stagewalk.node.core.platform import EngineOrder, EngineReport, EngineState, OrderKind
from stagewalk.node.weights.config import WeightRolloutConfig


@dataclass(slots=True)
class OpenOrder:
    """An order whose effect has not been reported yet.

    Attributes
    ----------
    first_sent_at, sent_at
        When it was first sent, and last sent (with a newer id), in seconds.
    fetches
        Whether it makes the engine fetch weights from the store.
    seen_loading
        Whether a report has shown the engine loading since.
    """

    order: EngineOrder
    first_sent_at: float
    sent_at: float
    fetches: bool = False
    seen_loading: bool = False


@dataclass(slots=True)
class EngineView:
    """State of an engine of a pool.

    Attributes
    ----------
    listed_at
        When this holder first found it in the machine list.
    reported_at
        When its newest report arrived; None before the first.
    polled_at
        When it was last polled for a report.
    failures
        Consecutive failed orders.
    retry_at
        When it may get an order again after a failure.
    quarantined_until
        End of its quarantine; None if it is not in quarantine.
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
        """Apply a report unless the last one is as new; return whether it was applied."""
        known = self.report
        if known is not None and _report_position(report) <= _report_position(known):
            # A delayed or repeated report is no new sign of life.
            return False
        if known is not None and report.incarnation != known.incarnation:
            # A restarted engine has lost its orders and staged versions.
            self.open_order = None
        self.report = report
        self.reported_at = now
        if self.open_order is not None and report.state is EngineState.LOADING:
            self.open_order.seen_loading = True
        return True

    def has_recent_report(self, now: float, config: WeightRolloutConfig) -> bool:
        """Return whether its last report is recent enough to show that it is alive."""
        return self.reported_at is not None and now - self.reported_at <= config.evidence_seconds

    def is_draining(self) -> bool:
        """Return whether its report or the machine list shows it draining or leaving."""
        leaving_states = {EngineState.LEAVING, EngineState.DRAINING}
        return self.leaving or (self.report is not None and self.report.state in leaving_states)

    def held_versions(self) -> frozenset[WeightVersion]:
        """Return the versions it runs or has staged."""
        if self.report is None:
            return frozenset()
        return frozenset((self.report.active_version, *self.report.staged_versions))

    def active_version(self) -> WeightVersion:
        """Return the version it runs by its last report, or 0 without a report."""
        return WeightVersion(0) if self.report is None else self.report.active_version

    def is_loading(self) -> bool:
        """Return whether it is out of service for a swap, by its report or its open order."""
        reported = self.report is not None and self.report.state is EngineState.LOADING
        return reported or self.has_open_order(OrderKind.ACTIVATE)

    def has_open_order(self, kind: OrderKind) -> bool:
        """Return whether it has an open order of a kind."""
        return self.open_order is not None and self.open_order.order.kind is kind

    def is_fetching(self) -> bool:
        """Return whether it has an open order to fetch weights it didn't hold."""
        return self.open_order is not None and self.open_order.fetches

    def record_success(self) -> None:
        """Close the open order as successful."""
        self.open_order = None
        self.failures = 0
        self.retry_at = 0.0

    def record_failure(self, now: float, config: WeightRolloutConfig) -> None:
        """Close the open order as failed, and delay the next one."""
        self.open_order = None
        self.failures += 1
        base, limit = config.retry_base_seconds, config.retry_limit_seconds
        self.retry_at = now + retry_delay(base, limit, self.failures, self._jitter())

    def _jitter(self) -> float:
        """Return a deterministic jitter fraction that depends on engine and failure count."""
        digest = xxhash.xxh32_intdigest(f"{self.name}/{self.failures}".encode())
        return digest / float(1 << 32)


def _report_position(report: EngineReport) -> tuple[int, float]:
    return (report.incarnation, report.generated_at)
