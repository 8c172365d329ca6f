"""Checks, just before an item or a score call is sent, that it may still go to its worker.

The only place where runners obtain the permit for a send, and report a lost connection. Owns no
state. Relies on the crash reports for contents that crash their workers, on the batch views for how
old the batch's view is, and on `eligibility` for all other rules; a permit is bound to its send.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from expression import Error, Ok, Result

from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.eligibility.core import Eligibility
from stagewalk.gateway.ports.workers import (
    AttemptFailure,
    AttemptFault,
    OutboundRequest,
    StreamEnd,
    StreamSink,
    WorkerAnswer,
    WorkerClient,
)
from stagewalk.gateway.quarantine.content import RequestContent
from stagewalk.gateway.quarantine.crash_reports import (
    MINIMUM_CRASHES_TO_PUBLISH,
    CrashReports,
    SentRequest,
)
from stagewalk.gateway.runners.batch_views import BatchViews
from stagewalk.gateway.workers.table import WorkerTable


@dataclass(frozen=True, slots=True)
class PlannedSend:
    """A request that the scheduler decided to send for a batch.

    Attributes
    ----------
    worker
        Name of the worker chosen.
    is_item
        Whether it is an item of the batch; otherwise a score call.
    """

    batch: str
    request_id: str
    content: RequestContent
    worker: str
    tenant: str | None
    is_item: bool


@dataclass(frozen=True, slots=True)
class CheckedSend:
    """A send that is permitted; `send` and `stream` hold its permit and are used once."""

    sent: SentRequest
    send: Callable[[OutboundRequest], Awaitable[Result[WorkerAnswer, AttemptFailure]]]
    stream: Callable[[OutboundRequest, StreamSink], Awaitable[Result[StreamEnd, AttemptFailure]]]


class CheckedSends:
    """Checks and permits the sends of this node's batches."""

    def __init__(
        self,
        client: WorkerClient,
        workers: WorkerTable,
        eligibility: Eligibility,
        views: BatchViews,
        crashes: CrashReports,
    ) -> None:
        self._client = client
        self._workers = workers
        self._eligibility = eligibility
        self._views = views
        self._crashes = crashes

    async def check(self, planned: PlannedSend) -> Result[CheckedSend, AttemptFailure]:
        """Return the permitted send, or the failure that the attempt ends with."""
        content, batch = planned.content, planned.batch
        denial = await self._crashes.denial(content, item=planned.is_item)
        if denial is not None:
            return Error(AttemptFailure(AttemptFault.WITHHELD, denial.value))
        worker = self._workers.worker(planned.worker)
        if worker is None:
            return Error(
                AttemptFailure(AttemptFault.NOT_SENT, "the worker is no longer in the worker table")
            )
        now = steady_seconds()
        if not self._views.may_start(batch, now):
            # The view was recent when the start was decided, but this task ran late: the event loop
            # was busy or the process was stopped.
            return Error(AttemptFailure(AttemptFault.WITHHELD, "the view of the log is too old"))
        scope = self._eligibility.scope(content.target, content, planned.tenant)
        permit = self._eligibility.permit(
            worker, scope, now, lambda at: self._views.denial(batch, at)
        )
        if permit.is_error():
            return Error(AttemptFailure(AttemptFault.WITHHELD, permit.error.value))
        route = "" if scope is None else scope.route.name
        known_crashes = self._crashes.known_crashes(content)
        return Ok(
            CheckedSend(
                SentRequest(planned.request_id, content, worker, route, known_crashes, now),
                partial(self._client.send, permit.ok),
                partial(self._client.stream, permit.ok),
            )
        )

    def record_answer(self, sent: SentRequest) -> None:
        """Record that a worker answered a request."""
        self._crashes.answered(sent.content)

    async def record_lost_connection(self, sent: SentRequest, failure: AttemptFailure) -> None:
        """Record that the connection to a worker may have been lost, also for other nodes."""
        await self._crashes.connection_lost(sent, failure)
        self._crashes.publish(sent.content, MINIMUM_CRASHES_TO_PUBLISH)
