"""Updates the observed state of engines from failed attempts and gaps between events. Pure.

The state itself belongs to the worker (`workers.worker`).
"""

from __future__ import annotations

from stagewalk.gateway.batches.item_run import RunningAttempt
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault, WorkerLoad
from stagewalk.gateway.workers.worker import Worker

ASSUMED_LOADING_SECONDS = 0.25
"""How long an engine that refused an item despite free slots is assumed to load weights."""


def record_refusal(engine: Worker, model: str, failure: AttemptFailure, now: float) -> None:
    """Record a failed attempt; an engine that refuses despite free slots is loading weights."""
    if failure.fault is AttemptFault.WITHHELD:
        return
    engine.record_load(failure.load, now)
    if failure.fault is not AttemptFault.NOT_RUN:
        engine.record_failure(now)
    elif not _full(engine, failure.load, now):
        engine.loading_until[model] = now + ASSUMED_LOADING_SECONDS


def _full(engine: Worker, reported: WorkerLoad | None, now: float) -> bool:
    """Whether an engine refused because its slots were full, by its latest load report."""
    if reported is None and engine.reports_pace:
        reported = engine.recent_load(now)
    return reported is not None and reported.running >= reported.slots


def record_pace(engine: Worker, attempt: RunningAttempt, events: int, now: float) -> None:
    """Record an engine's time per event; the first event comes with the head and is skipped.

    Parameters
    ----------
    events
        Number of the item's events received so far, including the newest.
    """
    if events <= attempt.events_before + 1:
        return
    pace = attempt.pace(now - attempt.last_event_at)
    if pace is not None:
        engine.record_success(pace, now)
