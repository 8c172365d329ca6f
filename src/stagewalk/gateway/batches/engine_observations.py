"""Updates what is known of engines by how attempts at items went. Pure.

Owns nothing; the state is the worker's (`workers.worker`). Inputs: failures, and gaps between
events.
"""

from __future__ import annotations

from stagewalk.gateway.batches.item_run import RunningAttempt
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, WorkerLoad
from stagewalk.gateway.workers.worker import Worker

ASSUMED_LOADING_SECONDS = 0.25
"""How long an engine that refused with slots free counts as loading weights."""


def record_refusal(engine: Worker, model: str, failure: AttemptFailure, now: float) -> None:
    """Record a failed attempt: an engine that refuses with slots free is loading weights."""
    if failure.fault is AttemptFault.WITHHELD:
        return
    engine.record_load(failure.load, now)
    if failure.fault is not AttemptFault.NOT_RUN:
        engine.record_failure(now)
    elif not _full(engine, failure.load, now):
        engine.loading_until[model] = now + ASSUMED_LOADING_SECONDS


def _full(engine: Worker, told: WorkerLoad | None, now: float) -> bool:
    """Whether an engine refused for want of a slot, by what it told then or just before."""
    if told is None and engine.reports_pace:
        told = engine.recent_load(now)
    return told is not None and told.running >= told.slots


def record_pace(engine: Worker, attempt: RunningAttempt, events: int, now: float) -> None:
    """Record an engine's time per event; the first one comes with the head and gives none.

    Parameters
    ----------
    events
        Events held of the item, the newest one among them.
    """
    if events <= attempt.events_before + 1:
        return
    pace = attempt.pace(now - attempt.last_event_at)
    if pace is not None:
        engine.record_success(pace, now)
