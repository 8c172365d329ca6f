"""How reports and refusals change the record of an engine, and how long a report is valid.

Times are in seconds of this node's clock. A report's lifetime counts from when its poll was
*sent*, since the report may have been made at any time after that. It is also bounded from when
the report was *made*, so that an engine that no longer updates its report expires although polls
succeed. After a refusal, only a report made later makes the engine eligible again.
"""

from __future__ import annotations

import math

from stagewalk.node.core.platform import EngineReport, EngineState
from stagewalk.node.routing.config import EngineTableConfig
from stagewalk.node.routing.engine_record import EngineRecord


def apply_report(
    record: EngineRecord, report: EngineReport, config: EngineTableConfig, now: float
) -> None:
    """Apply an engine's report; a new incarnation resets the record."""
    sent_at = now if record.poll_sent_at is None else record.poll_sent_at
    record.poll_sent_at = None
    if report.engine != record.name or not _is_newer_report(record, report, config):
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
        Whether the engine looked full. Otherwise it refused because of its state, such as
        draining or swapping weights, which says nothing about the pool's free capacity.
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


def _is_newer_report(record: EngineRecord, report: EngineReport, config: EngineTableConfig) -> bool:
    """Return whether a report is neither from an older incarnation nor older than the last.

    A newer incarnation resets the record. If the engine's clock was set back by more than
    `clock_step_seconds`, only the estimate of its offset is reset.
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
    """Update the estimated offset between the engine's clock and this node's."""
    offset = now - report.generated_at
    drifted = (now - record.clock_offset_at) * config.clock_drift_fraction
    record.clock_offset = min(offset, record.clock_offset + drifted)
    record.clock_offset_at = now
