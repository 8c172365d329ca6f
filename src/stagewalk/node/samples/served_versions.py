"""Weight versions that the engines of this node's subset run, from their recent reports."""

from __future__ import annotations

from collections import deque

from stagewalk.common.identities import ModelName, WeightVersion

MAXIMUM_REPORT_AGE_SECONDS = 1.5
"""Age up to which reports count; each engine is polled at least once in this time."""

MAXIMUM_REPORTS_PER_MODEL = 512
"""Most reports of one model that are kept; the oldest are dropped first."""


class ServedVersions:
    """Fraction of recent reports that name a given version or a newer one.

    All engines are polled equally often, so this approximates the fraction of engines. It keeps a
    step that needs new weights from being sent entirely to the first engine that has loaded them.
    """

    def __init__(self) -> None:
        self._reports: dict[ModelName, deque[tuple[float, WeightVersion]]] = {}

    def record_report(self, model: ModelName, version: WeightVersion, now: float) -> None:
        """Record the version that an engine reports."""
        reports = self._reports.setdefault(model, deque(maxlen=MAXIMUM_REPORTS_PER_MODEL))
        reports.append((now, version))
        while reports[0][0] < now - MAXIMUM_REPORT_AGE_SECONDS:
            reports.popleft()

    def fraction_at_least(self, model: ModelName, minimum: WeightVersion, now: float) -> float:
        """Return the fraction of reports that name `minimum` or newer; 1 without reports."""
        reports = self._reports.get(model, ())
        recent = [version for at, version in reports if at >= now - MAXIMUM_REPORT_AGE_SECONDS]
        if not recent:
            return 1.0
        return sum(1 for version in recent if version >= minimum) / len(recent)
