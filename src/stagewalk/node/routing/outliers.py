"""The rule that sets failing engines aside for a while, but never most of them at once.

Inputs are this node's own attempts: failures in a row without a success eject an engine, for a
time that doubles with each ejection. If too many would be set aside the fault is likely not theirs,
and none is. The constants are fields of `OutlierConfig`.
"""

from __future__ import annotations

from stagewalk.node.routing.config import OutlierConfig
from stagewalk.node.routing.engine_record import EngineRecord


def record_success(record: EngineRecord) -> None:
    """End an engine's row of failures."""
    record.failures_in_row = 0
    record.ejections_in_row = 0


def record_failure(record: EngineRecord, config: OutlierConfig, now: float) -> None:
    """Count a failure and eject the engine when there were enough in a row."""
    record.failures_in_row += 1
    if record.failures_in_row < config.failures_to_eject:
        return
    doubled = config.ejection_seconds * 2.0 ** min(record.ejections_in_row, 16)
    record.ejected_until = now + min(config.maximum_ejection_seconds, doubled)
    record.ejections_in_row += 1
    record.failures_in_row = 0


def without_outliers(
    records: list[EngineRecord], config: OutlierConfig, now: float
) -> list[EngineRecord]:
    """Return the engines not set aside; all of them if too many are set aside."""
    kept = [record for record in records if record.ejected_until <= now]
    ejected = len(records) - len(kept)
    if ejected > config.maximum_ejected_fraction * len(records):
        return records
    return kept
