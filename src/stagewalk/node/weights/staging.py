"""Staging progress: when a version that engines have staged may be activated.

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
class _StagingState:
    """When a version was first held, when its number of holders last grew, and that number."""

    started_at: float
    last_holder_at: float
    holders: int


class StagingProgress:
    """Decides when enough engines of a pool hold a version to begin its activation.

    Waiting for most engines shortens the time in which a pool runs several versions. The wait
    also ends when staging stalls or takes too long.
    """

    def __init__(self, config: WeightRolloutConfig) -> None:
        self._config = config
        self._staging_states: dict[WeightVersion, _StagingState] = {}

    def activation_version(
        self, target: VersionTarget, engines: list[EngineView], now: float
    ) -> WeightVersion | None:
        """Return the newest version allowed by a target that enough of its engines hold.

        Versions older than the target count too. Otherwise a pool would never be updated if
        versions are published faster than they can be staged.
        """
        usable = [view for view in engines if view.quarantined_until is None]
        held = _holders(usable)
        for version in sorted(held, reverse=True):
            if version > target.version or not target.allows(version):
                continue
            if self._is_staged_widely(version, held[version], len(usable), now):
                return version
        return None

    def drop_older_than(self, version: WeightVersion) -> None:
        """Drop the progress of versions older than a given one."""
        for known in [known for known in self._staging_states if known < version]:
            del self._staging_states[known]

    def _is_staged_widely(
        self, version: WeightVersion, holders: int, engines: int, now: float
    ) -> bool:
        progress = self._staging_states.setdefault(version, _StagingState(now, now, holders))
        if holders > progress.holders:
            progress.holders = holders
            progress.last_holder_at = now
        if engines <= self._config.immediate_activation_engines:
            return True
        stalled = now - progress.last_holder_at >= self._config.stage_stall_seconds
        overdue = now - progress.started_at >= self._config.maximum_stage_wait_seconds
        return stalled or overdue or holders >= self._config.staged_quorum * engines


def _holders(engines: Iterable[EngineView]) -> dict[WeightVersion, int]:
    counts: dict[WeightVersion, int] = {}
    for view in engines:
        for version in view.held_versions():
            counts[version] = counts.get(version, 0) + 1
    return counts
