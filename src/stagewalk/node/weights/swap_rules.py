"""Rules of weight swaps: which engines may get orders or swap, and how many load at a time.

Pure functions; times are in seconds of the lease holder's clock. An engine that loads weights can't
serve, so a pool swaps in waves of limited size, and the rest is its capacity floor. Engines that
are missing, or that a predecessor could still order to load, count as loading.
The constants are fields of `WeightRolloutConfig`.
"""

from __future__ import annotations

from collections.abc import Sequence

from stagewalk.common.identities import Epoch, WeightVersion
from stagewalk.node.core.platform import EngineState
from stagewalk.node.weights.config import WeightRolloutConfig
from stagewalk.node.weights.engines import EngineView
from stagewalk.node.weights.targets import VersionTarget


def maximum_loading(engines: int, idle_weight: float, config: WeightRolloutConfig) -> int:
    """Return how many engines of a pool may be out of service for a swap at the same time.

    The number grows with the idle weight of the pool's tenants.
    """
    fraction = config.base_loading_fraction + config.idle_weight_loading_fraction * idle_weight
    return max(1, round(engines * fraction))


def loading_count(engines: Sequence[EngineView]) -> int:
    """Return how many engines are out of service for a swap."""
    return sum(1 for view in engines if view.is_loading())


def orderable_by_predecessor(
    engines: Sequence[EngineView], epoch: Epoch, lease_seconds: float, config: WeightRolloutConfig
) -> int:
    """Return how many engines a predecessor could still order to load.

    These engines have not received this holder's epoch yet. After the grace period the predecessor
    is assumed to be gone.
    """
    if lease_seconds > config.missing_grace_seconds:
        return 0
    return sum(1 for view in engines if has_older_epoch(view, epoch) and not view.is_loading())


def is_recently_missing(view: EngineView, config: WeightRolloutConfig, now: float) -> bool:
    """Return whether an engine without a valid report still counts as lost capacity.

    It may be loading or come back; after the grace period it is ignored.
    """
    if view.is_draining() or view.has_recent_report(now, config):
        return False
    since = view.listed_at
    if view.reported_at is not None:
        since = view.reported_at + config.evidence_seconds
    return now - since <= config.missing_grace_seconds


def has_older_epoch(view: EngineView, epoch: Epoch) -> bool:
    """Return whether an engine has not received this holder's epoch yet."""
    return view.report is not None and view.report.epoch < epoch


def may_order(view: EngineView, epoch: Epoch, now: float) -> bool:
    """Return whether an engine serves and may get an order from this holder now."""
    if view.report is None or view.open_order is not None or view.quarantined_until is not None:
        return False
    serving = view.report.state is EngineState.SERVING
    return serving and view.report.epoch <= epoch and now >= view.retry_at


def is_due_for_swap(view: EngineView, version: WeightVersion, target: VersionTarget) -> bool:
    """Return whether an engine should swap to a version that it has staged.

    An engine that runs a newer version allowed by its target is not swapped back.
    """
    if view.report is None or version not in view.report.staged_versions:
        return False
    active = view.report.active_version
    if active == version:
        return False
    return active < version or active > target.version or not target.allows(active)


def poll_interval(view: EngineView, config: WeightRolloutConfig) -> float:
    """Return the poll interval of an engine: short without a report, with an order or in a swap."""
    busy = view.open_order is not None or view.report is None or view.is_loading()
    return config.busy_poll_seconds if busy else config.idle_poll_seconds
