"""The rules of evidence: what a report or a refusal proves about an engine, and for how long.

Pure functions that change one `EngineRecord`; times in seconds of this node's clock. A report
vouches for an engine from when its poll was *sent*, since it may have been made any time later,
and for little more from when it was *made*, so that an engine whose reports are stuck expires
although polls succeed. After a refusal only a report made later makes the engine eligible again.
The constants are fields of `EngineTableConfig`.
"""

from __future__ import annotations

import math

from stagewalk.node.core.platform import EngineReport, EngineState
from stagewalk.node.routing.config import EngineTableConfig
from stagewalk.node.routing.engine_record import EngineRecord


def apply_report(
    record: EngineRecord, report: EngineReport, config: EngineTableConfig, now: float
) -> None:
    """Apply an engine's report; a new incarnation resets all that was known of the old."""
    sent_at = now if record.poll_sent_at is None else record.poll_sent_at
    record.poll_sent_at = None
    if report.engine != record.name or not _is_news(record, report, config):
        return
    _translate_clock(record, report, config, now)
    was_serving = record.report is not None and record.report.state is EngineState.SERVING
    if report.state is EngineState.SERVING and not was_serving:
        record.serving_since = now
    reported_at = min(now, report.generated_at + record.clock_offset)
    record.apply_report(report, reported_at)
    record.evidence_until = min(
        sent_at + config.evidence_seconds,
        reported_at + config.evidence_seconds + config.report_lag_seconds,
    )
    if reported_at > record.refused_at:
        record.refused_until = min(record.refused_until, record.spared_until)


def apply_refusal(
    record: EngineRecord, retry_after_seconds: float | None, config: EngineTableConfig, now: float
) -> bool:
    """Apply a refusal: no new work until a report made after it says that the engine serves.

    Returns
    -------
    bool
        Whether the engine looked full. Otherwise it refused for its state, as when it drains or
        swaps weights, which says nothing about the pool's room.
    """
    report = record.report
    if report is None:
        return False
    pause = config.refusal_pause_seconds
    if retry_after_seconds is not None:
        pause = min(pause, retry_after_seconds)
    record.refused_at = now
    record.refused_until = math.inf
    record.spared_until = now + pause
    return report.running + report.waiting + record.added_sequences >= report.batch_limit


def _is_news(record: EngineRecord, report: EngineReport, config: EngineTableConfig) -> bool:
    """Return whether a report is neither of an older incarnation nor older than the last.

    A newer incarnation resets the record; a large step back of the engine's clock resets only
    the estimate of its offset.
    """
    known = record.report
    if known is None:
        return True
    if report.incarnation != known.incarnation:
        if report.incarnation < known.incarnation:
            return False
        record.reset()
        return True
    age = known.generated_at - report.generated_at
    if age > config.clock_step_seconds:
        record.clock_offset = math.inf
        return True
    return age <= 0


def _translate_clock(
    record: EngineRecord, report: EngineReport, config: EngineTableConfig, now: float
) -> None:
    """Track the least lag seen: `generated_at` is of the engine's clock, not of this node's."""
    offset = now - report.generated_at
    drifted = (now - record.clock_offset_at) * config.clock_drift_fraction
    record.clock_offset = min(offset, record.clock_offset + drifted)
    record.clock_offset_at = now
