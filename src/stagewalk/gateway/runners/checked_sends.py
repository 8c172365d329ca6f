"""Checks, just before an item or a score call is sent, that it may still go to its worker.

The one place where runners ask for the permit of a send, and report a lost worker. Owns no state.
Relies on the crash reports for contents that end their workers, on the batch views for how old the
news of the batch is, and on `eligibility` for everything else; the permit stays bound to the send.
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
    """Permits the sends of this node's batches."""

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
            return Error(AttemptFailure(AttemptFault.NOT_SENT, "the worker is gone"))
        now = steady_seconds()
        if not self._views.may_start(batch, now):
            # Decided in time, but this task came to its turn late: the loop was busy or stopped.
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
        """Record that a worker ran a request to an answer."""
        self._crashes.answered(sent.content)

    async def record_loss(self, sent: SentRequest, failure: AttemptFailure) -> None:
        """Record that contact with a worker may have been lost, for other nodes too."""
        await self._crashes.connection_lost(sent, failure)
        self._crashes.publish(sent.content, MINIMUM_CRASHES_TO_PUBLISH)
