"""Which weight versions the engines of this node's subset run, by their reports.

Owns recent reports, bounded by age and number; the scheduler uses the share.
"""

from __future__ import annotations

from collections import deque

from stagewalk.common.identities import ModelName, WeightVersion

MAXIMUM_REPORT_AGE_SECONDS = 1.5
"""Age up to which reports count: each engine is polled at least once in this time."""

MAXIMUM_REPORTS_PER_MODEL = 512
"""Reports of one model that are kept; the oldest go first."""


class ServedVersions:
    """Share of recent reports that name a version or a newer one.

    All engines are polled alike, so this is close to the share of engines, and it needs no
    table of them here. Without it a step that asks for new weights is sent whole to the first
    engine that has swapped, and queues there while the others come up with empty batches.
    """

    def __init__(self) -> None:
        self._reports: dict[ModelName, deque[tuple[float, WeightVersion]]] = {}

    def reported(self, model: ModelName, version: WeightVersion, now: float) -> None:
        """Record the version that an engine reports to run."""
        reports = self._reports.setdefault(model, deque(maxlen=MAXIMUM_REPORTS_PER_MODEL))
        reports.append((now, version))
        while reports[0][0] < now - MAXIMUM_REPORT_AGE_SECONDS:
            reports.popleft()

    def share_at_least(self, model: ModelName, minimum: WeightVersion, now: float) -> float:
        """Return the share of reports that name `minimum` or newer; 1 if there are no reports."""
        reports = self._reports.get(model, ())
        recent = [version for at, version in reports if at >= now - MAXIMUM_REPORT_AGE_SECONDS]
        if not recent:
            return 1.0
        return sum(1 for version in recent if version >= minimum) / len(recent)
