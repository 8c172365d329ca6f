"""Sends items of batches to engines, and tells the scheduler what they make of them."""

from __future__ import annotations

from collections.abc import Callable

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batches.item_run import ITEM_METHOD, item_content
from stagewalk.gateway.batches.messages import (
    AttemptBroken,
    AttemptEnded,
    AttemptEvent,
    AttemptHead,
    SchedulerEvent,
    StartItem,
)
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    AttemptFault,
    OutboundRequest,
    StreamEnd,
    StreamHead,
    StreamPart,
    WorkerClient,
)
from stagewalk.gateway.quarantine.crash_reports import (
    PUBLISH_FROM_CRASHES,
    CrashReports,
    SentRequest,
)
from stagewalk.gateway.runners.run_views import RunViews
from stagewalk.gateway.workers.table import WorkerTable

SUCCESS = 200
HOST_HEADER = "host"


class ItemSender:
    """Carries out attempts at items.

    Parameters
    ----------
    tell
        Takes heads and events as they arrive.
    views
        Tell whether something of a batch may be sent to an engine at a time.
    crashes
        Take which items lost their engine.
    """

    def __init__(
        self,
        client: WorkerClient,
        workers: WorkerTable,
        eligibility: Eligibility,
        tell: Callable[[SchedulerEvent], None],
        views: RunViews,
        *,
        crashes: CrashReports,
    ) -> None:
        self._client = client
        self._workers = workers
        self._eligibility = eligibility
        self._tell = tell
        self._views = views
        self._crashes = crashes

    async def attempt(self, start: StartItem) -> AttemptEnded | AttemptBroken:
        """Send an item to its engine; return how the attempt ended."""
        content = item_content(start.host, start.item)
        denial = await self._crashes.denial(content, item=True)
        if denial is not None:
            return self._broken(start, AttemptFailure(AttemptFault.WITHHELD, denial.value))
        worker = self._workers.worker(start.worker)
        if worker is None:
            gone = AttemptFailure(AttemptFault.NOT_SENT, "the worker is gone")
            return AttemptBroken(start.attempt, gone)
        now = steady_seconds()
        if not self._views.may_start(start.batch, now):
            # Decided in time, but this task came to its turn late: the loop was busy or stopped.
            withheld = AttemptFailure(AttemptFault.WITHHELD, "the view of the log is too old")
            return AttemptBroken(start.attempt, withheld)
        scope = self._eligibility.scope(start.item.path, content, start.tenant)
        permit = self._eligibility.permit(
            worker, scope, now, lambda at: self._views.denial(start.batch, at)
        )
        if permit.is_error():
            return self._broken(start, AttemptFailure(AttemptFault.WITHHELD, permit.error.value))
        route = "" if scope is None else scope.route.name
        known_crashes = self._crashes.known_crashes(content)
        sent = SentRequest(start.item.item, content, worker, route, known_crashes, now)
        delivery = _Delivery(start, self._tell)
        result = await self._client.stream(permit.ok, _outbound(start), delivery.take)
        if result.is_ok():
            self._crashes.answered(content)
            _log_end(start, result.ok)
            return AttemptEnded(start.attempt, result.ok.status)
        if not delivery.progressed:
            # One that got further than before does not end each engine at the same place.
            await self._crashes.connection_lost(sent, result.error)
            self._crashes.publish(content, PUBLISH_FROM_CRASHES)
        return self._broken(start, result.error)

    @staticmethod
    def _broken(start: StartItem, failure: AttemptFailure) -> AttemptBroken:
        log_event(
            "item_attempt_failed",
            "warning",
            item=start.item.item,
            attempt=start.attempt,
            worker=start.worker,
            fault=failure.fault,
            detail=failure.detail,
        )
        return AttemptBroken(start.attempt, failure)


class _Delivery:
    """Tells of an attempt's head and events, and whether any event came."""

    def __init__(self, start: StartItem, tell: Callable[[SchedulerEvent], None]) -> None:
        self._start = start
        self._tell = tell
        self.progressed = False

    async def take(self, part: StreamPart) -> None:
        """Take a part of the stream."""
        if isinstance(part, StreamHead):
            self._tell(AttemptHead(self._start.attempt, part))
        else:
            self.progressed = True
            self._tell(AttemptEvent(self._start.attempt, part))


def _log_end(start: StartItem, end: StreamEnd) -> None:
    log_event(
        "text_whole" if end.status == SUCCESS else "item_attempt_refused",
        item=start.item.item,
        batch=start.batch,
        attempt=start.attempt,
        worker=start.worker,
        status=end.status,
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
    )
