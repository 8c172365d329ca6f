"""Fault injection for HTTP services, controlled over HTTP at run time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Annotated

import anyio
import msgspec

from stagewalk_standins.event_log import log_event
from stagewalk_standins.web import Answer, Application, Request, json_response, problem_response

FAULTS_PATH = "/control/faults"
WRITING_METHODS = frozenset({"POST", "PUT", "DELETE"})


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults injected into a service.

    Attributes
    ----------
    down
        Every call fails at once without taking effect.
    delay_seconds
        Delay added to every call.
    lose_every
        Every n-th write takes effect but returns an error; 0 disables this.
    """

    down: bool = False
    delay_seconds: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    lose_every: Annotated[int, msgspec.Meta(ge=0)] = 0


class FaultSwitch:
    """Injects the configured faults into all routes but its own."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._writes = 0

    def add_routes(self, application: Application) -> None:
        """Add the routes that set and return the faults, and guard all others."""
        application.route("PUT", FAULTS_PATH, self._set, guarded=False)
        application.route("GET", FAULTS_PATH, self._get, guarded=False)
        application.guard = self.run

    async def run(
        self, request: Request, handler: Callable[[Request], Awaitable[Answer]]
    ) -> Answer:
        """Run a call with the configured faults."""
        await anyio.sleep(self._faults.delay_seconds)
        if self._faults.down:
            return _unavailable()
        answer = await handler(request)
        writes = request.method in WRITING_METHODS
        if self._faults.down and not writes:
            return _unavailable()
        if writes and self._loses_answer():
            log_event("answer_lost", method=request.method)
            return problem_response(500, "internal_error", "the answer was lost", ran="unknown")
        return answer

    def _loses_answer(self) -> bool:
        self._writes += 1
        every = self._faults.lose_every
        return every > 0 and self._writes % every == 0

    async def _set(self, request: Request) -> Answer:
        self._faults = request.decode(Faults)
        log_event("faults_set", **msgspec.structs.asdict(self._faults))
        return json_response(self._faults)

    async def _get(self, request: Request) -> Answer:
        return json_response(self._faults)


def _unavailable() -> Answer:
    return problem_response(503, "unavailable", "the service is down", ran="no")
