"""The rules of weight swaps: which engine may be ordered, which swaps, how many load at once.

Pure functions of the engines' views; times in seconds of the holder's clock. An engine that loads
serves nothing, so a pool swaps in waves: at most a fraction of it loads at once, which is the
pool's capacity floor. Engines that are missing, or that a predecessor could still order to load,
count as loading. The constants, with their reasons, are fields of `WeightRolloutConfig`.
"""

from __future__ import annotations

from collections.abc import Sequence

from stagewalk.common.identities import Epoch, WeightVersion
from stagewalk.node.core.platform import EngineState
from stagewalk.node.weights.config import WeightRolloutConfig
from stagewalk.node.weights.engines import EngineView
from stagewalk.node.weights.targets import VersionTarget


def wave_size(engines: int, idle_weight: float, config: WeightRolloutConfig) -> int:
    """Return how many engines of a pool may be out of service for a swap at once.

    A pool whose tenants weigh idle time more swaps faster, so that its samples stay fresh.
    """
    fraction = config.base_loading_fraction + config.idle_weight_loading_fraction * idle_weight
    return max(1, round(engines * fraction))


def loads_now(engines: Sequence[EngineView]) -> int:
    """Return how many engines are out of service for a swap."""
    return sum(1 for view in engines if view.is_loading())


def may_be_ordered_elsewhere(
    engines: Sequence[EngineView], epoch: Epoch, held_seconds: float, config: WeightRolloutConfig
) -> int:
    """Return how many engines a predecessor could still order to load.

    These have not seen this holder's epoch; after the grace time the predecessor is taken for
    gone.
    """
    if held_seconds > config.missing_grace_seconds:
        return 0
    return sum(1 for view in engines if is_behind(view, epoch) and not view.is_loading())


def is_newly_missing(view: EngineView, config: WeightRolloutConfig, now: float) -> bool:
    """Return whether an engine without evidence counts as lost capacity for now.

    It may be loading still, or come back; after the grace time it is left out of the pool.
    """
    if view.is_draining() or view.has_evidence(now, config):
        return False
    since = view.listed_at
    if view.reported_at is not None:
        since = view.reported_at + config.evidence_seconds
    return now - since <= config.missing_grace_seconds


def is_behind(view: EngineView, epoch: Epoch) -> bool:
    """Return whether an engine has not seen this holder's epoch yet."""
    return view.report is not None and view.report.epoch < epoch


def may_order(view: EngineView, epoch: Epoch, now: float) -> bool:
    """Return whether an engine serves, obeys this holder, and has no order, fault or pause."""
    if view.report is None or view.open_order is not None or view.quarantined_until is not None:
        return False
    serving = view.report.state is EngineState.SERVING
    return serving and view.report.epoch <= epoch and now >= view.retry_at


def is_due_for_swap(view: EngineView, version: WeightVersion, target: VersionTarget) -> bool:
    """Return whether an engine is to be swapped to a version it has staged.

    One that runs something newer within its target is left alone: the newer one is on its way.
    """
    if view.report is None or version not in view.report.staged_versions:
        return False
    active = view.report.active_version
    if active == version:
        return False
    return active < version or active > target.version or not target.allows(active)


def poll_interval(view: EngineView, config: WeightRolloutConfig) -> float:
    """Return the largest age of an engine's report: short while an order or a swap is open."""
    busy = view.open_order is not None or view.report is None or view.is_loading()
    return config.busy_poll_seconds if busy else config.idle_poll_seconds
