"""One pool's rollout: which order each engine gets next, from reports alone.

Owns the pool's engines, open orders and epoch while this node holds the duty. Relies on `targets`
for what each engine is to hold, on `staging` for when a version may be activated and on
`swap_rules` for how many engines load at once. Nothing here outlasts the node: a new holder learns
all it needs from the engines' reports.
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
    """One evaluation's view of a pool: engines that count, and each one's target."""

    engines: list[EngineView]
    targets: dict[EngineName, VersionTarget]
    output: list[Instruction] = field(default_factory=list)


class PoolRollout:
    """Brings a pool's engines to their target versions, while this node holds its duty."""

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
        """Set the versions the store holds."""
        if published != self._published:
            self._published = published
            self._retarget()

    def set_tenants(self, tenants: tuple[Tenant, ...]) -> None:
        """Apply a configuration."""
        self._tenants = tenants
        self._retarget()

    def apply_report(self, report: EngineReport, now: float) -> list[Instruction]:
        """Apply a report and settle the engine's open order by it."""
        view = self.engines.get(report.engine)
        if view is None:
            return []
        before = view.report
        if not view.apply_report(report, now):
            return []
        self._changed = self._changed or before is None or _differ(before, report)
        if report.epoch > self.epoch:
            return self._fence(report.engine, now)
        if view.open_order is None:
            return []
        return self._settle(view, view.open_order, report, now)

    def handle_answer(
        self, engine: EngineName, order_id: str, outcome: EngineOrderOutcome, now: float
    ) -> list[Instruction]:
        """Handle an engine's answer to an order; the order's effect is in the engine's reports.

        No answer says nothing: the order may have been obeyed. A report shows it, or the order
        times out.
        """
        view = self.engines.get(engine)
        if view is None or view.open_order is None:
            return []
        if view.open_order.order.order_id != order_id:
            return []
        if outcome is EngineOrderOutcome.STALE_EPOCH:
            return [*self._fail(view, "obeys a newer epoch", now), *self._fence(engine, now)]
        if outcome is EngineOrderOutcome.REFUSED:
            return self._fail(view, "refused", now)
        return []

    def evaluate(self, now: float) -> list[Instruction]:
        """Poll engines, give up on orders without effect, and send the next ones."""
        if self._acquired_at is None:
            self._acquired_at = now
        if now < self._evaluate_at and not self._changed:
            return []
        self._changed = False
        output = self._poll(now)
        for name in sorted(self.engines):
            output += self._follow_order(self.engines[name], now)
        if self._fenced_until is not None and now < self._fenced_until:
            return output
        plan = self._plan(now)
        self._raise_epochs(plan, now)
        self._stage(plan, now)
        if now - self._acquired_at >= self._config.settle_seconds:
            self._activate(plan, now)
        resting = all(_is_at_rest(view, plan) for view in plan.engines)
        interval = self._config.resting_interval_seconds
        self._evaluate_at = now + (interval if resting else 0.0)
        return output + plan.output

    def _retarget(self) -> None:
        self._targets = pool_targets(self.pool, self._tenants, self._published)
        if self._targets:
            self._staging.forget_older_than(self._targets[0].version)
        self._changed = True

    def _plan(self, now: float) -> _Plan:
        engines = [
            self.engines[name]
            for name in sorted(self.engines)
            if self._counts(self.engines[name], now)
        ]
        holdings = {view.name: view.holds() for view in engines}
        return _Plan(engines, assign_targets(self._targets, holdings))

    def _counts(self, view: EngineView, now: float) -> bool:
        return view.has_evidence(now, self._config) and not view.is_draining()

    def _poll(self, now: float) -> list[Instruction]:
        """Return polls of engines whose report is too old."""
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
        """Raise the engines' epoch to this holder's before anything is swapped.

        A predecessor that was paused may wake up and go on activating. Both holders together could
        take a pool below its floor (measured in a random test: 4 of 6 engines loaded at once), so
        the engines must refuse the older one first. An order to fetch the weights an engine runs
        already does nothing but raise its epoch.
        """
        for view in plan.engines:
            if swap_rules.is_behind(view, self.epoch) and self._may_order(view, now):
                plan.output.append(self._order(view, OrderKind.STAGE, view.active_version(), now))

    def _stage(self, plan: _Plan, now: float) -> None:
        """Order engines to fetch their targets, few at once: the store limits its rate."""
        fetching = sum(1 for view in plan.engines if view.is_fetching())
        for view in plan.engines:
            if fetching >= self._staging_limit:
                return
            target = plan.targets.get(view.name)
            if target is None or not self._may_order(view, now):
                continue
            if target.version in view.holds():
                continue
            fetching += 1
            plan.output.append(self._order(view, OrderKind.STAGE, target.version, now))

    def _activate(self, plan: _Plan, now: float) -> None:
        """Order engines to swap to their targets, as many at once as the capacity floor allows."""
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
            plan.output.append(self._order(view, OrderKind.ACTIVATE, version, now))

    def _loading_allowance(self, plan: _Plan, now: float) -> int:
        """Return how many more engines may load now without going below the capacity floor."""
        engines = plan.engines
        missing = sum(
            1
            for view in self.engines.values()
            if swap_rules.is_newly_missing(view, self._config, now)
        )
        idle_weight = pool_idle_weight(self.pool, self._tenants)
        at_once = swap_rules.wave_size(len(engines) + missing, idle_weight, self._config)
        held_seconds = 0.0 if self._acquired_at is None else now - self._acquired_at
        unfenced = swap_rules.may_be_ordered_elsewhere(
            engines, self.epoch, held_seconds, self._config
        )
        return at_once - swap_rules.loads_now(engines) - missing - unfenced

    def _may_order(self, view: EngineView, now: float) -> bool:
        return swap_rules.may_order(view, self.epoch, now)

    def _order(
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

    def _settle(
        self, view: EngineView, opened: OpenOrder, report: EngineReport, now: float
    ) -> list[Instruction]:
        """Close an engine's open order if a report shows what it came to."""
        version = opened.order.version
        if opened.order.kind is OrderKind.STAGE:
            if version in view.holds() and report.epoch >= opened.order.epoch:
                self._close_stage(view)
            return []
        if report.state is not EngineState.SERVING:
            return []
        if report.active_version == version:
            view.record_success()
            return []
        if opened.seen_loading:
            return self._fail(view, f"came up on version {report.active_version}", now)
        return []

    def _close_stage(self, view: EngineView) -> None:
        if view.is_fetching():
            self._staging_limit = min(self._staging_limit + 1, self._config.maximum_staging)
        view.record_success()

    def _follow_order(self, view: EngineView, now: float) -> list[Instruction]:
        """Repeat an order that may be lost, give up one without effect, end a quarantine."""
        if view.quarantined_until is not None and now >= view.quarantined_until:
            view.quarantined_until = None
        opened = view.open_order
        if opened is None:
            return []
        if opened.order.kind is OrderKind.ACTIVATE:
            if now - opened.sent_at < self._config.activation_timeout_seconds:
                return []
            return self._fail(view, "no report shows its effect", now)
        if now - opened.first_sent_at >= self._config.stage_timeout_seconds:
            return self._fail(view, "no report shows the version staged", now)
        if now - opened.sent_at < self._config.stage_repeat_seconds:
            return []
        is_target = any(target.version == opened.order.version for target in self._targets)
        if opened.fetches and not is_target:
            view.open_order = None
            return []
        return [self._order(view, OrderKind.STAGE, opened.order.version, now)]

    def _fail(self, view: EngineView, detail: str, now: float) -> list[Instruction]:
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
        """Pause: an engine obeys a newer epoch, so this node's lease is probably gone.

        If the lease is still this node's after the pause, the engine got its epoch elsewhere,
        and the others are served on; it itself is not ordered before the next lease.
        """
        if self._fenced_until is not None:
            return []
        self._fenced_until = now + self._config.fence_pause_seconds
        fields: LogLineFields = {"pool": self.pool, "epoch": self.epoch, "engine": engine}
        return [WriteLogLine("rollout_fenced", fields)]


def _differ(before: EngineReport, after: EngineReport) -> bool:
    """Return whether a report differs from the last in state or weights."""
    return _weights_state(before) != _weights_state(after)


def _weights_state(report: EngineReport) -> tuple[object, ...]:
    return (
        report.incarnation,
        report.state,
        report.active_version,
        report.staged_versions,
        report.epoch,
    )


def _is_at_rest(view: EngineView, plan: _Plan) -> bool:
    return view.open_order is None and _is_on_target(view, plan)


def _is_on_target(view: EngineView, plan: _Plan) -> bool:
    target = plan.targets.get(view.name)
    return target is not None and view.active_version() == target.version
