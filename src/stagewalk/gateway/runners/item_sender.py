"""Sends items of batches to engines, and reports response heads, events and ends.

Owns no state. Relies on `checked_sends` for the permit of each send.
"""

from __future__ import annotations

from collections.abc import Callable

from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.batches.item_run import ITEM_METHOD, item_content
from stagewalk.gateway.batches.messages import (
    AttemptEnded,
    AttemptEvent,
    AttemptHead,
    ItemAttemptFailed,
    SchedulerEvent,
    StartItem,
)
from stagewalk.gateway.batches.retry_rules import HTTP_OK
from stagewalk.gateway.forwarding.inbound import HOST_HEADER
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    OutboundRequest,
    SendPurpose,
    StreamEnd,
    StreamHead,
    StreamPart,
)
from stagewalk.gateway.runners.checked_sends import CheckedSends, PlannedSend


class ItemSender:
    """Carries out attempts at items.

    Parameters
    ----------
    report
        Handles heads and events as they arrive.
    """

    def __init__(self, sends: CheckedSends, report: Callable[[SchedulerEvent], None]) -> None:
        self._sends = sends
        self._report = report

    async def attempt(self, start: StartItem) -> AttemptEnded | ItemAttemptFailed:
        """Send an item to its engine; return how the attempt ended."""
        checked = await self._sends.check(_planned(start))
        if checked.is_error():
            return _failed(start, checked.error)
        delivery = _StreamReporter(start, self._report)
        result = await checked.ok.stream(_outbound(start), delivery.handle)
        if result.is_ok():
            self._sends.record_answer(checked.ok.sent)
            _log_end(start, result.ok)
            return AttemptEnded(start.attempt, result.ok.status)
        if not delivery.progressed:
            # An item whose attempts make progress does not crash each engine at the same point.
            await self._sends.record_lost_connection(checked.ok.sent, result.error)
        return _failed(start, result.error)


class _StreamReporter:
    """Reports an attempt's head and events; tracks whether any event arrived."""

    def __init__(self, start: StartItem, report: Callable[[SchedulerEvent], None]) -> None:
        self._start = start
        self._report = report
        self.progressed = False

    async def handle(self, part: StreamPart) -> None:
        """Report a part of the stream."""
        if isinstance(part, StreamHead):
            self._report(AttemptHead(self._start.attempt, part))
        else:
            self.progressed = True
            self._report(AttemptEvent(self._start.attempt, part))


def _planned(start: StartItem) -> PlannedSend:
    content = item_content(start.host, start.item)
    return PlannedSend(
        start.batch, start.item.item, content, start.worker, start.tenant, is_item=True
    )


def _outbound(start: StartItem) -> OutboundRequest:
    return OutboundRequest(
        request_id=start.item.item,
        method=ITEM_METHOD,
        target=start.item.path,
        headers=((HOST_HEADER, start.host), *start.item.headers),
        body=start.item.body,
        deadline_seconds=None,
        resume_after=start.resume_after,
        tenant=start.tenant,
        priority=start.priority,
        purpose=SendPurpose.ITEM,
    )


def _failed(start: StartItem, failure: AttemptFailure) -> ItemAttemptFailed:
    log_event(
        "item_attempt_failed",
        "warning",
        item=start.item.item,
        attempt=start.attempt,
        worker=start.worker,
        fault=failure.fault,
        detail=failure.detail,
    )
    return ItemAttemptFailed(start.attempt, failure)


def _log_end(start: StartItem, end: StreamEnd) -> None:
    log_event(
        "text_whole" if end.status == HTTP_OK else "item_attempt_refused",
        item=start.item.item,
        batch=start.batch,
        attempt=start.attempt,
        worker=start.worker,
        status=end.status,
    )
