"""What attempts at items teach of the engines they ran at."""

from __future__ import annotations

from stagewalk.gateway.batches.item_run import RunningAttempt
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault
from stagewalk.gateway.workers.worker import Worker

REFUSAL_PAUSE_SECONDS = 0.25


def note_refusal(engine: Worker, model: str, failure: AttemptFailure, now: float) -> None:
    """Avoid an engine that failed; one that refuses with places free loads weights."""
    if failure.fault is AttemptFault.WITHHELD:
        return
    engine.note_load(failure.load, now)
    if failure.fault is not AttemptFault.NOT_RUN:
        engine.note_failure(now)
    elif failure.load is None or failure.load.running < failure.load.slots:
        engine.loading_until[model] = now + REFUSAL_PAUSE_SECONDS


def note_pace(engine: Worker, attempt: RunningAttempt, events: int, now: float) -> None:
    """Learn an engine's time per event; the first one comes with the head and tells none.

    Parameters
    ----------
    events
        Events held of the item, the newest one among them.
    """
    if events <= attempt.events_before + 1:
        return
    pace = attempt.pace(now - attempt.last_event_at)
    if pace is not None:
        engine.note_success(pace, now)
