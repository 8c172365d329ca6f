"""Stand-in for the platform's machine list, which returns stale data by a fixed lag."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace

import msgspec

from stagewalk.node.core.platform import MachineKind, MachineState
from stagewalk_standins.event_log import log_event
from stagewalk_standins.history_file import clock
from stagewalk_standins.web import (
    Answer,
    Application,
    Request,
    Response,
    json_response,
    problem_response,
)

NOT_MODIFIED_STATUS = 304


class MachineBody(msgspec.Struct, frozen=True, kw_only=True):
    """A machine as the platform's tools set it; its name is in the path."""

    kind: MachineKind
    host: str
    port: int
    region: str
    zone: str
    state: MachineState = MachineState.LIVE
    service: str = ""
    name: str = ""


class MachineServer:
    """Keeps the snapshots needed to serve reads with a lag; `now` returns seconds."""

    def __init__(self, lag_seconds: float, now: Callable[[], float] = clock) -> None:
        self._lag_seconds = lag_seconds
        self._now = now
        self._machines: dict[str, MachineBody] = {}
        self._past: deque[tuple[float, tuple[MachineBody, ...]]] = deque([(now(), ())])

    def application(self) -> Application:
        """Return the routes of the service."""
        application = Application()
        application.route("GET", "/machines", self._list)
        application.route("PUT", "/machines/{name}", self._put)
        application.route("DELETE", "/machines/{name}", self._delete)
        return application

    async def _list(self, request: Request) -> Answer:
        as_of = self._now() - self._lag_seconds
        while len(self._past) > 1 and self._past[1][0] <= as_of:
            self._past.popleft()
        since, machines = self._past[0]
        entity_tag = f'"{since}"'
        if request.headers.get("if-none-match") == entity_tag:
            return Response(NOT_MODIFIED_STATUS, b"", headers={"etag": entity_tag})
        answer = json_response({"machines": machines, "as_of": as_of})
        return replace(answer, headers={**answer.headers, "etag": entity_tag})

    async def _put(self, request: Request) -> Answer:
        name = request.path_values["name"]
        machine = msgspec.structs.replace(request.decode(MachineBody), name=name)
        self._machines[name] = machine
        self._record_snapshot()
        log_event("machine_set", machine=name, kind=str(machine.kind), state=str(machine.state))
        return json_response(machine)

    async def _delete(self, request: Request) -> Answer:
        name = request.path_values["name"]
        if self._machines.pop(name, None) is None:
            return problem_response(404, "unknown_machine", name)
        self._record_snapshot()
        log_event("machine_removed", machine=name)
        return json_response({})

    def _record_snapshot(self) -> None:
        machines = tuple(self._machines[name] for name in sorted(self._machines))
        self._past.append((self._now(), machines))
