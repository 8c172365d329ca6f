"""Weight rollout in one pool: decides from the engines' reports which order each gets next.

`targets` determines the version of each engine, `staging` when a version may be activated and
`swap_rules` how many engines load at the same time. The state is kept in memory only, since a new
lease holder can rebuild it from the engines' reports.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stagewalk.common.identities import EngineName, Epoch, ModelName, WeightVersion
from stagewalk.node.configuration.parameters import Tenant
from stagewalk.node.core.instructions import (
    Instruction,
    LogLineFields,
    PollEngine,
    SendEngineOrder,
    WriteLogLine,
)
from stagewalk.node.core.platform import (
    EngineOrder,
    EngineOrderOutcome,
    EngineReport,
    EngineState,
    OrderKind,
)
from stagewalk.node.weights import swap_rules
from stagewalk.node.weights.config import WeightRolloutConfig
from stagewalk.node.weights.engines import EngineView, OpenOrder
from stagewalk.node.weights.staging import StagingProgress
from stagewalk.node.weights.targets import (
    VersionTarget,
    assign_targets,
    pool_idle_weight,
    pool_targets,
)


@dataclass(slots=True)
class _Plan:
    """Available engines of a pool and their targets, for one evaluation."""

    engines: list[EngineView]
    targets: dict[EngineName, VersionTarget]
    output: list[Instruction] = field(default_factory=list)


class PoolRollout:
    """Brings a pool's engines to their target versions while this node holds its lease."""

    def __init__(
        self, pool: ModelName, epoch: Epoch, source: str, config: WeightRolloutConfig
    ) -> None:
        self.pool = pool
        self.epoch = epoch
        self.engines: dict[EngineName, EngineView] = {}
        self._published: tuple[WeightVersion, ...] = ()
        self._tenants: tuple[Tenant, ...] = ()
        self._source = source
        self._config = config
        self._orders_sent = 0
        self._staging_limit = config.initial_staging
        self._staging = StagingProgress(config)
        self._targets: tuple[VersionTarget, ...] = ()
        self._acquired_at: float | None = None
        self._fenced_until: float | None = None
        self._evaluate_at = 0.0
        self._changed = True

    def set_published(self, published: tuple[WeightVersion, ...]) -> None:
        """Set the versions that the store has published."""
        if published != self._published:
            self._published = published
            self._retarget()

    def set_tenants(self, tenants: tuple[Tenant, ...]) -> None:
        """Replace the tenants."""
        self._tenants = tenants
        self._retarget()

    def apply_report(self, report: EngineReport, now: float) -> list[Instruction]:
        """Apply a report and resolve the engine's open order if its outcome is known."""
        view = self.engines.get(report.engine)
        if view is None:
            return []
        before = view.report
        if not view.apply_report(report, now):
            return []
        self._changed = self._changed or before is None or _state_changed(before, report)
        if report.epoch > self.epoch:
            return self._fence(report.engine, now)
        if view.open_order is None:
            return []
        return self._resolve_order(view, view.open_order, report, now)

    def handle_answer(
        self, engine: EngineName, order_id: str, outcome: EngineOrderOutcome, now: float
    ) -> list[Instruction]:
        """Handle an engine's answer to an order.

        An order without an answer may still have been executed: it stays open until a report
        shows its effect or it times out.
        """
        view = self.engines.get(engine)
        if view is None or view.open_order is None:
            return []
        if view.open_order.order.order_id != order_id:
            return []
        if outcome is EngineOrderOutcome.STALE_EPOCH:
            return [
                *self._fail_order(view, "engine has a newer epoch", now),
                *self._fence(engine, now),
            ]
        if outcome is EngineOrderOutcome.REFUSED:
            return self._fail_order(view, "refused", now)
        return []

    def evaluate(self, now: float) -> list[Instruction]:
        """Poll engines, time out orders without effect, and send the next ones."""
        if self._acquired_at is None:
            self._acquired_at = now
        if now < self._evaluate_at and not self._changed:
            return []
        self._changed = False
        output = self._poll(now)
        for name in sorted(self.engines):
            output += self._check_open_order(self.engines[name], now)
        if self._fenced_until is not None and now < self._fenced_until:
            return output
        plan = self._plan(now)
        self._raise_epochs(plan, now)
        self._stage(plan, now)
        if now - self._acquired_at >= self._config.settle_seconds:
            self._activate(plan, now)
        resting = all(_is_settled(view, plan) for view in plan.engines)
        interval = self._config.resting_interval_seconds
        self._evaluate_at = now + (interval if resting else 0.0)
        return output + plan.output

    def _retarget(self) -> None:
        self._targets = pool_targets(self.pool, self._tenants, self._published)
        if self._targets:
            self._staging.drop_older_than(self._targets[0].version)
        self._changed = True

    def _plan(self, now: float) -> _Plan:
        engines = [
            self.engines[name]
            for name in sorted(self.engines)
            if self._is_available(self.engines[name], now)
        ]
        holdings = {view.name: view.held_versions() for view in engines}
        return _Plan(engines, assign_targets(self._targets, holdings))

    def _is_available(self, view: EngineView, now: float) -> bool:
        return view.has_recent_report(now, self._config) and not view.is_draining()

    def _poll(self, now: float) -> list[Instruction]:
        """Return polls of engines whose reports are too old."""
        polls: list[Instruction] = []
        for name in sorted(self.engines):
            view = self.engines[name]
            if len(polls) >= self._config.maximum_polls_per_evaluation:
                break
            interval = swap_rules.poll_interval(view, self._config)
            asked_at = max(view.polled_at or -interval, view.reported_at or -interval)
            if now - asked_at >= interval:
                view.polled_at = now
                polls.append(PollEngine(view.name, view.address))
        return polls

    def _raise_epochs(self, plan: _Plan, now: float) -> None:
        """Raise the engines' epochs to this holder's before anything is swapped.

        A paused predecessor may resume and keep activating versions, and two holders together
        could take a pool below its capacity floor. Engines with the new epoch refuse the
        predecessor's orders. An order to fetch the version that an engine already runs only
        raises its epoch.
        """
        for view in plan.engines:
            if swap_rules.has_older_epoch(view, self.epoch) and self._may_order(view, now):
                plan.output.append(
                    self._new_order(view, OrderKind.STAGE, view.active_version(), now)
                )

    def _stage(self, plan: _Plan, now: float) -> None:
        """Order engines to fetch their targets, a few at a time to limit the load of the store."""
        fetching = sum(1 for view in plan.engines if view.is_fetching())
        for view in plan.engines:
            if fetching >= self._staging_limit:
                return
            target = plan.targets.get(view.name)
            if target is None or not self._may_order(view, now):
                continue
            if target.version in view.held_versions():
                continue
            fetching += 1
            plan.output.append(self._new_order(view, OrderKind.STAGE, target.version, now))

    def _activate(self, plan: _Plan, now: float) -> None:
        """Order as many engines to swap to their targets as the capacity floor allows."""
        allowed = self._loading_allowance(plan, now)
        versions: dict[WeightVersion, WeightVersion | None] = {}
        for each in self._targets:
            members = [view for view in plan.engines if plan.targets.get(view.name) == each]
            versions[each.version] = self._staging.activation_version(each, members, now)
        for view in plan.engines:
            if allowed <= 0:
                return
            target = plan.targets.get(view.name)
            if target is None or not self._may_order(view, now):
                continue
            version = versions[target.version]
            if version is None or not swap_rules.is_due_for_swap(view, version, target):
                continue
            allowed -= 1
            plan.output.append(self._new_order(view, OrderKind.ACTIVATE, version, now))

    def _loading_allowance(self, plan: _Plan, now: float) -> int:
        """Return how many more engines may load without going below the capacity floor."""
        engines = plan.engines
        missing = sum(
            1
            for view in self.engines.values()
            if swap_rules.is_recently_missing(view, self._config, now)
        )
        idle_weight = pool_idle_weight(self.pool, self._tenants)
        limit = swap_rules.maximum_loading(len(engines) + missing, idle_weight, self._config)
        lease_seconds = 0.0 if self._acquired_at is None else now - self._acquired_at
        unfenced = swap_rules.orderable_by_predecessor(
            engines, self.epoch, lease_seconds, self._config
        )
        return limit - swap_rules.loading_count(engines) - missing - unfenced

    def _may_order(self, view: EngineView, now: float) -> bool:
        return swap_rules.may_order(view, self.epoch, now)

    def _new_order(
        self, view: EngineView, kind: OrderKind, version: WeightVersion, now: float
    ) -> SendEngineOrder:
        self._orders_sent += 1
        order_id = f"{self.pool}.{self.epoch}.{self._source}.{self._orders_sent}"
        order = EngineOrder(order_id, self.epoch, kind, self.pool, version)
        opened = view.open_order
        first_sent_at = now if opened is None else opened.first_sent_at
        fetches = kind is OrderKind.STAGE and version != view.active_version()
        view.open_order = OpenOrder(order, first_sent_at, now, fetches)
        return SendEngineOrder(view.name, view.address, order)

    def _resolve_order(
        self, view: EngineView, opened: OpenOrder, report: EngineReport, now: float
    ) -> list[Instruction]:
        """Close an engine's open order if a report shows its outcome."""
        version = opened.order.version
        if opened.order.kind is OrderKind.STAGE:
            if version in view.held_versions() and report.epoch >= opened.order.epoch:
                self._close_stage(view)
            return []
        if report.state is not EngineState.SERVING:
            return []
        if report.active_version == version:
            view.record_success()
            return []
        if opened.seen_loading:
            return self._fail_order(view, f"loaded unexpected version {report.active_version}", now)
        return []

    def _close_stage(self, view: EngineView) -> None:
        if view.is_fetching():
            self._staging_limit = min(self._staging_limit + 1, self._config.maximum_staging)
        view.record_success()

    def _check_open_order(self, view: EngineView, now: float) -> list[Instruction]:
        """End an expired quarantine; repeat or time out an order without effect."""
        if view.quarantined_until is not None and now >= view.quarantined_until:
            view.quarantined_until = None
        opened = view.open_order
        if opened is None:
            return []
        if opened.order.kind is OrderKind.ACTIVATE:
            if now - opened.sent_at < self._config.activation_timeout_seconds:
                return []
            return self._fail_order(view, "activation timed out", now)
        if now - opened.first_sent_at >= self._config.stage_timeout_seconds:
            return self._fail_order(view, "staging timed out", now)
        if now - opened.sent_at < self._config.stage_repeat_seconds:
            return []
        is_target = any(target.version == opened.order.version for target in self._targets)
        if opened.fetches and not is_target:
            view.open_order = None
            return []
        return [self._new_order(view, OrderKind.STAGE, opened.order.version, now)]

    def _fail_order(self, view: EngineView, detail: str, now: float) -> list[Instruction]:
        opened = view.open_order
        if opened is None:
            return []
        if opened.order.kind is OrderKind.STAGE:
            self._staging_limit = max(1, self._staging_limit // 2)
        view.record_failure(now, self._config)
        fields: LogLineFields = {
            "engine": view.name,
            "order": opened.order.order_id,
            "kind": opened.order.kind,
            "version": opened.order.version,
            "active_version": view.active_version(),
            "failures": view.failures,
            "detail": detail,
        }
        output: list[Instruction] = [WriteLogLine("engine_order_failed", fields)]
        if view.failures >= self._config.quarantine_after_failures:
            view.quarantined_until = now + self._config.quarantine_seconds
            output.append(WriteLogLine("engine_quarantined", dict(fields)))
        return output

    def _fence(self, engine: EngineName, now: float) -> list[Instruction]:
        """Pause all orders because an engine has a newer epoch: the lease is probably lost.

        If this node still holds the lease after the pause, the rollout continues. The engine with
        the newer epoch gets no orders under this lease.
        """
        if self._fenced_until is not None:
            return []
        self._fenced_until = now + self._config.fence_pause_seconds
        fields: LogLineFields = {"pool": self.pool, "epoch": self.epoch, "engine": engine}
        return [WriteLogLine("rollout_fenced", fields)]


def _state_changed(before: EngineReport, after: EngineReport) -> bool:
    """Return whether two reports differ in incarnation, state, weights or epoch."""
    return _weights_state(before) != _weights_state(after)


def _weights_state(report: EngineReport) -> tuple[object, ...]:
    return (
        report.incarnation,
        report.state,
        report.active_version,
        report.staged_versions,
        report.epoch,
    )


def _is_settled(view: EngineView, plan: _Plan) -> bool:
    return view.open_order is None and _is_on_target(view, plan)


def _is_on_target(view: EngineView, plan: _Plan) -> bool:
    target = plan.targets.get(view.name)
    return target is not None and view.active_version() == target.version
