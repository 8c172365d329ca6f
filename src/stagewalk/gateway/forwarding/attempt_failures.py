"""What a failed attempt changes: the request's count, what is believed of the worker, the log."""

from __future__ import annotations

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.forwarding.inbound import InboundRequest
from stagewalk.gateway.forwarding.policy import ForwardedRequest
from stagewalk.gateway.ports.denials import Denial
from stagewalk.gateway.ports.workers import AttemptFailure, AttemptFault
from stagewalk.gateway.workers.worker import Worker


def note_failed_attempt(
    request: InboundRequest, state: ForwardedRequest, worker: Worker, failure: AttemptFailure
) -> None:
    """Count a failed attempt; a worker that failed without refusing is avoided for a while.

    One that was not even tried is not to blame.
    """
    now = steady_seconds()
    state.failed(failure)
    worker.note_load(failure.load, now)
    if failure.fault not in (AttemptFault.NOT_RUN, AttemptFault.WITHHELD):
        worker.note_failure(now)
    log_event(
        "attempt_failed",
        "warning",
        request=request.request_id,
        worker=worker.announcement.worker,
        fault=failure.fault,
        detail=failure.detail,
        occupancy=worker.occupancy(now),
        attempts=state.spent,
        **_loss_fields(request, failure),
    )


def note_withheld_attempt(
    request: InboundRequest, state: ForwardedRequest, worker: Worker, denial: Denial
) -> None:
    """Count an attempt that was denied its permit: nothing of it was sent."""
    worker.note_ended()
    withheld = AttemptFailure(AttemptFault.WITHHELD, denial.value)
    note_failed_attempt(request, state, worker, withheld)


def _loss_fields(request: InboundRequest, failure: AttemptFailure) -> dict[str, str]:
    """Return what tells whether requests of one content lose their workers again and again."""
    if failure.contact_loss is None:
        return {}
    return {"contact_loss": failure.contact_loss.value, "content": request.content.digest}
