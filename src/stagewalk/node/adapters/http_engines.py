"""HTTP client of the model engines: attempts, cancellations, reports and orders.

Owns the timeouts. Failures are returned, not raised.
"""

from __future__ import annotations

import httpx
import msgspec
from expression import Result

from stagewalk.common.errors import ErrorStep, StagewalkError
from stagewalk.common.http.calls import call_json, describe_exception, send_json, url_for
from stagewalk.common.identities import Address
from stagewalk.node.adapters.engine_stream import AttemptStream
from stagewalk.node.core.events import OrderAnswered
from stagewalk.node.core.instructions import CancelAttempt, SendEngineOrder, StartAttempt
from stagewalk.node.core.platform import EngineOrderOutcome, EngineReport
from stagewalk.node.ports.engines import AttemptSink

REPORT_TIMEOUT_SECONDS = 1.5
"""The same as `EngineTableConfig.poll_timeout_seconds`, after which a poll is repeated."""

CANCEL_TIMEOUT_SECONDS = 2.0
ORDER_TIMEOUT_SECONDS = 5.0


class _CancelAnswer(msgspec.Struct):
    known: bool


class _OrderAnswer(msgspec.Struct):
    outcome: EngineOrderOutcome
    detail: str = ""
    epoch: int | None = None


class HttpEngineClient:
    """Calls engines: attempts through one pool, control calls through another.

    Separate pools keep many long streams from delaying reports and cancellations.
    """

    def __init__(self, streams: httpx.AsyncClient, control: httpx.AsyncBaseTransport) -> None:
        self._streams = streams
        self._control = control

    async def run_attempt(self, start: StartAttempt, deliver: AttemptSink) -> None:
        """Send an attempt and deliver its events."""
        await AttemptStream(self._streams, start, deliver).run()

    async def cancel(self, cancel: CancelAttempt) -> Result[None, StagewalkError]:
        """Cancel an attempt at the engine."""
        answer = await call_json(
            self._control,
            "POST",
            url_for(cancel.address, "/control/cancel"),
            body={"attempt": cancel.attempt},
            answer=_CancelAnswer,
            step=ErrorStep.EXECUTION,
            peer=cancel.engine,
            read_seconds=CANCEL_TIMEOUT_SECONDS,
        )
        return answer.map(lambda _: None)

    async def report(self, engine: str, address: Address) -> Result[EngineReport, StagewalkError]:
        """Read the engine's report."""
        return await call_json(
            self._control,
            "GET",
            url_for(address, "/control/report"),
            answer=EngineReport,
            step=ErrorStep.ROUTING,
            peer=engine,
            read_seconds=REPORT_TIMEOUT_SECONDS,
        )

    async def order(self, order: SendEngineOrder) -> OrderAnswered:
        """Send a fenced order."""
        try:
            response = await send_json(
                self._control,
                "POST",
                url_for(order.address, "/control/orders"),
                read_seconds=ORDER_TIMEOUT_SECONDS,
                body=order.order,
            )
            answer = msgspec.json.decode(response.content, type=_OrderAnswer)
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            answer = _OrderAnswer(EngineOrderOutcome.UNKNOWN, describe_exception(error))
        detail = answer.detail if answer.epoch is None else f"largest epoch seen {answer.epoch}"
        return OrderAnswered(order.engine, order.order.order_id, answer.outcome, detail)
