"""The rule for when a version that engines have staged may be activated.

Owns how far each version has spread over the pool. Inputs: which engines hold it, and since when.
The constants are fields of `WeightRolloutConfig`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from stagewalk.common.identities import WeightVersion
from stagewalk.node.weights.config import WeightRolloutConfig
from stagewalk.node.weights.engines import EngineView
from stagewalk.node.weights.targets import VersionTarget


@dataclass(slots=True)
class _Spread:
    """When the first engine held a version, when one more last did, and how many do."""

    started_at: float
    grew_at: float
    holders: int


class StagingProgress:
    """Decides when enough engines of a pool hold a version to begin its activation.

    Waiting for most of them keeps the time short in which a pool runs several versions. The
    wait ends all the same when staging stalls, or takes so long that nothing newer would ever
    be run.
    """

    def __init__(self, config: WeightRolloutConfig) -> None:
        self._config = config
        self._spreads: dict[WeightVersion, _Spread] = {}

    def activation_version(
        self, target: VersionTarget, engines: list[EngineView], now: float
    ) -> WeightVersion | None:
        """Return the newest version within a target that enough of its engines hold.

        Were only the target itself ever activated, versions published faster than they can be
        staged would keep a pool on its old one for ever.
        """
        usable = [view for view in engines if view.quarantined_until is None]
        held = _holders(usable)
        for version in sorted(held, reverse=True):
            if version > target.version or not target.allows(version):
                continue
            if self._is_spread_enough(version, held[version], len(usable), now):
                return version
        return None

    def forget_older_than(self, version: WeightVersion) -> None:
        """Drop what is known of versions older than all targets."""
        for known in [known for known in self._spreads if known < version]:
            del self._spreads[known]

    def _is_spread_enough(
        self, version: WeightVersion, holders: int, engines: int, now: float
    ) -> bool:
        spread = self._spreads.setdefault(version, _Spread(now, now, holders))
        if holders > spread.holders:
            spread.holders = holders
            spread.grew_at = now
        if engines <= self._config.immediate_activation_engines:
            return True
        stalled = now - spread.grew_at >= self._config.stage_stall_seconds
        overdue = now - spread.started_at >= self._config.maximum_stage_wait_seconds
        return stalled or overdue or holders >= self._config.staged_quorum * engines


def _holders(engines: Iterable[EngineView]) -> dict[WeightVersion, int]:
    counts: dict[WeightVersion, int] = {}
    for view in engines:
        for version in view.holds():
            counts[version] = counts.get(version, 0) + 1
    return counts
