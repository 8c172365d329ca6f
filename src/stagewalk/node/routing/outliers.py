"""Outlier ejection: an engine that fails several attempts in a row gets no work for a while.

Only this node's own attempts count. The ejection time doubles with each consecutive ejection. If
more than `maximum_ejected_fraction` of the engines is ejected, the fault is probably elsewhere
and ejections are ignored.
"""

from __future__ import annotations

from stagewalk.node.routing.config import OutlierConfig
from stagewalk.node.routing.engine_record import EngineRecord


def record_success(record: EngineRecord) -> None:
    """Reset an engine's counts of consecutive failures and ejections."""
    record.failures_in_row = 0
    record.ejections_in_row = 0


def record_failure(record: EngineRecord, config: OutlierConfig, now: float) -> None:
    """Count a failure; eject the engine after `failures_to_eject` consecutive ones."""
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
    """Return the engines that are not ejected, or all of them if too many are."""
    kept = [record for record in records if record.ejected_until <= now]
    ejected = len(records) - len(kept)
    if ejected > config.maximum_ejected_fraction * len(records):
        return records
    return kept
