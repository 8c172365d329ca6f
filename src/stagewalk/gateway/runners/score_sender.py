"""Sends score calls to the scoring workers, and returns how each attempt ended.

Owns no state. Relies on `checked_sends` for the permit of each send.
"""

from __future__ import annotations

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.forwarding.inbound import HOST_HEADER
from stagewalk.gateway.ports.workers import OutboundRequest, SendPurpose
from stagewalk.gateway.runners.checked_sends import CheckedSends, PlannedSend
from stagewalk.gateway.scoring.messages import (
    SCORE_METHOD,
    ScoreAnswered,
    ScoreAttemptFailed,
    ScoreEvent,
    SendScore,
    score_content,
)

HTTP_OK = 200


class ScoreSender:
    """Carries out attempts at score calls."""

    def __init__(self, sends: CheckedSends) -> None:
        self._sends = sends

    async def attempt(self, send: SendScore) -> ScoreEvent:
        """Send a score call to its worker; return how the attempt ended."""
        began = steady_seconds()
        event = await self._send(send)
        _log_outcome(send, event, steady_seconds() - began)
        return event

    async def _send(self, send: SendScore) -> ScoreEvent:
        checked = await self._sends.check(_planned(send))
        if checked.is_error():
            return ScoreAttemptFailed(send.attempt, checked.error)
        result = await checked.ok.send(_outbound(send))
        if result.is_ok():
            self._sends.record_answer(checked.ok.sent)
            return ScoreAnswered(send.attempt, result.ok)
        await self._sends.record_lost_connection(checked.ok.sent, result.error)
        return ScoreAttemptFailed(send.attempt, result.error)


def _planned(send: SendScore) -> PlannedSend:
    content = score_content(send.call)
    return PlannedSend(send.batch, send.call.call, content, send.worker, send.tenant, is_item=False)


def _outbound(send: SendScore) -> OutboundRequest:
    return OutboundRequest(
        request_id=send.call.call,
        method=SCORE_METHOD,
        target=send.call.path,
        headers=((HOST_HEADER, send.call.host),),
        body=send.call.body,
        deadline_seconds=send.deadline_seconds,
        tenant=send.tenant,
        purpose=SendPurpose.SCORE,
    )


def _log_outcome(send: SendScore, event: ScoreEvent, seconds: float) -> None:
    if isinstance(event, ScoreAnswered):
        good = event.answer.status == HTTP_OK
        outcome, detail = f"answered_{event.answer.status}", ""
    else:
        good = False
        outcome, detail = event.failure.fault.value, event.failure.detail
    log_event(
        "score_call_ended",
        "info" if good else "warning",
        item=send.item,
        batch=send.batch,
        call=send.call.call,
        attempt=send.attempt,
        worker=send.worker,
        outcome=outcome,
        detail=detail,
        seconds=seconds,
    )
