"""One pool's rollout: which order each engine gets next, from reports alone."""

from __future__ import annotations

from dataclasses import dataclass, field

from stagewalk.configuration.parameters import Tenant
from stagewalk.core.identities import EngineName, Epoch, ModelName, WeightVersion
from stagewalk.core.instructions import Instruction, LogEvent, OrderEngine, PollEngine
from stagewalk.core.platform import (
    EngineOrder,
    EngineReport,
    EngineState,
    OrderKind,
    OrderOutcome,
)
from stagewalk.weights.config import RolloutConfig
from stagewalk.weights.engines import EngineView, OpenOrder
from stagewalk.weights.status import PoolStatus, QuarantineStatus
from stagewalk.weights.targets import (
    VersionTarget,
    assign_targets,
    pool_idle_weight,
    pool_targets,
)

LogFields = dict[str, str | int | float | bool]


@dataclass(slots=True)
class _Plan:
    """One evaluation's view of a pool: engines that count, and each one's target."""

    engines: list[EngineView]
    targets: dict[EngineName, VersionTarget]
    output: list[Instruction] = field(default_factory=list)


@dataclass(slots=True)
class _StagingProgress:
    """How a version spreads over a pool: when the first engine held it, and the last so far."""

    began_at: float
    grew_at: float
    holders: int


class PoolRollout:
    """Brings a pool's engines to the versions its tenants want, while this node holds its duty.

    Nothing here outlasts the node: a new holder learns all it needs from the engines' reports.
    """

    def __init__(self, pool: ModelName, epoch: Epoch, source: str, config: RolloutConfig) -> None:
        self.pool = pool
        self.epoch = epoch
        self.engines: dict[EngineName, EngineView] = {}
        self.published: tuple[WeightVersion, ...] = ()
        self.tenants: tuple[Tenant, ...] = ()
        self._source = source
        self._config = config
        self._orders_sent = 0
        self._staging_limit = config.initial_staging
        self._acquired_at: float | None = None
        self._staging: dict[WeightVersion, _StagingProgress] = {}
        self._fenced = False

    @property
    def is_fenced(self) -> bool:
        """Say whether an engine has obeyed a newer holder: this one is to send no more orders."""
        return self._fenced

    def take_report(self, report: EngineReport, now: float) -> list[Instruction]:
        """Take a report and settle the engine's open order by it."""
        view = self.engines.get(report.engine)
        if view is None or not view.take_report(report, now):
            return []
        if report.epoch > self.epoch:
            return self._fence(report.engine, report.epoch)
        if view.open_order is None:
            return []
        return self._settle(view, view.open_order, report, now)

    def take_answer(
        self, engine: EngineName, order_id: str, outcome: OrderOutcome, now: float
    ) -> list[Instruction]:
        """Take an engine's answer to an order. What the order came to is in its reports."""
        view = self.engines.get(engine)
        if view is None or view.open_order is None:
            return []
        if view.open_order.order.order_id != order_id:
            return []
        match outcome:
            case OrderOutcome.ACCEPTED:
                view.open_order.answered = True
                return []
            case OrderOutcome.STALE_EPOCH:
                view.open_order = None
                return self._fence(engine, None)
            case OrderOutcome.REFUSED:
                return self._fail(view, "refused", now)
            case OrderOutcome.UNKNOWN:
                # It may have been obeyed: reports will tell, or the order's time will run out.
                return []

    def evaluate(self, now: float) -> list[Instruction]:
        """Poll engines, give up on orders without effect, and send the next ones."""
        if self._acquired_at is None:
            self._acquired_at = now
        if self._fenced:
            return []
        output = self._poll(now)
        for view in self.engines.values():
            output += self._expire_order(view, now)
            self._end_quarantine(view, now)
        plan = self._plan(now)
        self._stage(plan, now)
        if now - self._acquired_at >= self._config.settle_seconds:
            self._activate(plan, now)
        return output + plan.output

    def status(self, now: float) -> PoolStatus:
        """Return the rollout's progress."""
        plan = self._plan(now)
        versions: dict[int, int] = {}
        for view in plan.engines:
            version = _active(view)
            versions[version] = versions.get(version, 0) + 1
        return PoolStatus(
            pool=self.pool,
            epoch=self.epoch,
            targets=tuple(target.version for target in self._targets()),
            engines=len(plan.engines),
            on_target=sum(1 for view in plan.engines if _is_on_target(view, plan)),
            staging=sum(1 for view in plan.engines if view.is_under(OrderKind.STAGE)),
            activating=sum(1 for view in plan.engines if _is_loading(view)),
            missing=sum(
                1 for view in self.engines.values() if not view.has_evidence(now, self._config)
            ),
            active_versions=versions,
            quarantined=tuple(
                QuarantineStatus(
                    view.name,
                    _active(view),
                    plan.targets[view.name].version if view.name in plan.targets else 0,
                    view.failures,
                    view.quarantined_until - now,
                )
                for view in plan.engines
                if view.quarantined_until is not None
            ),
        )

    def _targets(self) -> tuple[VersionTarget, ...]:
        return pool_targets(self.pool, self.tenants, self.published)

    def _plan(self, now: float) -> _Plan:
        engines = [
            self.engines[name]
            for name in sorted(self.engines)
            if self._counts(self.engines[name], now)
        ]
        holdings = {view.name: view.holds() for view in engines}
        return _Plan(engines, assign_targets(self._targets(), holdings))

    def _counts(self, view: EngineView, now: float) -> bool:
        return view.has_evidence(now, self._config) and not view.is_going()

    def _poll(self, now: float) -> list[Instruction]:
        """Ask engines for reports: often those under orders, seldom those at rest."""
        polls: list[Instruction] = []
        for name in sorted(self.engines):
            view = self.engines[name]
            if len(polls) >= self._config.maximum_polls_per_evaluation:
                break
            busy = view.open_order is not None or view.report is None or _is_loading(view)
            interval = self._config.busy_poll_seconds if busy else self._config.idle_poll_seconds
            asked_at = max(view.polled_at or -interval, view.reported_at or -interval)
            if now - asked_at >= interval:
                view.polled_at = now
                polls.append(PollEngine(view.name, view.address))
        return polls

    def _stage(self, plan: _Plan, now: float) -> None:
        """Have engines fetch their targets, few at once: the store limits its rate."""
        fetching = sum(1 for view in plan.engines if view.is_under(OrderKind.STAGE))
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
        """Swap engines to their targets, as many at once as the capacity floor leaves free."""
        allowed = self._loading_allowance(plan, now)
        versions = self._activation_versions(plan, now)
        for view in plan.engines:
            if allowed <= 0:
                return
            target = plan.targets.get(view.name)
            if target is None or not self._may_order(view, now):
                continue
            version = versions.get(target.version)
            if version is None or not _wants(view, version, target):
                continue
            allowed -= 1
            plan.output.append(self._order(view, OrderKind.ACTIVATE, version, now))

    def _loading_allowance(self, plan: _Plan, now: float) -> int:
        """Return how many more engines may load now without going below the capacity floor."""
        missing = sum(1 for view in self.engines.values() if self._is_newly_missing(view, now))
        size = len(plan.engines) + missing
        idle_weight = pool_idle_weight(self.pool, self.tenants)
        fraction = self._config.base_loading_fraction
        fraction += self._config.idle_weight_loading_fraction * idle_weight
        loading = sum(1 for view in plan.engines if _is_loading(view))
        return max(1, int(size * fraction)) - loading - missing

    def _is_newly_missing(self, view: EngineView, now: float) -> bool:
        """Say whether an engine without evidence may come back, or be loading, still."""
        if view.is_going() or view.has_evidence(now, self._config):
            return False
        since = view.listed_at
        if view.reported_at is not None:
            since = view.reported_at + self._config.evidence_seconds
        return now - since <= self._config.missing_grace_seconds

    def _activation_versions(self, plan: _Plan, now: float) -> dict[WeightVersion, WeightVersion]:
        """Return, for each target, the version to activate now: the newest held by enough.

        Were only the target itself ever activated, versions published faster than they can be
        staged would keep a pool on its old one for ever.
        """
        chosen: dict[WeightVersion, WeightVersion] = {}
        for target in self._targets():
            members = [view for view in plan.engines if plan.targets.get(view.name) == target]
            usable = [view for view in members if view.quarantined_until is None]
            candidates = sorted({version for view in usable for version in view.holds()})
            for version in reversed(candidates):
                if not target.allows(version) or version > target.version:
                    continue
                if self._is_staged_enough(version, usable, now):
                    chosen[target.version] = version
                    break
        return chosen

    def _is_staged_enough(
        self, version: WeightVersion, engines: list[EngineView], now: float
    ) -> bool:
        holders = sum(1 for view in engines if version in view.holds())
        if holders == 0:
            return False
        progress = self._staging.setdefault(version, _StagingProgress(now, now, holders))
        if holders > progress.holders:
            progress.holders = holders
            progress.grew_at = now
        if len(engines) <= self._config.immediate_activation_engines:
            return True
        stalled = now - progress.grew_at >= self._config.stage_stall_seconds
        overdue = now - progress.began_at >= self._config.maximum_stage_wait_seconds
        return stalled or overdue or holders >= self._config.staged_quorum * len(engines)

    def _may_order(self, view: EngineView, now: float) -> bool:
        free = view.open_order is None and view.quarantined_until is None
        serving = view.report is not None and view.report.state is EngineState.SERVING
        return free and serving and now >= view.retry_at

    def _order(
        self, view: EngineView, kind: OrderKind, version: WeightVersion, now: float
    ) -> OrderEngine:
        self._orders_sent += 1
        order_id = f"{self.pool}.{self.epoch}.{self._source}.{self._orders_sent}"
        order = EngineOrder(order_id, self.epoch, kind, self.pool, version)
        view.open_order = OpenOrder(order, now)
        return OrderEngine(view.name, view.address, order)

    def _settle(
        self, view: EngineView, opened: OpenOrder, report: EngineReport, now: float
    ) -> list[Instruction]:
        """Close an engine's open order if a report shows what it came to."""
        version = opened.order.version
        if opened.order.kind is OrderKind.STAGE:
            if version in view.holds():
                view.note_success()
                self._staging_limit = min(self._staging_limit + 1, self._config.maximum_staging)
            return []
        if report.state is not EngineState.SERVING:
            return []
        if report.active_version == version:
            view.note_success()
            return []
        if opened.seen_loading:
            return self._fail(view, f"came up on version {report.active_version}", now)
        return []

    def _expire_order(self, view: EngineView, now: float) -> list[Instruction]:
        opened = view.open_order
        if opened is None:
            return []
        staging = opened.order.kind is OrderKind.STAGE
        limit = self._config.order_answer_seconds
        if opened.answered or not staging:
            limit = self._config.activation_timeout_seconds
        if opened.answered and staging:
            limit = self._config.stage_timeout_seconds
        if now - opened.sent_at < limit:
            return []
        return self._fail(view, "no report shows its effect", now)

    def _fail(self, view: EngineView, detail: str, now: float) -> list[Instruction]:
        opened = view.open_order
        if opened is None:
            return []
        if opened.order.kind is OrderKind.STAGE:
            self._staging_limit = max(1, self._staging_limit // 2)
        view.note_failure(now, self._config)
        fields: LogFields = {
            "engine": view.name,
            "order": opened.order.order_id,
            "kind": opened.order.kind,
            "version": opened.order.version,
            "active_version": _active(view),
            "failures": view.failures,
            "detail": detail,
        }
        output: list[Instruction] = [LogEvent("engine_order_failed", fields)]
        if view.failures >= self._config.quarantine_after_failures:
            view.quarantined_until = now + self._config.quarantine_seconds
            output.append(LogEvent("engine_quarantined", dict(fields)))
        return output

    def _end_quarantine(self, view: EngineView, now: float) -> None:
        if view.quarantined_until is not None and now >= view.quarantined_until:
            view.quarantined_until = None

    def _fence(self, engine: EngineName, epoch: Epoch | None) -> list[Instruction]:
        """Stop: an engine obeys a newer holder, so this one's lease is long gone."""
        if self._fenced:
            return []
        self._fenced = True
        fields: LogFields = {"pool": self.pool, "epoch": self.epoch, "engine": engine}
        if epoch is not None:
            fields["newer_epoch"] = epoch
        return [LogEvent("rollout_fenced", fields)]


def _active(view: EngineView) -> WeightVersion:
    return WeightVersion(0) if view.report is None else view.report.active_version


def _is_on_target(view: EngineView, plan: _Plan) -> bool:
    target = plan.targets.get(view.name)
    return target is not None and _active(view) == target.version


def _is_loading(view: EngineView) -> bool:
    ordered = view.is_under(OrderKind.ACTIVATE)
    return ordered or (view.report is not None and view.report.state is EngineState.LOADING)


def _wants(view: EngineView, version: WeightVersion, target: VersionTarget) -> bool:
    """Say whether an engine is to be swapped to a version it has staged.

    One that runs something newer within its target is left alone: the newer one is on its way.
    """
    if view.report is None or version not in view.report.staged_versions:
        return False
    active = view.report.active_version
    if active == version:
        return False
    return active < version or active > target.version or not target.allows(active)
